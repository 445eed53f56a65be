#include "jobfleet.h"

#include <chrono>
#include <csignal>
#include <functional>
#include <string>
#include <thread>

using namespace Cornelquay;
using namespace Cornelquay::SharedPlatform;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Job = 1;
const std::string Refused = "HTTP/1.1 503 Service Unavailable";

/** A fleet of two nodes, of which the one that does not own the jobs stands still for a while with a submission in its socket. */
struct FrozenNode {
    JobFleet fleet{2};
    std::size_t owner = fleet.owner();
    std::size_t frozen = 1 - owner;

    /** Returns the first line of the answer to the submission. @p whileFrozen is called once the submission is sent. */
    std::string submit(std::chrono::milliseconds budget, const std::function<void()> &whileFrozen)
    {
        fleet.signalNode(frozen, SIGSTOP);
        const std::string body = smallJob();
        const std::string head = submissionHead(Job, budget) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        return fleet.exchange(frozen, head + body, [&] {
            whileFrozen();
            fleet.signalNode(frozen, SIGCONT);
        });
    }

    /** Sends a request about the job to the owner of the jobs, again while it is refused; returns whether the answer has this status. */
    bool isAnswered(const std::string &method, int status, std::chrono::milliseconds timeout = CallerTimeout)
    {
        return fleet.waitFor(
            fleet.callersPort(owner),
            method,
            submissionTarget(Job),
            {},
            [&](const HttpResponse &response) {
                return response.status == status;
            },
            timeout);
    }
};

}

// Guards against a submission that takes effect after its client's cancel was answered, because a node had not read it.
BOOST_AUTO_TEST_CASE(aCancelledSubmissionIsRefusedWhenAFrozenNodeReadsIt)
{
    FrozenNode node;
    const std::string answer = node.submit(60s, [&] {
        BOOST_TEST(node.isAnswered("DELETE", 410));
    });
    BOOST_TEST(answer == Refused);
    BOOST_TEST(node.isAnswered("GET", 410));
    node.fleet.check();
}

// Guards against a submission that takes effect after its client has stopped waiting, for which it may have been refused elsewhere.
BOOST_AUTO_TEST_CASE(aSubmissionWhoseTimeIsOverIsRefusedWhenAFrozenNodeReadsIt)
{
    FrozenNode node;
    const std::string answer = node.submit(500ms, [] {
        std::this_thread::sleep_for(1500ms);
    });
    BOOST_TEST(answer == Refused);
    BOOST_TEST(node.isAnswered("GET", 410));
    // The client sends it again, which is a new submission for the node.
    BOOST_TEST(node.fleet.waitFor(node.fleet.callersPort(node.frozen), "POST", submissionTarget(Job), smallJob(), [](const HttpResponse &response) {
        return response.status == 200;
    }));
    node.fleet.check();
}

// Guards against a submission that is refused although its client still waits.
BOOST_AUTO_TEST_CASE(aSubmissionWhoseClientStillWaitsIsAcceptedByANodeThatWasFrozen)
{
    FrozenNode node;
    const std::string answer = node.submit(60s, [] {
        std::this_thread::sleep_for(1500ms);
    });
    BOOST_TEST(answer == "HTTP/1.1 200 OK");
    BOOST_TEST(node.isAnswered("GET", 200));
    node.fleet.check();
}
