#include "jobnode/reign.h"

#include "jobs/jobcodec.h"
#include "records/packing.h"
#include "telemetry/log.h"

#include <asio.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <vector>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

// Records that come together are stored together; half of what one store call takes.
constexpr auto StoreSpacing = 8ms;
constexpr auto StoreRetry = 60ms;
// Pause of the owner's work while nothing comes from outside.
constexpr auto PumpInterval = 25ms;
// A store call that is out longer than this means that the store is away.
constexpr auto StoreAwayAfter = 700ms;
constexpr std::int64_t StoreAwayRetryAfterMs = 1000;
constexpr std::int64_t TakeoverRetryAfterMs = 300;
constexpr std::int64_t ConfigurationRetryAfterMs = 300;
// An answer must still reach the caller through another node.
constexpr std::int64_t AnswerMarginMs = 150;
// Several times what the store takes for a batch.
constexpr std::int64_t AnswerTimeLeastMs = 400;
constexpr auto SettleMost = 1000ms;

// Records of waves lie beside those of jobs, whose names hold no such sign.
constexpr const char *WaveKeyPrefix = "wave/";

/** A call whose answer waits for a batch to be stored. */
struct WaitingAnswer {
    std::uint64_t batch = 0;
    JobAnswer answer;
    /** Wall-clock milliseconds after which the outcome is said to be unknown. */
    std::int64_t expiresMs = 0;
    JobId job;
    Reign::Responder respond;
};

std::string text(std::uint64_t number)
{
    return std::to_string(number);
}

std::string taskText(const Notice &notice)
{
    return text(notice.task.occurrence) + "/" + text(notice.task.step) + "/" + text(notice.task.index);
}

}

struct Reign::Impl : public std::enable_shared_from_this<Reign::Impl> {
    Impl(const ReignContext &givenContext,
         std::uint64_t givenEpoch,
         PredecessorLeases predecessor,
         InstanceHandOver handOver,
         std::function<void(std::string)> givenOnDeposed)
        : context(givenContext)
        , epoch(givenEpoch)
        , onDeposed(std::move(givenOnDeposed))
        , scheduler(context.times, givenEpoch, BootClock::now())
        , timer(context.io)
        , retryTimer(context.io)
        , batchesTotal(context.metrics.counter("store_batches_total", "Batches of job records that were stored"))
        , startsTotal(context.metrics.counter("run_starts_total", "Start orders sent to workers"))
        , lostTotal(context.metrics.counter("runs_lost_total", "Runs that ended without saying how"))
        , storeSeconds(context.metrics.latency("store_batch_seconds", "Time from handing a batch to the store to its answer"))
        , openJobs(context.metrics.gauge("jobs_open", "Jobs that are not closed"))
        , liveRuns(context.metrics.gauge("runs_live", "Runs that are or may be on workers"))
        , reachableWorkers(context.metrics.gauge("workers_reachable", "Workers that answer"))
    {
        scheduler.setPredecessor(std::move(predecessor));
        instances = std::make_shared<FleetKeeper>(context.instances, scheduler, context.instanceTimes, epoch, std::move(handOver), context.metrics);
    }

    ReignContext context;
    const std::uint64_t epoch;
    std::function<void(std::string)> onDeposed;
    Scheduler scheduler;
    std::shared_ptr<FleetKeeper> instances;
    asio::steady_timer timer;
    asio::steady_timer retryTimer;
    Counter batchesTotal;
    Counter startsTotal;
    Counter lostTotal;
    LatencyHistogram storeSeconds;
    Gauge openJobs;
    Gauge liveRuns;
    Gauge reachableWorkers;
    std::shared_ptr<const FleetPolicy> policy;
    bool serving = false;
    bool ended = false;
    bool settling = false;
    bool pumpPosted = false;
    std::function<void()> onSettled;
    BootTime settleUntil{};
    BootTime freshAt{};
    BootTime storeAt{};
    BootTime countedAt{};
    std::uint64_t sequence = 0;
    std::deque<RecordBatch> chunks;
    bool storeInFlight = false;
    BootTime storeWaitsSince{};
    std::deque<WaitingAnswer> answers;
    std::size_t restored = 0;
    std::vector<std::pair<WaveSpec, BootTime>> waves;

