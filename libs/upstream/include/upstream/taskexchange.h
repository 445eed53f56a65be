#pragma once

#include "timing/instant.h"
#include "transport/httpclientpool.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace Cornelquay {

/** One attempt to run a request on one worker. */
struct Task {
    /** Unique for the attempt: a worker runs a task id at most once. */
    std::string id;
    std::string requestId;
    std::string team;
    std::string service;
    std::string payload;
    /** When the team's permit was taken. The worker starts the task only within ExchangeLimits::leaseLifetime from then. */
    WallTime permitTakenAt;
    /** Whether the team's permit is still held, so that the task's lease may be renewed. May be empty: then it is not renewed. */
    std::function<bool()> mayRenew;
};

/** The worker ran the task; this is its complete answer. */
struct TaskAnswered {
    /** False if the worker reports that the task failed. */
    bool succeeded = true;
    std::string body;
    std::string contentType;
};

/** Why a task is certain not to have run. */
enum class NotRunReason {
    /** No connection could be opened, all connections were in use, or no time was left. */
    Unreachable,
    /** All slots of the worker are taken. */
    NoSlot,
    /** The worker is leaving or draining. */
    Leaving,
    /** The worker at this address is another incarnation than expected. */
    Replaced,
    /** The lease had run out before the task could start. */
    LeaseExpired,
    /** The worker confirmed that the task never started and now never will. */
    Fenced,
};

/** The task did not run on this worker and never will. */
struct TaskNotRun {
    NotRunReason reason = NotRunReason::Unreachable;
};

/** The task may have run, wholly or in part. */
struct TaskUnknown {
    std::string detail;
};

using TaskOutcome = std::variant<TaskAnswered, TaskNotRun, TaskUnknown>;

/** Observations about the worker made during an exchange. */
struct WorkerReport {
    /** Free slots by the worker's last answer. */
    std::optional<int> slotsFree;
    /** The worker did not answer the start of the task in time; the connection was replaced by a new one. */
    bool connectionTimedOut = false;
    /** An answer was truncated, belonged to another task or had a wrong digest. */
    bool invalidAnswer = false;
};

/** Time limits of exchanges. */
struct ExchangeLimits {
    /** A connection on which nothing arrives for this long is closed, and the task's state is requested on a new one. */
    std::chrono::milliseconds responseTimeout{1000};
    /** How long the worker may wait for the end of a task before it replies to a poll. A poll also renews the lease if Task::mayRenew allows it. */
    std::chrono::milliseconds pollInterval{500};
    /** A worker stops a task whose lease was not renewed for this long. */
    std::chrono::milliseconds leaseLifetime{10000};
    /** Requests about a task that fail in a row before its outcome is reported as unknown. */
    int maxStatusAttempts = 4;
    /** Time before the deadline that is kept for ending the task on the worker. */
    std::chrono::milliseconds deadlineMargin{150};
};

/**
 * Runs tasks on one worker and determines their outcomes.
 *
 * Created per worker incarnation, shared by all threads that send it work. Each answer is checked
 * against the task's id, the worker's incarnation and the body's digest. If an answer is missing or
 * invalid, the task's state is requested on a new connection; a task is reported as not run only if
 * that is certain.
 * Thread-safe; run() blocks the calling thread.
 */
class TaskExchange
{
public:
    /** @p maxConnections limits the connections open to the worker at once. */
    TaskExchange(Address address, std::uint64_t incarnation, std::size_t maxConnections, ExchangeLimits limits);

    /** Sends @p task and waits for its outcome. A task that still runs shortly before @p deadline is stopped. */
    TaskOutcome run(const Task &task, SteadyTime deadline, WorkerReport &report);

    /**
     * Waits for the answer of a task that another sender starts; does not start it or renew its lease.
     * Ends the task if it still runs shortly before @p deadline.
     */
    TaskOutcome attach(const std::string &taskId, SteadyTime deadline, WorkerReport &report);

    /**
     * Ends a task. Returns TaskNotRun (Fenced) if it had not started, and now never will; its answer
     * if it had ended; TaskUnknown if it was stopped or the worker does not answer.
     */
    TaskOutcome cancel(const std::string &taskId, SteadyTime deadline, WorkerReport &report);

    /** Time for which a worker keeps a task running without a renewal of its lease. */
    std::chrono::milliseconds leaseLifetime() const;

private:
    HttpClientPool m_clients;
    const std::uint64_t m_incarnation;
    const ExchangeLimits m_limits;
};

}
