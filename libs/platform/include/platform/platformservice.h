#pragma once

#include "records/identifiers.h"
#include "timing/instant.h"
#include "transport/address.h"

#include <tl/expected.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Cornelquay {

/** What the platform's list says of an instance. */
enum class ListedState {
    Live,
    Leaving,
    Draining,
    Drained,
    Rebooting,
};

/** One instance in the platform's list. The list lags behind. */
struct ListedInstance {
    std::string name;
    std::uint64_t incarnation = 0;
    std::string pool;
    Address address;
    std::string zone;
    std::string rack;
    double cores = 0;
    std::uint64_t memoryBytes = 0;
    double accelerators = 0;
    ListedState state = ListedState::Live;
    /** Unix milliseconds. */
    std::int64_t maintainedAt = 0;
};

/** The name of @p state in the protocol. */
std::string_view toName(ListedState state);
std::optional<ListedState> parseListedState(std::string_view name);

/** What is known after a call to the platform failed. */
enum class PlatformError {
    /** The call provably had no effect. */
    NotDone,
    /** The platform refused it, for instance because the fencing number is too old. */
    Refused,
    /** The call may have taken effect; read its effect back from the list. */
    Unknown,
};

/** A command to the platform, fenced against an older holder. Repeating it is harmless. */
struct FencedCommand {
    std::string instance;
    /** Offset of the grant; the platform refuses a number lower than one it has seen. */
    Offset fence = 0;
    /** The platform refuses to begin after this time. */
    WallTime beginBefore;
};

/**
 * The platform's list of instances and its pools, over HTTP as docs/INTERFACES.md describes it.
 *
 * Created once per process. Every command is idempotent; its effect is read back from the list.
 * Thread-safe.
 */
class PlatformService
{
public:
    explicit PlatformService(Address address);
    ~PlatformService();

    tl::expected<std::vector<ListedInstance>, PlatformError> instances(SteadyTime deadline) const;

    /** The instance takes no new work and ends what it has. */
    tl::expected<void, PlatformError> drain(const FencedCommand &command, SteadyTime deadline);
    /** A drained instance restarts as a new incarnation. */
    tl::expected<void, PlatformError> reboot(const FencedCommand &command, SteadyTime deadline);
    /** A draining or drained instance serves again without a reboot. */
    tl::expected<void, PlatformError> resume(const FencedCommand &command, SteadyTime deadline);

private:
    tl::expected<void, PlatformError> command(const std::string &verb, const FencedCommand &command, SteadyTime deadline);

    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

}
