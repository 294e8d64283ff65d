#pragma once

#include "common/ids.h"

#include <cstdint>
#include <string_view>

namespace banyanwall::common {

/// Returns the 64-bit XXH3 hash of a byte string; the same on all instances.
[[nodiscard]] std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed = 0);

/// Mixes the bits of a value (finalizer of splitmix64). Different values give different results.
[[nodiscard]] constexpr std::uint64_t mixBits(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

/// Hashes two values into one; the same on all instances. As long as one of the two is fixed,
/// different values of the other never collide, for example consecutive request ids of one caller.
[[nodiscard]] constexpr std::uint64_t hashPair(std::uint64_t first, std::uint64_t second)
{
    constexpr std::uint64_t goldenRatio = 0x9e3779b97f4a7c15ULL;
    return mixBits(mixBits(first + goldenRatio) + second + goldenRatio);
}

template<typename Id>
Id idFromName(std::string_view name)
{
    return Id(static_cast<std::uint32_t>(hashBytes(name)));
}

} // namespace banyanwall::common
