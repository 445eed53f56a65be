#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Cornelquay::Details {

/** A finite decimal number that takes up the whole text. */
std::optional<double> parseReal(std::string_view text);

std::string formatReal(double value);

/** "30%" as 0.3; nothing outside 0% to 100%. */
std::optional<double> parsePercentage(std::string_view text);

/** "250ms", "5s", "2min", "1h", "21d"; never negative. */
std::optional<std::chrono::milliseconds> parseDuration(std::string_view text);

/** "512B", "64KiB", "128MiB", "4GiB", "1TiB"; never negative. */
std::optional<std::uint64_t> parseBytes(std::string_view text);

}
