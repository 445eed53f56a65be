#pragma once

#include "standin/runledger.h"
#include "transport/address.h"

#include <cstdint>
#include <memory>
#include <string>

namespace Cornelquay {

/**
 * Injected faults of a worker. The rates, from 0 to 1, are the probability of the fault for each answer
 * to a new task; the faults are drawn from the worker's seed and exclude each other.
 */
struct WorkerFaults {
    /** Added between the end of a new task and its answer. */
    std::chrono::milliseconds delay{0};
    /** Rate. The task runs, but the connection is closed before the answer. */
    double loseAnswer = 0;
    /** Rate. The task runs, but nothing is sent for 20 s, and then the connection is closed. */
    double silent = 0;
    /** Rate. The answer of another task is sent, if one has finished. */
    double cross = 0;
    /** Rate. Only the first half of the answer is sent. */
    double truncate = 0;
    /** Rate. A second response, without a request, follows the answer. */
    double duplicate = 0;
    /** Rate. The last byte of the answer is altered. */
    double damage = 0;
    /** Every task fails at its start. */
    bool failing = false;
    /** No request is answered until this is false again. */
    bool paused = false;
};

/** Settings of a worker stand-in. */
struct WorkerSettings {
    std::string name;
    std::uint64_t incarnation = 1;
    /** Maximum number of tasks that run at once. */
    int slots = 8;
    /** Seed of the faults. */
    std::uint64_t seed = 1;
};

/**
 * Simulates a worker in tests, the demo and benches: runs tasks under leases, as specified in
 * docs/INTERFACES.md, with injectable faults.
 *
 * A task's payload may begin with "run-ms=N;" to set its run time in milliseconds; it is 0 otherwise.
 * The answer is answerFor() of the request id and the payload. Listens on a free loopback port from
 * its creation on. Thread-safe.
 */
class WorkerStandin
{
public:
    /** @p ledger must outlive the worker. */
    WorkerStandin(WorkerSettings settings, RunLedger &ledger);
    ~WorkerStandin();
    WorkerStandin(const WorkerStandin &) = delete;
    WorkerStandin &operator=(const WorkerStandin &) = delete;

    // Commands.
    void setFaults(WorkerFaults faults);
    /** Sets whether nodes should stop sending tasks. Tasks are still accepted, and recorded as late starts. */
    void setLeaving(bool leaving);
    /** Sets whether new tasks are refused. */
    void setDraining(bool draining);
    /** Ends and removes all tasks, and continues as the new @p incarnation. */
    void restart(std::uint64_t incarnation);
    /** Closes the listener and ends all tasks. */
    void stop();

    // Queries.
    Address address() const;
    std::uint64_t incarnation() const;
    /** Number of running tasks. */
    int running() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

/** The expected answer of a worker stand-in; depends on every byte of the input. */
std::string answerFor(const std::string &requestId, const std::string &payload);

}
