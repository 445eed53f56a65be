#pragma once

#include "fleet/fold.h"

#include <string>

namespace Cornelquay::Testing {

/** A small configuration: two pools with one service each, a spare pool and two teams. */
inline const std::string SmallText = R"(cornelquay: 1
regions: [{name: r, zones: [z]}]
pools: [{name: a}, {name: b}, {name: spare, spare: true}]
services:
  - {name: sa, pool: a, size: {cores: 1, memory: 1GiB}, run-time: 1ms, budget: 1, peak: 3}
  - {name: sb, pool: b, size: {cores: 1, memory: 1GiB}, run-time: 1ms, budget: 2, peak: 4}
teams:
  - {name: t1, share: 50%, limit: 8}
  - {name: t2, share: 50%, limit: 8}
)";

/** Folds records into a state at consecutive offsets, at the log time set by setLogTime(), in Unix milliseconds. */
class FoldFixture
{
public:
    Verdict fold(RecordBody body, const std::string &author = "nuala")
    {
        return fold(Record{newRecordId(), author, "test", std::move(body)});
    }

    Verdict fold(const Record &record)
    {
        return Cornelquay::fold(m_state, {m_state.nextOffset, m_time, record});
    }

    void setLogTime(std::int64_t time)
    {
        m_time = time;
    }

    FleetState &state()
    {
        return m_state;
    }

    /** Folds the small configuration, the nodes n1 and n2, and the instances a1 to a3, b1 to b4 and s1. */
    void prepare()
    {
        fold(ConfigurationChanged{0, SmallText});
        fold(NodeJoined{"n1", 1, "127.0.0.1:1", "z"});
        fold(NodeJoined{"n2", 1, "127.0.0.1:2", "z"});
        for (const char *name : {"a1", "a2", "a3", "b1", "b2", "b3", "b4", "s1"}) {
            const std::string pool = name[0] == 's' ? "spare" : std::string(1, name[0]);
            fold(InstanceEnrolled{name, 1, pool, "127.0.0.1:3", "z", "r", 16, 1ULL << 30U, 0, 0});
        }
    }

private:
    FleetState m_state;
    std::int64_t m_time = 1000;
};

}
