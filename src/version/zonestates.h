#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace banyanwall::version {

/// State of one availability zone, set by operators. A zone without an entry is active.
struct ZoneState
{
    std::string name;
    bool withdrawn = false;
    /// Part of their fair share of new flows that the zone's upstreams take, in percent; below 100
    /// while the zone returns after a withdrawal.
    std::uint32_t returningSharePercent = 100;
};

/// Value of the store key "zones".
struct ZoneStates
{
    /// Grows by one with each change.
    std::uint64_t version = 0;
    std::vector<ZoneState> zones;
};

} // namespace banyanwall::version