    // Takeover.
    void fence();
    void readPage(const std::string &after);
    void restore(const std::string &key, const std::string &bytes, BootTime now, std::int64_t wallMs);
    void serve();
    void retry(std::chrono::milliseconds delay, std::function<void()> action);
    void depose(std::string reason);
    void end();

    // Work.
    void schedulePump();
    void armTimer(std::chrono::milliseconds delay);
    void pump();
    void storeNext(BootTime now);
    void sendChunk();
    void stored(std::uint64_t batch);
    void executeOrders(BootTime now);
    void execute(const StartOrder &order);
    void execute(const StopOrder &order);
    void execute(const PaceOrder &order);
    void execute(const HoldOrder &order);
    void execute(const AdviceOrder &order);
    void logNotices();
    /** What bounds the work at the moment; the ground of the placements of the next second. */
    void logPools(BootTime now);
    void expireAnswers();
    bool isStoreAway(BootTime now) const;

    // Calls.
    void handle(const JobCall &call, const Responder &respond);
    void submit(const JobCall &call, const Responder &respond);
    void answerAfter(std::uint64_t batch, const JobCall &call, JobAnswer answer, Responder respond);
};

void Reign::Impl::retry(std::chrono::milliseconds delay, std::function<void()> action)
{
    retryTimer.expires_after(delay);
    retryTimer.async_wait([self = shared_from_this(), action = std::move(action)](const asio::error_code &error) {
        if (!error && !self->ended) {
            action();
        }
    });
}

void Reign::Impl::fence()
{
    const BootTime sentAt = BootClock::now();
    context.store.fenceJobs(epoch, [self = shared_from_this(), sentAt](const tl::expected<std::uint64_t, StoreFailure> &result) {
        if (self->ended) {
            return;
        }
        if (result) {
            self->freshAt = std::max(self->freshAt, sentAt);
            self->readPage({});
        } else if (result.error() == StoreFailure::Fenced) {
            self->depose("fenced while taking over");
        } else {
            self->retry(StoreRetry, [self] {
                self->fence();
            });
        }
    });
}

void Reign::Impl::readPage(const std::string &after)
{
    context.store.readJobs(after, [self = shared_from_this(), after](const tl::expected<JobPage, StoreFailure> &page) {
        if (self->ended) {
            return;
        }
        if (!page) {
            self->retry(StoreRetry, [self, after] {
                self->readPage(after);
            });
            return;
        }
        const BootTime now = BootClock::now();
        const std::int64_t wallMs = toUnixMilliseconds(wallNow());
        for (const auto &[key, bytes] : page->records) {
            self->restore(key, bytes, now, wallMs);
        }
        if (page->next.empty()) {
            self->serve();
        } else {
            self->readPage(page->next);
        }
    });
}

void Reign::Impl::restore(const std::string &key, const std::string &bytes, BootTime now, std::int64_t wallMs)
{
    if (key.rfind(WaveKeyPrefix, 0) == 0) {
        if (const std::optional<WaveRecord> record = Packing::fromBytes<WaveRecord>(bytes)) {
            instances->restore(*record);
            return;
        }
    } else if (std::optional<JobRecord> record = decodeJob(bytes)) {
        scheduler.restore(std::move(*record), now, wallMs);
        ++restored;
        return;
    }
    logChange("owner", "unreadable record", {{"key", key}, {"bytes", text(bytes.size())}});
}

void Reign::Impl::serve()
{
    scheduler.setPolicy(policy);
    for (const auto &[wave, seenAt] : waves) {
        instances->addWave(wave, seenAt);
    }
    serving = true;
    logChange("owner", "serving", {{"epoch", text(epoch)}, {"jobs", text(restored)}, {"configuration", text(policy->version)}});
    context.registry.watch([self = shared_from_this()](const std::vector<WorkerFacts> &seen, const std::vector<WorkerId> &removed) {
        if (self->ended) {
            return;
        }
        const BootTime now = BootClock::now();
        for (const WorkerFacts &facts : seen) {
            self->scheduler.workerSeen(facts, now);
        }
        for (const WorkerId &worker : removed) {
            self->scheduler.workerRemoved(worker);
        }
        self->schedulePump();
    });
    pump();
}

