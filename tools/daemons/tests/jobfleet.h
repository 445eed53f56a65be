#pragma once

#include "callerrequests.h"
#include "crowd.h"
#include "daemonprocess.h"
#include "ordinarycaller.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Cornelquay {

using namespace SharedPlatform;
using namespace std::chrono_literals;

/** A platform and nodes of the job scheduler, each in a process of its own. */
class JobFleet
{
public:
    explicit JobFleet(std::size_t nodes, std::size_t maxDescriptors = 0)
        : m_emulator({EMULATOR_PROGRAM, "--workers", "3"}, m_folder.path("platform"))
    {
        const nlohmann::json platform = nlohmann::json::parse(m_emulator.firstLine());
        for (std::size_t index = 0; index < nodes; ++index) {
            start(index, platform.at("store"), platform.at("machines"), maxDescriptors);
        }
        for (const Node &node : m_nodes) {
            BOOST_REQUIRE(waitFor(node.readinessPort, "GET", "/readiness", {}, [](const HttpResponse &response) {
                return response.status == 200;
            }));
        }
    }

    std::uint16_t callersPort(std::size_t node) const
    {
        return m_nodes[node].callersPort;
    }

    /** The node that owns the jobs; the first one if none says that it does. */
    std::size_t owner()
    {
        for (std::size_t index = 0; index < m_nodes.size(); ++index) {
            const bool isOwner = waitFor(
                m_nodes[index].metricsPort,
                "GET",
                "/metrics",
                {},
                [](const HttpResponse &response) {
                    return response.body.find("\ncornelquay_owner 1") != std::string::npos;
                },
                1s);
            if (isOwner) {
                return index;
            }
        }
        return 0;
    }

    /** Sends @p bytes over a connection of their own, calls @p whenSent, and returns the first line of the answer. */
    std::string exchange(
        std::size_t node, const std::string &bytes, const std::function<void()> &whenSent = [] {})
    {
        asio::ip::tcp::socket socket(m_io);
        socket.connect({asio::ip::make_address("127.0.0.1"), callersPort(node)});
        asio::write(socket, asio::buffer(bytes));
        whenSent();
        std::string answer;
        asio::read_until(socket, asio::dynamic_buffer(answer), "\r\n");
        return answer.substr(0, answer.find("\r\n"));
    }

    void signalPlatform(int number) const
    {
        m_emulator.signal(number);
    }

    void signalNode(std::size_t node, int number) const
    {
        m_nodes[node].process->signal(number);
    }

    /** Sends @p plan to the node and lets it keep its connections open for @p hold, and until the check(). */
    void receive(std::size_t node, CrowdPlan plan, std::chrono::milliseconds hold = 2s)
    {
        m_crowds.push_back(std::make_unique<Crowd>(m_io, callersPort(node), std::move(plan)));
        const SteadyTime deadline = steadyNow() + 30s;
        while (!m_crowds.back()->hasSent() && steadyNow() < deadline) {
            runFor(20ms);
        }
        const SteadyTime end = steadyNow() + hold;
        while (steadyNow() < end) {
            runFor(20ms);
        }
    }

    /** Checks that the nodes live and are within their memory, and that each answers an ordinary submission. */
    void check()
    {
        for (std::size_t index = 0; index < m_nodes.size(); ++index) {
            BOOST_TEST_CONTEXT("node " << index)
            {
                BOOST_TEST(m_nodes[index].process->isRunning());
                const bool isAnswered = waitFor(callersPort(index), "POST", submissionTarget(0xf000 + index), smallJob(), [](const HttpResponse &response) {
                    return response.status == 200;
                });
                BOOST_TEST(isAnswered);
                BOOST_TEST(m_nodes[index].process->isRunning());
                const std::size_t memory = m_nodes[index].process->peakMemoryBytes() + m_nodes[index].peakUnreadBytes;
                BOOST_TEST_MESSAGE("node " << index << ": peak memory " << m_nodes[index].process->peakMemoryBytes() / 1024 << " KiB, unread bytes "
                                           << m_nodes[index].peakUnreadBytes / 1024 << " KiB");
                if (MeasuresMemory) {
                    BOOST_TEST(memory <= MachineMemoryBytes);
                }
                if (m_maxDescriptors > 0) {
                    BOOST_TEST(m_nodes[index].peakDescriptors < m_maxDescriptors);
                }
            }
        }
    }

    /** Repeats a request until the answer is expected; returns whether it came before @p timeout. */
    bool waitFor(std::uint16_t port,
                 const std::string &method,
                 const std::string &target,
                 const std::string &body,
                 const std::function<bool(const HttpResponse &)> &isExpected,
                 std::chrono::milliseconds timeout = CallerTimeout)
    {
        const auto run = [this](std::chrono::milliseconds time) {
            runFor(time);
        };
        return callUntil(m_io, run, port, callerRequest(method, target, body), isExpected, timeout);
    }

private:
    struct Node {
        std::uint16_t callersPort = 0;
        std::uint16_t readinessPort = 0;
        std::uint16_t metricsPort = 0;
        std::unique_ptr<DaemonProcess> process;
        std::size_t peakUnreadBytes = 0;
        std::size_t peakDescriptors = 0;
    };

    void start(std::size_t index, const std::string &store, const std::string &machines, std::size_t maxDescriptors)
    {
        m_maxDescriptors = maxDescriptors;
        Node node{freePort(), freePort(), freePort(), nullptr};
        const auto address = [](std::uint16_t port) {
            return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
        };
        const std::string name = "node-" + std::to_string(index);
        const std::string file
            = m_folder.write(name + ".yaml",
                             "name: " + name + "\nzone: zone-a\nmemory: 96MiB\npeer-secret: secret of the crowd tests\ncallers: " + address(node.callersPort)
                                 + "readiness: " + address(node.readinessPort) + "metrics: " + address(node.metricsPort)
                                 + "peer-address: " + address(freePort()) + "store: \"" + store + "\"\ncontrol-plane: \"" + machines + "\"\n");
        node.process = std::make_unique<DaemonProcess>(std::vector<std::string>{JOBD_PROGRAM, file}, m_folder.path(name + ".log"), maxDescriptors);
        m_nodes.push_back(std::move(node));
    }

    void runFor(std::chrono::milliseconds time)
    {
        m_io.restart();
        m_io.run_for(time);
        for (Node &node : m_nodes) {
            node.peakUnreadBytes = std::max(node.peakUnreadBytes, unreadBytes(node.callersPort));
            node.peakDescriptors = std::max(node.peakDescriptors, node.process->openDescriptors());
        }
    }

    TestFolder m_folder;
    DaemonProcess m_emulator;
    asio::io_context m_io;
    std::vector<Node> m_nodes;
    std::vector<std::unique_ptr<Crowd>> m_crowds;
    std::size_t m_maxDescriptors = 0;
};

}
