#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Cornelquay::Details {

// Each parser returns std::nullopt unless the whole text is a valid value.

/** A finite decimal number; spaces may follow it. */
std::optional<double> parseReal(std::string_view text);

/** The shortest decimal text that parses back to @p value. */
std::string formatReal(double value);

/** A percentage from 0% to 100% as a fraction: 0.3 for "30%". */
std::optional<double> parsePercentage(std::string_view text);

/** "250ms", "5s", "2min", "1h", "21d". Not negative; rounded to milliseconds. */
std::optional<std::chrono::milliseconds> parseDuration(std::string_view text);

/** "512B", "64KiB", "128MiB", "4GiB", "1TiB". Not negative; rounded to bytes. */
std::optional<std::uint64_t> parseBytes(std::string_view text);

}
