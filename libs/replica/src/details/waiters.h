#pragma once

#include "fleet/fold.h"
#include "replica/replica.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace Cornelquay::Details {

/** Proposals of this process that wait for their record to be folded. Thread-safe. */
class Waiters
{
public:
    void add(const RecordId &id);
    void remove(const RecordId &id);
    /** Tells the proposer of @p id, if it is one of ours; only the first verdict counts. */
    void resolve(const RecordId &id, const ProposalFolded &folded);
    /** Wakes everyone up without a verdict. */
    void stop();

    std::optional<ProposalFolded> wait(const RecordId &id, SteadyTime deadline);
    bool isStopped() const;

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_resolved;
    std::unordered_map<RecordId, std::optional<ProposalFolded>, IdentifierHash> m_waiting;
    bool m_stopped = false;
};

}