void Reign::Impl::depose(std::string reason)
{
    if (ended) {
        return;
    }
    logChange("owner", "deposed", {{"epoch", text(epoch)}, {"reason", reason}});
    const auto handler = std::exchange(onDeposed, nullptr);
    end();
    if (handler) {
        handler(std::move(reason));
    }
}

void Reign::Impl::end()
{
    if (ended) {
        return;
    }
    ended = true;
    serving = false;
    timer.cancel();
    retryTimer.cancel();
    context.registry.stop();
    if (instances) {
        instances->end();
    }
    for (const WaitingAnswer &waiting : std::exchange(answers, {})) {
        waiting.respond(JobAnswer::unknown("the owner of the jobs changed"));
    }
    if (const auto settled = std::exchange(onSettled, nullptr)) {
        settled();
    }
}

void Reign::Impl::schedulePump()
{
    if (pumpPosted || ended) {
        return;
    }
    pumpPosted = true;
    asio::post(context.io, [self = shared_from_this()] {
        self->pumpPosted = false;
        self->pump();
    });
}

void Reign::Impl::armTimer(std::chrono::milliseconds delay)
{
    timer.expires_after(delay);
    timer.async_wait([self = shared_from_this()](const asio::error_code &error) {
        if (!error) {
            self->pump();
        }
    });
}

void Reign::Impl::pump()
{
    if (ended || !serving) {
        return;
    }
    const BootTime now = BootClock::now();
    if (!settling) {
        scheduler.advance(now, toUnixMilliseconds(wallNow()));
        instances->advance(now, *policy, now - freshAt < context.ownership.orderFreshness);
    }
    storeNext(now);
    executeOrders(now);
    logNotices();
    expireAnswers();
    if (now - countedAt > 1s) {
        countedAt = now;
        logPools(now);
        const SchedulerCounts counts = scheduler.counts();
        openJobs.set(static_cast<double>(counts.openJobs));
        liveRuns.set(static_cast<double>(counts.runs));
        reachableWorkers.set(static_cast<double>(counts.reachableWorkers));
    }
    if (scheduler.isDeposed()) {
        depose("a worker has seen a later owner");
        return;
    }
    if (settling && ((!storeInFlight && !scheduler.hasUnstored()) || now > settleUntil)) {
        end();
        return;
    }
    armTimer(scheduler.hasUnstored() && !storeInFlight ? std::max<std::chrono::milliseconds>(1ms, storeAt + StoreSpacing - now) : PumpInterval);
}

void Reign::Impl::storeNext(BootTime now)
{
    if (storeInFlight || !scheduler.hasUnstored() || now < storeAt + StoreSpacing) {
        return;
    }
    RecordBatch batch = scheduler.takeBatch();
    for (const WaveRecord &wave : instances->takeChanged()) {
        batch.records.emplace_back(WaveKeyPrefix + text(wave.number), Packing::toBytes(wave));
    }
    if (batch.isEmpty()) {
        return;
    }
    // What does not fit into one call goes in several; the batch counts as stored after the last.
    RecordBatch chunk;
    chunk.number = batch.number;
    std::size_t bytes = 0;
    for (auto &record : batch.records) {
        if (bytes + record.second.size() > context.store.callBytesMax / 2 && !chunk.records.empty()) {
            chunks.push_back(std::exchange(chunk, RecordBatch{batch.number, {}, {}}));
            bytes = 0;
        }
        bytes += record.second.size();
        chunk.records.push_back(std::move(record));
    }
    chunk.dropped = std::move(batch.dropped);
    chunks.push_back(std::move(chunk));
    storeAt = now;
    storeInFlight = true;
    storeWaitsSince = now;
    ++sequence;
    sendChunk();
}

void Reign::Impl::sendChunk()
{
    const BootTime sentAt = BootClock::now();
    const RecordBatch &chunk = chunks.front();
    context.store.storeJobs(epoch, sequence, chunk.records, chunk.dropped, [self = shared_from_this(), sentAt](const auto &result) {
        if (self->ended) {
            return;
        }
        if (result) {
            self->freshAt = std::max(self->freshAt, sentAt);
            const std::uint64_t batch = self->chunks.front().number;
            self->chunks.pop_front();
            if (self->chunks.empty()) {
                self->stored(batch);
            } else {
                ++self->sequence;
                self->sendChunk();
            }
            return;
        }
        if (result.error() == StoreFailure::Fenced || result.error() == StoreFailure::Conflict) {
            self->depose("the store refused a batch: " + std::string(toName(result.error())));
            return;
        }
        logChange("owner", "batch not stored", {{"batch", text(self->chunks.front().number)}, {"reason", std::string(toName(result.error()))}});
        self->retry(StoreRetry, [self] {
            self->sendChunk();
        });
    });
}

