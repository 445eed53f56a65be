#pragma once

#include "fleet/fleetstate.h"

#include <optional>
#include <string>
#include <string_view>

namespace Cornelquay::Details {

/** A new key: its text, shown only once, and the record that makes it valid. */
struct NewKey {
    std::string text;
    KeyGranted record;
};

/** Creates a random key for @p team. Throws std::runtime_error if no random bytes are available. */
NewKey makeKey(const std::string &team);

/**
 * The team that owns the key @p text; nullopt if the key is not valid in @p state. Hashes are compared
 * in constant time, and an unknown key id takes as long as a known one, so that timing does not
 * reveal which ids exist.
 */
std::optional<std::string> teamOfKey(const FleetState &state, std::string_view text);

/** The SHA-256 of @p text as 64 lower-case hexadecimal digits. Throws std::runtime_error if the digest fails. */
std::string sha256Hex(std::string_view text);

/** Compares two strings; the time does not depend on the contents, only on whether the lengths match. */
bool equalsInConstantTime(std::string_view a, std::string_view b);

/** The token of an Authorization header "Bearer TOKEN"; empty for other headers. */
std::string bearerToken(const std::string &authorization);

}
