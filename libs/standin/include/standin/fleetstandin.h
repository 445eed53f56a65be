#pragma once

#include "platform/platformservice.h"
#include "standin/workerstandin.h"

#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace Cornelquay {

/** Instances of one pool at the start. */
struct PoolSize {
    std::string pool;
    int instances = 0;
};

/** What the stand-in fleet is made of. */
struct FleetStandinSettings {
    std::vector<PoolSize> pools;
    std::vector<std::string> zones;
    int workersPerRack = 4;
    int slots = 8;
    double cores = 16;
    std::uint64_t memoryBytes = 32ULL << 30;
    double accelerators = 0;
    std::uint64_t seed = 1;
    /** How old the list is that nodes see. */
    std::chrono::milliseconds listLag{200};
    /** How long a reboot takes. */
    std::chrono::milliseconds rebootTime{500};
};

/**
 * A fleet of worker stand-ins with the platform's list and its drain and reboot commands.
 *
 * Created by the stand-in program and by tests. Time passes only in advance(), which the owner
 * calls; it takes the list's snapshots and ends drains and reboots. Thread-safe.
 */
class FleetStandin
{
public:
    explicit FleetStandin(const FleetStandinSettings &settings);
    ~FleetStandin();
    FleetStandin(const FleetStandin &) = delete;
    FleetStandin &operator=(const FleetStandin &) = delete;

    // Commands.

    /** Ends drains and reboots that are due, and renews the list as it was before the lag. */
    void advance(SteadyTime now);
    tl::expected<void, PlatformError> drain(const FencedCommand &command);
    tl::expected<void, PlatformError> reboot(const FencedCommand &command, SteadyTime now);
    tl::expected<void, PlatformError> resume(const FencedCommand &command);
    /** Marks an instance as leaving in the list; its worker still runs what it gets. */
    bool markLeaving(const std::string &instance);
    /** Stops an instance's worker at once; the list shows it after the lag. */
    bool kill(const std::string &instance);
    /** Sets the faults of one worker, or of all if @p instance is "*". */
    bool setFaults(const std::string &instance, const WorkerFaults &faults);

    // Queries.

    /** The list as nodes see it. */
    std::vector<ListedInstance> listed() const;
    RunLedger &ledger();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

}