void Reign::Impl::stored(std::uint64_t batch)
{
    const BootTime now = BootClock::now();
    storeInFlight = false;
    batchesTotal.increment();
    storeSeconds.observe(static_cast<double>((now - storeWaitsSince).count()) / 1000.0);
    scheduler.noteStored(batch, now);
    std::vector<WaitingAnswer> ready;
    for (auto waiting = answers.begin(); waiting != answers.end();) {
        if (waiting->batch <= batch) {
            ready.push_back(std::move(*waiting));
            waiting = answers.erase(waiting);
        } else {
            ++waiting;
        }
    }
    for (WaitingAnswer &waiting : ready) {
        waiting.respond(std::move(waiting.answer));
    }
    schedulePump();
}

void Reign::Impl::executeOrders(BootTime now)
{
    const std::chrono::milliseconds age = now - freshAt;
    if (age >= context.ownership.leaseFreshness) {
        return;
    }
    const bool mayAct = age < context.ownership.orderFreshness && !settling;
    for (const Order &order : scheduler.takeOrders(now, mayAct ? OrderScope::All : OrderScope::Leases)) {
        std::visit(
            [this](const auto &given) {
                execute(given);
            },
            order);
    }
}

void Reign::Impl::execute(const StartOrder &order)
{
    const WorkerSession *worker = scheduler.findWorker(order.worker);
    const JobRecord *job = scheduler.findJob(order.task.job);
    if (worker == nullptr || job == nullptr) {
        return;
    }
    startsTotal.increment();
    context.workers.start(worker->facts(), order, job->spec.payload, [self = shared_from_this(), order](const OrderResult &result) {
        if (!self->ended) {
            self->scheduler.noteStart(order, result, BootClock::now(), toUnixMilliseconds(wallNow()));
            self->schedulePump();
        }
    });
}

void Reign::Impl::execute(const StopOrder &order)
{
    if (const WorkerSession *worker = scheduler.findWorker(order.worker)) {
        context.workers.stop(worker->facts(), order, [self = shared_from_this(), order](const OrderResult &result) {
            if (!self->ended) {
                self->scheduler.noteStop(order, result, BootClock::now());
                self->schedulePump();
            }
        });
    }
}

void Reign::Impl::execute(const PaceOrder &order)
{
    if (const WorkerSession *worker = scheduler.findWorker(order.worker)) {
        context.workers.pace(worker->facts(), order, [self = shared_from_this(), order](const OrderResult &result) {
            if (!self->ended) {
                self->scheduler.notePace(order, result, BootClock::now());
            }
        });
    }
}

void Reign::Impl::execute(const HoldOrder &order)
{
    if (const WorkerSession *worker = scheduler.findWorker(order.worker)) {
        const BootTime sentAt = BootClock::now();
        context.workers.hold(worker->facts(), order, [self = shared_from_this(), order, sentAt](const HoldResult &result) {
            if (!self->ended) {
                self->scheduler.noteHold(order, sentAt, result, BootClock::now(), toUnixMilliseconds(wallNow()));
                self->schedulePump();
            }
        });
    }
}

void Reign::Impl::execute(const AdviceOrder &order)
{
    context.workers.advise(order, [self = shared_from_this(), order](const std::vector<Permission> &permissions) {
        if (!self->ended) {
            self->scheduler.noteAdvice(order, permissions, BootClock::now());
            self->schedulePump();
        }
    });
}

void Reign::Impl::logNotices()
{
    for (const Notice &notice : scheduler.takeNotices()) {
        if (notice.event == "run-lost") {
            lostTotal.increment();
        }
        if (notice.job.empty()) {
            logChange("owner", notice.event, {{"worker", notice.worker}, {"detail", notice.detail}});
        } else if (notice.worker.empty()) {
            logChange("owner", notice.event, {{"job", notice.job}, {"detail", notice.detail}});
        } else {
            logChange("owner",
                      notice.event,
                      {{"job", notice.job}, {"task", taskText(notice)}, {"run", text(notice.run)}, {"worker", notice.worker}, {"detail", notice.detail}});
        }
    }
}

