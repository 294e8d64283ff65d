#pragma once

#include "version/contract.h"
#include "version/roster.h"
#include "version/zonestates.h"

#include <cstdint>
#include <string>
#include <vector>

namespace banyanwall::version {

/// Contract version in the high 32 bits, zone version in the low 32 bits.
[[nodiscard]] common::RosterVersion rosterVersionOf(std::uint64_t contractVersion,
                                                    std::uint64_t zoneVersion);

/// Derives the roster of each service, in the contract's order. A pure function, so that all
/// instances with the same documents get the same rosters. drainedUpstreams holds
/// "service/upstream"; names that the contract does not have are ignored.
///
/// During a cutover the shares of the two groups' active upstreams are scaled so that toGroup as a
/// whole gets sharePercent of new flows, whatever the sizes of the groups.
[[nodiscard]] std::vector<ServiceRoster>
buildRosters(const Contract &contract, std::uint64_t contractVersion,
             const std::vector<std::string> &drainedUpstreams, const ZoneStates &zones);

} // namespace banyanwall::version
