#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace banyanwall::version {

/// What operators decided for one availability zone. A zone without an entry is active.
struct ZoneState
{
    std::string name;
    bool withdrawn = false;
    /// Share of its fair part of new flows, in percent; below 100 while the zone returns.
    std::uint32_t returningSharePercent = 100;
};

/// Value of the store key "zones".
struct ZoneStates
{
    std::uint64_t version = 0;
    std::vector<ZoneState> zones;
};

} // namespace banyanwall::version
