#pragma once

#include <cstdint>
#include <string_view>

namespace Cornelquay {

constexpr std::uint64_t HashStart = 14695981039346656037ULL;
constexpr std::uint64_t HashFactor = 1099511628211ULL;

/** FNV-1a, continued from @p hash. Stored in snapshots, so it must not depend on the standard library. */
constexpr std::uint64_t stableHash(std::string_view text, std::uint64_t hash = HashStart)
{
    for (const char character : text) {
        hash = (hash ^ static_cast<unsigned char>(character)) * HashFactor;
    }
    return hash;
}

constexpr std::uint64_t stableHash(std::uint64_t number, std::uint64_t hash)
{
    return (hash ^ number) * HashFactor;
}

}
