#pragma once

#include "jobnode/jobcall.h"
#include "jobnode/ports.h"
#include "scheduling/scheduler.h"
#include "timing/instant.h"

#include <deque>
#include <functional>
#include <vector>

namespace Cornelquay {

/**
 * Distributes the owner's queries to the advice service over the nodes, as the service serves one call at a
 * time from each machine: the owner's node sends queries itself, and so does every node that has offered to.
 * Must be used on the owner's thread.
 */
class AdviceDispatcher
{
public:
    using Responder = std::function<void(JobAnswer answer)>;
    using RequestSender = std::function<void(const AdviceOrder &order, const WorkerPort::AdviceHandler &handler)>;

    /** @p sendRequest sends a query from the owner's node; @p onResult is called after each result. */
    AdviceDispatcher(Scheduler &scheduler, RequestSender sendRequest, std::function<void()> onResult);

    // Commands.
    /** Sends @p order from the owner's node if that has no query in flight, else from an idle node; without an idle node the query fails. */
    void dispatch(const AdviceOrder &order, BootTime now);
    /** A node reports the result of its previous query, if any, and is idle; @p respond gets its next query, or NotRun after a timeout. */
    void handleOffer(const AdviceReport &report, Responder respond, BootTime now);
    /** Gives up queries that were not answered in time, and answers idle nodes that have waited long enough. */
    void advance(BootTime now);
    /** Answers all idle nodes; they get no more queries. */
    void end();

private:
    /** A query without a result. */
    struct PendingRequest {
        AdviceOrder order;
        BootTime deadline{};
    };
    /** A node that waits for a query. */
    struct IdleNode {
        Responder respond;
        BootTime deadline{};
    };

    void finish(const AdviceOrder &order, const AdviceResult &result, BootTime now);
    /** Tells the scheduler how many queries may be in flight at once. */
    void updateSlots();

    Scheduler &m_scheduler;
    RequestSender m_sendRequest;
    std::function<void()> m_onResult;
    bool m_ownRequestInFlight = false;
    std::vector<PendingRequest> m_pendingRequests;
    std::deque<IdleNode> m_idleNodes;
};

}
