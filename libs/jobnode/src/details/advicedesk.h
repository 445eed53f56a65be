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
 * Hands the owner's questions to the advice service, which serves one call at a time of each
 * machine: the owner's node asks itself, and so does every node that offers to. Lives on the
 * owner's thread.
 */
class AdviceDesk
{
public:
    using Responder = std::function<void(JobAnswer answer)>;
    using Asker = std::function<void(const AdviceOrder &order, const WorkerPort::AdviceHandler &handler)>;

    /** @p ask asks from this node; @p onResult is called when something was answered. */
    AdviceDesk(Scheduler &scheduler, Asker ask, std::function<void()> onResult);

    // Commands.
    /** Asks about @p order from a node that is free. */
    void give(const AdviceOrder &order, BootTime now);
    /** A node brings what it was told, and is free. */
    void take(const AdviceReport &report, Responder respond, BootTime now);
    /** Gives up questions without an answer, and sends nodes away that wait for long. */
    void advance(BootTime now);
    /** Sends all waiting nodes away. */
    void end();

private:
    struct Question {
        AdviceOrder order;
        BootTime until{};
    };
    struct FreeNode {
        Responder respond;
        BootTime until{};
    };

    void conclude(const AdviceOrder &order, const AdviceResult &result, BootTime now);
    void updateSlots();

    Scheduler &m_scheduler;
    Asker m_ask;
    std::function<void()> m_onResult;
    bool m_selfBusy = false;
    std::vector<Question> m_questions;
    std::deque<FreeNode> m_freeNodes;
};

}
