#pragma once

#include "common/ids.h"

#include <cstdint>
#include <string_view>

namespace banyanwall::common {

/// 64-bit XXH3 hash of a byte string; the same on all instances.
[[nodiscard]] std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed = 0);

/// Mixes two 64-bit values into one (finalizer of splitmix64); the same on all instances.
[[nodiscard]] constexpr std::uint64_t hashPair(std::uint64_t first, std::uint64_t second)
{
    std::uint64_t mixed = first ^ (second + 0x9e3779b97f4a7c15ULL + (first << 6U) + (first >> 2U));
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31U);
}

template<typename Id>
Id idFromName(std::string_view name)
{
    return Id(static_cast<std::uint32_t>(hashBytes(name)));
}

} // namespace banyanwall::common
