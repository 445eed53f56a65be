#pragma once

#include "standin/runledger.h"
#include "transport/address.h"

#include <cstdint>
#include <memory>
#include <string>

namespace Cornelquay {

/** Faults that a worker shows; rates from 0 to 1 apply to each answer, drawn from the seed. */
struct WorkerFaults {
    std::chrono::milliseconds delay{0};
    /** The task runs, but the connection is closed before the answer. */
    double loseAnswer = 0;
    /** The task runs, but the connection stays silent. */
    double silent = 0;
    /** Another task's answer is given. */
    double cross = 0;
    /** Half of the answer is given. */
    double truncate = 0;
    /** The answer is followed by a second one that no one asked for. */
    double duplicate = 0;
    /** One byte of the answer is another one. */
    double damage = 0;
    /** Every task fails at once. */
    bool failing = false;
    /** Nothing is answered until this is false again. */
    bool paused = false;
};

/** What a worker is. */
struct WorkerSettings {
    std::string name;
    std::uint64_t incarnation = 1;
    int slots = 8;
    std::uint64_t seed = 1;
};

/**
 * Stands in for a worker in tests, demo and benches: runs tasks under leases, as the protocol in
 * docs/INTERFACES.md has it, and shows faults when told to.
 *
 * A task's payload may begin with "run-ms=N;" for its run time. The answer is answerFor() of the
 * request id and the payload. Bound to a port of the kernel's choice on creation. Thread-safe.
 */
class WorkerStandin
{
public:
    WorkerStandin(WorkerSettings settings, RunLedger &ledger);
    ~WorkerStandin();
    WorkerStandin(const WorkerStandin &) = delete;
    WorkerStandin &operator=(const WorkerStandin &) = delete;

    // Commands.
    void setFaults(WorkerFaults faults);
    /** From now on no task should be sent here; tasks that still come are run, and noted. */
    void setLeaving(bool leaving);
    /** Refuses new tasks from now on. */
    void setDraining(bool draining);
    /** Ends all tasks and forgets them, and continues as a new incarnation. */
    void restart(std::uint64_t incarnation);
    /** Closes the listener and ends all tasks. */
    void stop();

    // Queries.
    Address address() const;
    std::uint64_t incarnation() const;
    int running() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

/** The answer that a worker gives: depends on every byte of its input. */
std::string answerFor(const std::string &requestId, const std::string &payload);

}
