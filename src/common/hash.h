#pragma once

#include "common/ids.h"

#include <cstdint>
#include <string_view>

namespace banyanwall::common {

/// 64-bit XXH3 hash of a byte string; the same on all instances.
[[nodiscard]] std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed = 0);

/// Spreads the bits of a value over the whole word (finalizer of splitmix64); a bijection.
[[nodiscard]] constexpr std::uint64_t mixBits(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

/// Mixes two 64-bit values into one; the same on all instances. With one value fixed, different
/// other values never give the same result, so that ids that count up cannot collide.
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
