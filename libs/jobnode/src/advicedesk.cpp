#include "details/advicedesk.h"

#include <algorithm>
#include <utility>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

// Longer than the service takes for a question about all workers of a call, with its way there and back.
constexpr auto QuestionMost = 3s;
// A node that waits comes again after this, so that neither side takes the other for gone.
constexpr auto OfferMost = 1s;
constexpr std::int64_t NothingToAskRetryAfterMs = 20;

}

AdviceDesk::AdviceDesk(Scheduler &scheduler, Asker ask, std::function<void()> onResult)
    : m_scheduler(scheduler)
    , m_ask(std::move(ask))
    , m_onResult(std::move(onResult))
{
}

void AdviceDesk::give(const AdviceOrder &order, BootTime now)
{
    m_questions.push_back({order, now + QuestionMost});
    if (!m_selfBusy) {
        m_selfBusy = true;
        m_ask(order, [this, order](const AdviceResult &result) {
            m_selfBusy = false;
            conclude(order, result, BootClock::now());
        });
        return;
    }
    if (m_freeNodes.empty()) {
        conclude(order, std::nullopt, now);
        return;
    }
    const Responder respond = std::move(m_freeNodes.front().respond);
    m_freeNodes.pop_front();
    JobAnswer answer = JobAnswer::of(JobAnswerKind::Advice);
    answer.advice = order;
    respond(std::move(answer));
}

void AdviceDesk::take(const AdviceReport &report, Responder respond, BootTime now)
{
    m_freeNodes.push_back({std::move(respond), now + OfferMost});
    if (!report.order.job.empty()) {
        conclude(report.order, report.answered ? AdviceResult(report.permissions) : std::nullopt, now);
    } else {
        updateSlots();
    }
}

void AdviceDesk::advance(BootTime now)
{
    while (!m_freeNodes.empty() && now >= m_freeNodes.front().until) {
        const Responder respond = std::move(m_freeNodes.front().respond);
        m_freeNodes.pop_front();
        respond(JobAnswer::notRun("nothing to ask the advice service", NothingToAskRetryAfterMs));
    }
    std::vector<AdviceOrder> over;
    for (const Question &question : m_questions) {
        if (now >= question.until) {
            over.push_back(question.order);
        }
    }
    for (const AdviceOrder &order : over) {
        conclude(order, std::nullopt, now);
    }
    updateSlots();
}

void AdviceDesk::end()
{
    for (const FreeNode &node : std::exchange(m_freeNodes, {})) {
        node.respond(JobAnswer::notRun("the owner of the jobs is changing", NothingToAskRetryAfterMs));
    }
}

void AdviceDesk::conclude(const AdviceOrder &order, const AdviceResult &result, BootTime now)
{
    const auto question = std::find_if(m_questions.begin(), m_questions.end(), [&](const Question &given) {
        return given.order.job == order.job && given.order.occurrence == order.occurrence && given.order.step == order.step;
    });
    if (question != m_questions.end()) {
        m_questions.erase(question);
        m_scheduler.noteAdvice(order, result, now);
    }
    updateSlots();
    m_onResult();
}

void AdviceDesk::updateSlots()
{
    m_scheduler.setAdviceSlots(m_questions.size() + m_freeNodes.size() + (m_selfBusy ? 0 : 1));
}

}
