#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <tuple>

namespace Cornelquay {

/** Position of a record in the platform's log. The first record has offset 0. */
using Offset = std::uint64_t;

/** Size of a record id and of a claim key, in bytes. */
constexpr std::size_t IdentifierBytes = 16;

/** Random id of a proposed record. All retries of its append use the same id. */
using RecordId = std::array<std::uint8_t, IdentifierBytes>;

/** Identifies one request, so that it runs at most once: a digest of team and request id. See claimKeyOf(). */
using ClaimKey = std::array<std::uint8_t, IdentifierBytes>;

/** Generates a record id. Throws std::runtime_error if the system's random source fails. Thread-safe. */
RecordId newRecordId();

/**
 * The claim key of @p requestId as sent by @p team: the first bytes of a SHA-256 digest.
 * Throws std::runtime_error if SHA-256 is not available. Thread-safe.
 */
ClaimKey claimKeyOf(std::string_view team, std::string_view requestId);

/** @p identifier as lower-case hexadecimal digits. */
std::string toHex(const std::array<std::uint8_t, IdentifierBytes> &identifier);

/** Hash for containers. Uses the first bytes as they are, since identifiers are uniformly distributed. */
struct IdentifierHash {
    std::size_t operator()(const std::array<std::uint8_t, IdentifierBytes> &identifier) const;
};

/**
 * One run of a process: its configured name and a number that grows with every restart.
 * A process that replaces another at the same address has the same name and a larger number.
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
