#pragma once

#include "timing/instant.h"
#include "transport/httpclients.h"

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
    /** When the team's permit was taken: a worker starts the task only within the lease from then on. */
    WallTime permitAt;
    /** Whether the permit still holds, so that the task's lease may be renewed. */
    std::function<bool()> mayRenew;
};

/** The worker ran the task and this is its whole answer. */
struct TaskAnswered {
    /** Whether the worker reports success; a failure is an answer too. */
    bool succeeded = true;
    std::string body;
    std::string contentType;
};

/** Why a task provably did not run. */
enum class NotRunReason {
    /** No connection could be opened. */
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

/** The task provably did not run on this worker and never will. */
struct TaskNotRun {
    NotRunReason reason = NotRunReason::Unreachable;
};

/** The task may have run. */
struct TaskUnknown {
    std::string detail;
};

using TaskOutcome = std::variant<TaskAnswered, TaskNotRun, TaskUnknown>;

/** What an exchange learned about the worker on the way. */
struct WorkerReport {
    std::optional<int> slotsFree;
    /** A connection went silent and was given up for a new one. */
    bool silentConnection = false;
    /** An answer was truncated, belonged to another task or had a wrong digest. */
    bool badAnswer = false;
};

/** Time limits of exchanges. */
struct ExchangeLimits {
    /** A connection without a byte for this long is given up; the task is asked for on a new one. */
    std::chrono::milliseconds silence{1000};
    /** A running task is asked for at this interval, which renews its lease too. */
    std::chrono::milliseconds poll{500};
    /** A worker stops a task whose lease was not renewed for this long. */
    std::chrono::milliseconds lease{10000};
    /** Attempts to reach a worker that does not answer about a task, before it is given up. */
    int resolveAttempts = 4;
    /** Kept back before the deadline for ending the task on the worker. */
    std::chrono::milliseconds reserve{150};
};

/**
 * Runs tasks on one worker and finds out for certain what became of them.
 *
 * Created per worker incarnation, shared by all threads that send it work. Each answer is checked
 * against the task's id, the worker's incarnation and the body's digest. After a loss the worker
 * is asked on a new connection, so that a task is reported as not run only with proof.
 * Thread-safe; run() blocks the calling thread.
 */
class TaskExchange
{
public:
    TaskExchange(Address address, std::uint64_t incarnation, std::size_t connectionsMax, ExchangeLimits limits);

    /** Sends @p task and waits for its outcome until @p deadline. */
    TaskOutcome run(const Task &task, SteadyTime deadline, WorkerReport &report);

    /** Waits for the answer of a task that another sender started, without starting it. */
    TaskOutcome attach(const std::string &taskId, SteadyTime deadline, WorkerReport &report);

    /** Ends a task: fenced if it never started, else its answer, or unknown if it was stopped. */
    TaskOutcome end(const std::string &taskId, SteadyTime deadline, WorkerReport &report);

    /** How long a worker keeps a task running without a renewal. */
    std::chrono::milliseconds lease() const;

private:
    HttpClients m_clients;
    const std::uint64_t m_incarnation;
    const ExchangeLimits m_limits;
};

}
