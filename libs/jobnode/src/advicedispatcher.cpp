#include "details/advicedispatcher.h"

#include <algorithm>
#include <utility>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

// Longer than the service takes for the largest query, which names as many workers as one call can, with the transfer of
// query and answer.
constexpr auto RequestTimeout = 3s;
// An idle node is answered after this time and offers again, so that the call does not time out on either side.
constexpr auto OfferTimeout = 1s;
constexpr std::int64_t IdleNodeRetryAfterMs = 20;

}

AdviceDispatcher::AdviceDispatcher(Scheduler &scheduler, RequestSender sendRequest, std::function<void()> onResult)
    : m_scheduler(scheduler)
    , m_sendRequest(std::move(sendRequest))
    , m_onResult(std::move(onResult))
{
}

void AdviceDispatcher::dispatch(const AdviceOrder &order, BootTime now)
{
    m_pendingRequests.push_back({order, now + RequestTimeout});
    if (!m_ownRequestInFlight) {
        m_ownRequestInFlight = true;
        m_sendRequest(order, [this, order](const AdviceResult &result) {
            m_ownRequestInFlight = false;
            finish(order, result, BootClock::now());
        });
        return;
    }
    if (m_idleNodes.empty()) {
        finish(order, std::nullopt, now);
        return;
    }
    const Responder respond = std::move(m_idleNodes.front().respond);
    m_idleNodes.pop_front();
    JobAnswer answer = JobAnswer::of(JobAnswerKind::Advice);
    answer.advice = order;
    respond(std::move(answer));
}

void AdviceDispatcher::handleOffer(const AdviceReport &report, Responder respond, BootTime now)
{
    m_idleNodes.push_back({std::move(respond), now + OfferTimeout});
    if (!report.order.job.empty()) {
        finish(report.order, report.answered ? AdviceResult(report.permissions) : std::nullopt, now);
    } else {
        updateSlots();
    }
}

void AdviceDispatcher::advance(BootTime now)
{
    while (!m_idleNodes.empty() && now >= m_idleNodes.front().deadline) {
        const Responder respond = std::move(m_idleNodes.front().respond);
        m_idleNodes.pop_front();
        respond(JobAnswer::notRun("nothing to ask the advice service", IdleNodeRetryAfterMs));
    }
    std::vector<AdviceOrder> expired;
    for (const PendingRequest &request : m_pendingRequests) {
        if (now >= request.deadline) {
            expired.push_back(request.order);
        }
    }
    for (const AdviceOrder &order : expired) {
        finish(order, std::nullopt, now);
    }
    updateSlots();
}

void AdviceDispatcher::end()
{
    for (const IdleNode &node : std::exchange(m_idleNodes, {})) {
        node.respond(JobAnswer::notRun("the owner of the jobs is changing", IdleNodeRetryAfterMs));
    }
}

void AdviceDispatcher::finish(const AdviceOrder &order, const AdviceResult &result, BootTime now)
{
    const auto request = std::find_if(m_pendingRequests.begin(), m_pendingRequests.end(), [&](const PendingRequest &pending) {
        return pending.order.job == order.job && pending.order.occurrence == order.occurrence && pending.order.step == order.step;
    });
    if (request != m_pendingRequests.end()) {
        m_pendingRequests.erase(request);
        m_scheduler.handleAdviceResult(order, result, now);
    }
    updateSlots();
    m_onResult();
}

void AdviceDispatcher::updateSlots()
{
    m_scheduler.setAdviceSlots(m_pendingRequests.size() + m_idleNodes.size() + (m_ownRequestInFlight ? 0 : 1));
}

}
