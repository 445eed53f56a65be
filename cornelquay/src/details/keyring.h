#pragma once

#include "fleet/fleetstate.h"

#include <optional>
#include <string>
#include <string_view>

namespace Cornelquay::Details {

/** A new key: the text for the team, shown once, and the record that makes it valid. */
struct NewKey {
    std::string text;
    KeyGranted record;
};

/** Makes a key for @p team from the system's random source. */
NewKey makeKey(const std::string &team);

/**
 * The team whose key @p text is, if it is valid in @p state. The hash is compared in constant
 * time, and an unknown key id costs as much as a known one.
 */
std::optional<std::string> teamOfKey(const FleetState &state, std::string_view text);

/** Lower-case hexadecimal SHA-256. */
std::string sha256Hex(std::string_view text);

/** Compares two texts of equal length in constant time. */
bool equalsInConstantTime(std::string_view a, std::string_view b);

/** The token in "Bearer TOKEN"; empty if the header is something else. */
std::string bearerToken(const std::string &authorization);

}
