#pragma once

#include "version/contract.h"
#include "version/roster.h"
#include "version/zonestates.h"

#include <cstdint>
#include <string>
#include <vector>

namespace banyanwall::version {

/// Returns the version of a roster: contract version in the high 32 bits, zone version in the low
/// 32 bits.
[[nodiscard]] common::RosterVersion rosterVersionOf(std::uint64_t contractVersion,
                                                    std::uint64_t zoneVersion);

/// Returns the roster of each service in the order of the contract. Depends on the arguments alone,
/// so that instances with the same documents get the same rosters. drainedUpstreams holds
/// "service/upstream"; names that are not in the contract are ignored.
///
/// During a cutover the shares of the active upstreams are scaled so that toGroup as a whole gets
/// sharePercent of new flows, independent of the sizes of the two groups.
[[nodiscard]] std::vector<ServiceRoster>
buildRosters(const Contract &contract, std::uint64_t contractVersion,
             const std::vector<std::string> &drainedUpstreams, const ZoneStates &zones);

} // namespace banyanwall::version
