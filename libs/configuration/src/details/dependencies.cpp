#include "details/dependencies.h"

#include <algorithm>
#include <map>

namespace Cornelquay::Details {

namespace {

enum class Visit {
    Unseen,
    Open,
    Closed,
};

/** Depth-first search that reports each back edge as a cycle. */
class CycleSearch
{
public:
    explicit CycleSearch(const Configuration &configuration)
        : m_configuration(configuration)
    {
    }

    std::vector<std::vector<std::string>> cycles()
    {
        for (const auto &[name, service] : m_configuration.services) {
            visit(name);
        }
        return m_cycles;
    }

private:
    struct Frame {
        std::string service;
        std::size_t nextDependency = 0;
    };

    // Iterative, because the depth comes from outside.
    void visit(const std::string &start)
    {
        if (m_visits[start] != Visit::Unseen) {
            return;
        }
        open(start);
        while (!m_path.empty()) {
            Frame &top = m_path.back();
            const std::vector<std::string> &dependencies = m_configuration.services.at(top.service).dependsOn;
            if (top.nextDependency == dependencies.size()) {
                m_visits[top.service] = Visit::Closed;
                m_path.pop_back();
                continue;
            }
            const std::string &next = dependencies[top.nextDependency++];
            if (!m_configuration.services.contains(next) || next == top.service) {
                continue;
            }
            if (m_visits[next] == Visit::Open) {
                addCycle(next);
            } else if (m_visits[next] == Visit::Unseen) {
                open(next);
            }
        }
    }

    void open(const std::string &service)
    {
        m_visits[service] = Visit::Open;
        m_path.push_back({service, 0});
    }

    void addCycle(const std::string &entry)
    {
        const auto first = std::find_if(m_path.begin(), m_path.end(), [&](const Frame &frame) {
            return frame.service == entry;
        });
        std::vector<std::string> cycle;
        for (auto frame = first; frame != m_path.end(); ++frame) {
            cycle.push_back(frame->service);
        }
        m_cycles.push_back(std::move(cycle));
    }

    const Configuration &m_configuration;
    std::map<std::string, Visit> m_visits;
    std::vector<Frame> m_path;
    std::vector<std::vector<std::string>> m_cycles;
};

}

std::vector<std::vector<std::string>> dependencyCycles(const Configuration &configuration)
{
    return CycleSearch(configuration).cycles();
}

std::string joined(const std::vector<std::string> &parts, const std::string &separator)
{
    std::string text;
    for (const std::string &part : parts) {
        text += text.empty() ? part : separator + part;
    }
    return text;
}

}
