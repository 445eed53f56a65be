#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <tuple>

namespace Cornelquay {

/** Position of a record in the platform's log; the first record has offset 0. */
using Offset = std::uint64_t;

constexpr std::size_t IdentifierBytes = 16;

/** Names one proposed record, the same on every retry of its append. Random. */
using RecordId = std::array<std::uint8_t, IdentifierBytes>;

/** Names one request for at-most-once execution: a digest of team and request id. */
using ClaimKey = std::array<std::uint8_t, IdentifierBytes>;

/** A record id from the system's random source. Thread-safe. */
RecordId newRecordId();

/** The claim key of @p requestId as sent by @p team. */
ClaimKey claimKeyOf(std::string_view team, std::string_view requestId);

/** Lower-case hexadecimal digits. */
std::string toHex(const std::array<std::uint8_t, IdentifierBytes> &identifier);

/** Hash for containers; the identifiers are uniformly distributed already. */
struct IdentifierHash {
    std::size_t operator()(const std::array<std::uint8_t, IdentifierBytes> &identifier) const;
};

/**
 * One life of a process: its configured name and a number that is larger in every later life.
 * A replaced process at the same address has the same name and another incarnation.
 */
struct Incarnation {
    std::string name;
    std::uint64_t number = 0;

    bool operator==(const Incarnation &) const = default;
    bool operator<(const Incarnation &other) const
    {
        return std::tie(name, number) < std::tie(other.name, other.number);
    }
};

}
