#include "details/dependencies.h"

#include <algorithm>
#include <map>

namespace Cornelquay::Details {

namespace {

enum class VisitState {
    Unvisited,
    /** On the path from the start of the search to the current service. */
    OnPath,
    Done,
};

/** A depth-first search that reports a cycle for each dependency on a service of the current path. */
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

    // Iterative: the depth depends on the input, so recursion could overflow the stack.
    void visit(const std::string &start)
    {
        if (m_visitStates[start] != VisitState::Unvisited) {
            return;
        }
        enter(start);
        while (!m_path.empty()) {
            Frame &top = m_path.back();
            const std::vector<std::string> &dependencies = m_configuration.services.at(top.service).dependsOn;
            if (top.nextDependency == dependencies.size()) {
                m_visitStates[top.service] = VisitState::Done;
                m_path.pop_back();
                continue;
            }
            const std::string &next = dependencies[top.nextDependency++];
            if (!m_configuration.services.contains(next) || next == top.service) {
                continue;
            }
            if (m_visitStates[next] == VisitState::OnPath) {
                addCycle(next);
            } else if (m_visitStates[next] == VisitState::Unvisited) {
                enter(next);
            }
        }
    }

    void enter(const std::string &service)
    {
        m_visitStates[service] = VisitState::OnPath;
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
    std::map<std::string, VisitState> m_visitStates;
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
