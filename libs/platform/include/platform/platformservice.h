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

/** State of an instance in the platform's list. */
enum class ListedState {
    Live,
    Leaving,
    Draining,
    Drained,
    Rebooting,
};

/** One instance in the platform's list, which may lag behind the actual state. */
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
    /** Time of the last maintenance, in Unix milliseconds. */
    std::int64_t maintainedAtMs = 0;
};

/** The name of @p state in the protocol. */
std::string_view toName(ListedState state);
/** The state with this name; nothing if there is none. */
std::optional<ListedState> parseListedState(std::string_view name);

/** Effect of a failed call to the platform. */
enum class PlatformError {
    /** The call certainly had no effect. */
    NotDone,
    /** The platform refused the call, for instance because of an outdated fencing token. */
    Refused,
    /** The call may have taken effect; the list of instances shows whether it did. */
    Unknown,
};

/** A command to the platform with a fencing token, which protects against commands of former holders. Idempotent. */
struct FencedCommand {
    std::string instance;
    /** Fencing token: offset of the grant. The platform refuses a token lower than the highest that it has seen for the instance. */
    Offset fencingToken = 0;
    /** The platform refuses a command that arrives after this time. */
    WallTime beginDeadline;
};

/**
 * Client of the platform's list of instances over HTTP. docs/INTERFACES.md describes the protocol.
 *
 * Created once per process. Every command is idempotent; the list shows its effect later.
 * Thread-safe.
 */
class PlatformService
{
public:
    explicit PlatformService(Address address);
    ~PlatformService();

    /** The list as the platform reports it now. Every failure is reported as NotDone. */
    tl::expected<std::vector<ListedInstance>, PlatformError> instances(SteadyTime deadline) const;

    /** Makes the instance accept no new work and finish the work that it has. */
    tl::expected<void, PlatformError> drain(const FencedCommand &command, SteadyTime deadline);
    /** Restarts a drained instance as a new incarnation. */
    tl::expected<void, PlatformError> reboot(const FencedCommand &command, SteadyTime deadline);
    /** Returns a draining or drained instance to service without a reboot. */
    tl::expected<void, PlatformError> resume(const FencedCommand &command, SteadyTime deadline);

private:
    tl::expected<void, PlatformError> command(const std::string &verb, const FencedCommand &command, SteadyTime deadline);

    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

}