void Reign::Impl::logPools(BootTime now)
{
    for (const auto &[pool, counts] : scheduler.poolCounts(now)) {
        logChange("owner",
                  "pool",
                  {{"pool", pool},
                   {"workers", text(counts.workers)},
                   {"usable", text(counts.usable)},
                   {"capacity-cpu", std::to_string(counts.capacity.cpu)},
                   {"used-cpu", std::to_string(counts.used.cpu)},
                   {"used-memory", std::to_string(counts.used.memory)},
                   {"backlog-cpu", std::to_string(counts.backlog.cpu)},
                   {"waiting-jobs", text(counts.waitingJobs)},
                   {"late-jobs", text(counts.lateJobs)}});
    }
    for (const auto &[account, used] : scheduler.usedByAccount()) {
        if (const auto known = policy->accounts.find(account); known != policy->accounts.end()) {
            logChange("owner",
                      "account",
                      {{"account", account},
                       {"used-cpu", std::to_string(used.cpu)},
                       {"cap-cpu", std::to_string(known->second.cap.cpu)},
                       {"used-memory", std::to_string(used.memory)},
                       {"cap-memory", std::to_string(known->second.cap.memory)}});
        }
    }
}

void Reign::Impl::expireAnswers()
{
    const std::int64_t wallMs = toUnixMilliseconds(wallNow());
    std::vector<WaitingAnswer> expired;
    for (auto waiting = answers.begin(); waiting != answers.end();) {
        if (wallMs > waiting->expiresMs) {
            expired.push_back(std::move(*waiting));
            waiting = answers.erase(waiting);
        } else {
            ++waiting;
        }
    }
    for (const WaitingAnswer &waiting : expired) {
        logChange("owner", "answer not in time", {{"job", waiting.job}, {"batch", text(waiting.batch)}});
        waiting.respond(JobAnswer::unknown("the store did not answer in time"));
    }
}

bool Reign::Impl::isStoreAway(BootTime now) const
{
    return (storeInFlight && now - storeWaitsSince > StoreAwayAfter) || now - freshAt > context.ownership.orderFreshness;
}

void Reign::Impl::handle(const JobCall &call, const Responder &respond)
{
    if (!serving || settling) {
        respond(JobAnswer::notRun("the owner of the jobs is changing", TakeoverRetryAfterMs));
        return;
    }
    switch (call.kind) {
    case JobCallKind::Submit:
        submit(call, respond);
        break;
    case JobCallKind::Cancel: {
        const CancelOutcome outcome = scheduler.cancel(call.job, toUnixMilliseconds(wallNow()));
        if (outcome.known) {
            answerAfter(outcome.batch, call, JobAnswer::of(JobAnswerKind::Done), respond);
        } else {
            respond(JobAnswer::of(JobAnswerKind::UnknownJob));
        }
        break;
    }
    case JobCallKind::State: {
        const std::optional<JobState> state = scheduler.stateOf(call.job);
        JobAnswer answer = JobAnswer::of(state ? JobAnswerKind::State : JobAnswerKind::UnknownJob);
        answer.state = state.value_or(JobState::Queued);
        respond(std::move(answer));
        break;
    }
    case JobCallKind::CountPending: {
        JobAnswer answer = JobAnswer::of(JobAnswerKind::Pending);
        answer.pending = scheduler.pendingOf(call.queue);
        respond(std::move(answer));
        break;
    }
    }
    schedulePump();
}

