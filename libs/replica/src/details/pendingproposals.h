#pragma once

#include "fleet/fold.h"
#include "replica/replica.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace Cornelquay::Details {

/** Proposals of this process that wait for their record to be folded. Thread-safe. */
class PendingProposals
{
public:
    /** Registers a proposal. Must be called before its record is appended, or the verdict could be missed. remove() must follow the last wait(). */
    void add(const RecordId &id);
    void remove(const RecordId &id);
    /** Passes the verdict on @p id to its waiting proposer, if there is one in this process. Later verdicts are ignored. */
    void resolve(const RecordId &id, const ProposalFolded &folded);
    /** Ends all waits without a verdict. */
    void stop();

    /** Waits until @p id, which was added before, is resolved. Empty after @p deadline or stop(). */
    std::optional<ProposalFolded> wait(const RecordId &id, SteadyTime deadline);
    bool isStopped() const;

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_resolved;
    std::unordered_map<RecordId, std::optional<ProposalFolded>, IdentifierHash> m_verdicts;
    bool m_stopped = false;
};

}
