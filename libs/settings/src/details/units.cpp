#include "details/units.h"

#include <array>
#include <charconv>
#include <cmath>

namespace Cornelquay::Details {

namespace {

constexpr double PercentPerWhole = 100.0;

/** 2^53: up to here a double represents every integer exactly. */
constexpr double MaxExactInteger = 9007199254740992.0;

struct Unit {
    std::string_view suffix;
    double factor;
};

// A suffix that ends with another suffix comes first ("ms" before "s"), since the first match is used.
constexpr std::array<Unit, 5> TimeUnits{{{"ms", 1.0}, {"min", 60000.0}, {"s", 1000.0}, {"h", 3600000.0}, {"d", 86400000.0}}};
constexpr std::array<Unit, 5> SizeUnits{{{"KiB", 1024.0}, {"MiB", 1048576.0}, {"GiB", 1073741824.0}, {"TiB", 1099511627776.0}, {"B", 1.0}}};

template<std::size_t Count>
std::optional<double> parseWithUnit(std::string_view text, const std::array<Unit, Count> &units)
{
    for (const Unit &unit : units) {
        if (!text.ends_with(unit.suffix)) {
            continue;
        }
        const std::optional<double> number = parseReal(text.substr(0, text.size() - unit.suffix.size()));
        if (!number || *number < 0 || *number * unit.factor > MaxExactInteger) {
            return std::nullopt;
        }
        return *number * unit.factor;
    }
    return std::nullopt;
}

}

std::optional<double> parseReal(std::string_view text)
{
    while (text.ends_with(' ')) {
        text.remove_suffix(1);
    }
    double number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(number)) {
        return std::nullopt;
    }
    return number;
}

std::string formatReal(double value)
{
    std::array<char, 32> buffer{};
    const auto [end, error] = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return error == std::errc() ? std::string(buffer.data(), end) : std::string();
}

std::optional<double> parsePercentage(std::string_view text)
{
    if (!text.ends_with('%')) {
        return std::nullopt;
    }
    const std::optional<double> number = parseReal(text.substr(0, text.size() - 1));
    if (!number || *number < 0 || *number > PercentPerWhole) {
        return std::nullopt;
    }
    return *number / PercentPerWhole;
}

std::optional<std::chrono::milliseconds> parseDuration(std::string_view text)
{
    const std::optional<double> value = parseWithUnit(text, TimeUnits);
    if (!value) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(std::llround(*value));
}

std::optional<std::uint64_t> parseBytes(std::string_view text)
{
    const std::optional<double> value = parseWithUnit(text, SizeUnits);
    if (!value) {
        return std::nullopt;
    }
    return static_cast<std::uint64_t>(std::llround(*value));
}

}