void Reign::Impl::submit(const JobCall &call, const Responder &respond)
{
    const BootTime now = BootClock::now();
    if (scheduler.findJob(call.job) == nullptr) {
        const auto queue = policy->queues.find(call.queue);
        if (queue == policy->queues.end()) {
            respond(JobAnswer::notRun("the owner does not have this configuration yet", ConfigurationRetryAfterMs));
            return;
        }
        if (isStoreAway(now)) {
            respond(JobAnswer::notRun("the store does not answer", StoreAwayRetryAfterMs));
            return;
        }
        JobRecord record;
        record.id = call.job;
        record.queue = call.queue;
        record.account = call.account;
        record.terms = queue->second.terms;
        record.spec = call.spec;
        const SubmitOutcome outcome = scheduler.submit(std::move(record), now, toUnixMilliseconds(wallNow()));
        answerAfter(outcome.batch, call, JobAnswer::of(JobAnswerKind::Done), respond);
        return;
    }
    if (scheduler.stateOf(call.job)) {
        respond(JobAnswer::of(JobAnswerKind::Done));
        return;
    }
    JobRecord repeat;
    repeat.id = call.job;
    const SubmitOutcome outcome = scheduler.submit(std::move(repeat), now, toUnixMilliseconds(wallNow()));
    answerAfter(outcome.batch, call, JobAnswer::of(JobAnswerKind::Done), respond);
}

void Reign::Impl::answerAfter(std::uint64_t batch, const JobCall &call, JobAnswer answer, Responder respond)
{
    if (scheduler.isStored(batch)) {
        respond(std::move(answer));
        return;
    }
    // The caller's node may have another time of day, so what the store does in its usual time is waited for.
    const std::int64_t wallMs = toUnixMilliseconds(wallNow());
    const std::int64_t expiresMs = std::max(call.deadlineMs - AnswerMarginMs, wallMs + AnswerTimeLeastMs);
    answers.push_back({batch, std::move(answer), expiresMs, call.job, std::move(respond)});
}

Reign::Reign(
    ReignContext context, std::uint64_t epoch, PredecessorLeases predecessor, InstanceHandOver handOver, std::function<void(std::string reason)> onDeposed)
    : m_impl(std::make_shared<Impl>(context, epoch, std::move(predecessor), std::move(handOver), std::move(onDeposed)))
{
}

Reign::~Reign()
{
    m_impl->end();
}

void Reign::begin(std::shared_ptr<const FleetPolicy> policy)
{
    m_impl->policy = std::move(policy);
    Impl &impl = *m_impl;
    const BootTime now = BootClock::now();
    impl.freshAt = now;
    impl.fence();
}

void Reign::end()
{
    m_impl->end();
}

void Reign::settle(std::function<void()> onSettled)
{
    if (m_impl->ended || !m_impl->serving) {
        m_impl->end();
        onSettled();
        return;
    }
    m_impl->settling = true;
    m_impl->settleUntil = BootClock::now() + SettleMost;
    m_impl->onSettled = std::move(onSettled);
    m_impl->schedulePump();
}

void Reign::setPolicy(std::shared_ptr<const FleetPolicy> policy)
{
    m_impl->policy = std::move(policy);
    if (m_impl->serving) {
        m_impl->scheduler.setPolicy(m_impl->policy);
        m_impl->schedulePump();
    }
}

void Reign::addWave(const WaveSpec &spec, BootTime seenAt)
{
    if (m_impl->serving) {
        m_impl->instances->addWave(spec, seenAt);
    } else {
        m_impl->waves.emplace_back(spec, seenAt);
    }
}

void Reign::noteFresh(BootTime sentAt)
{
    m_impl->freshAt = std::max(m_impl->freshAt, sentAt);
}

void Reign::handle(const JobCall &call, const Responder &respond)
{
    m_impl->handle(call, respond);
}

void Reign::notePublished(const std::map<WorkerId, std::int64_t> &silentWorkers)
{
    std::set<WorkerId> workers;
    for (const auto &[worker, left] : silentWorkers) {
        workers.insert(worker);
    }
    m_impl->scheduler.setPublishedSilent(workers);
    m_impl->schedulePump();
}

std::map<WorkerId, std::int64_t> Reign::silentWorkers() const
{
    std::map<WorkerId, std::int64_t> silent;
    for (const auto &[worker, left] : m_impl->scheduler.silentWorkers(BootClock::now())) {
        silent[worker] = left.count();
    }
    return silent;
}

std::map<InstanceId, std::int64_t> Reign::recentInstanceOrders() const
{
    return m_impl->instances->recentOrders();
}

bool Reign::isServing() const
{
    return m_impl->serving;
}

std::uint64_t Reign::epoch() const
{
    return m_impl->epoch;
}

const Scheduler &Reign::scheduler() const
{
    return m_impl->scheduler;
}

}
