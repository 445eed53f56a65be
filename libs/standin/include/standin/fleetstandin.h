#pragma once

#include "platform/platformservice.h"
#include "standin/workerstandin.h"

#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace Cornelquay {

/** The initial number of instances of one pool. */
struct PoolSize {
    std::string pool;
    int instances = 0;
};

/** Settings of a stand-in fleet. All instances have the same size. */
struct FleetStandinSettings {
    std::vector<PoolSize> pools;
    /** Availability zones; the instances are spread over them in turn. Must not be empty. */
    std::vector<std::string> zones;
    int workersPerRack = 4;
    /** Maximum number of tasks that an instance runs at once. */
    int slots = 8;
    double cores = 16;
    std::uint64_t memoryBytes = 32ULL << 30;
    double accelerators = 0;
    /** Seed of the workers' faults. */
    std::uint64_t seed = 1;
    /** Age of the list that nodes see. */
    std::chrono::milliseconds listLag{200};
    /** Duration of a reboot. */
    std::chrono::milliseconds rebootTime{500};
};

/**
 * A simulated fleet: worker stand-ins, the platform's list of instances, and its drain, reboot and
 * resume commands.
 *
 * Drains, reboots and the list advance only when the owner calls advance(). Thread-safe.
 */
class FleetStandin
{
public:
    explicit FleetStandin(const FleetStandinSettings &settings);
    ~FleetStandin();
    FleetStandin(const FleetStandin &) = delete;
    FleetStandin &operator=(const FleetStandin &) = delete;

    // Commands. drain(), reboot() and resume() are refused if the instance is unknown or dead, if the
    // command is too late, or if its fencing token is below the highest one that the instance has seen.

    /** Completes drains and reboots that are due, and updates the list to its state one list lag ago. */
    void advance(SteadyTime now);
    /** Makes a live instance refuse new tasks; it is drained once no task runs. */
    tl::expected<void, PlatformError> drain(const FencedCommand &command);
    /** Starts a reboot; also refused unless the instance is drained or already rebooting. */
    tl::expected<void, PlatformError> reboot(const FencedCommand &command, SteadyTime now);
    /** Makes a draining or drained instance accept tasks again. */
    tl::expected<void, PlatformError> resume(const FencedCommand &command);
    /** Lists an instance as leaving; its worker still accepts tasks. False if it is unknown. */
    bool markLeaving(const std::string &instance);
    /** Stops an instance's worker at once; it disappears from the list after the lag. False if it is unknown. */
    bool kill(const std::string &instance);
    /** Sets the faults of one worker, or of all if @p instance is "*". False if there is none. */
    bool setFaults(const std::string &instance, const WorkerFaults &faults);

    // Queries.

    /** The list of instances as nodes see it, that is with its lag. */
    std::vector<ListedInstance> listed() const;
    /** The runs of all workers; valid as long as this object. */
    RunLedger &ledger();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

}
