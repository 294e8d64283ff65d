#include "connection/zoneroom.h"

#include <cmath>

namespace banyanwall::connection {

namespace {

// Waiting may take this part of the response aim; the rest is for the request itself.
constexpr double WaitingPart = 0.5;
// Share of the requests that may wait for longer.
constexpr double MaxLateShare = 0.05;
// Where even an idle upstream takes most of the response aim, some openings still stay.
constexpr double MinUtilization = 0.2;
// Zones of somewhat different size still keep their callers while the demand is not known.
constexpr double UnknownDemandMargin = 1.2;

/// Utilization that leaves a reserve of one standard deviation of the demand, which is the square
/// root of the busy slots when requests arrive at random.
double utilizationByPoolSize(double slots)
{
    const auto deviation = (std::sqrt(1.0 + 4.0 * slots) - 1.0) / 2.0;
    return deviation * deviation / slots;
}

/// Utilization at which MaxLateShare of the requests wait for longer than the given time. In a
/// queue with s servers, Poisson arrivals and exponential service times of mean 1, the share that
/// waits longer than t is at most exp(-s (1 - utilization) t).
double utilizationByWait(double slotsPerUpstream, double timeInServiceTimes)
{
    return 1.0 + std::log(MaxLateShare) / (slotsPerUpstream * timeInServiceTimes);
}

} // namespace

double targetUtilization(const UpstreamPool &pool, const ZoneDemand &demand)
{
    if (pool.effectiveSlots <= 0.0 || pool.slots <= 0.0) {
        return 0.0;
    }
    const auto bySize = utilizationByPoolSize(pool.slots);
    if (demand.usualTime <= common::Duration()) {
        return bySize;
    }
    const auto slowness = pool.slots / pool.effectiveSlots;
    const auto serviceTime = static_cast<double>(demand.usualTime.count()) * slowness;
    const auto time = static_cast<double>(demand.responseAim.count()) * WaitingPart / serviceTime;
    const auto slotsPerUpstream = std::max(1.0, pool.slots / std::max(1U, pool.upstreams));
    return std::min(bySize, std::max(MinUtilization, utilizationByWait(slotsPerUpstream, time)));
}

bool hasRoomFor(const UpstreamPool &pool, const ZoneDemand &demand)
{
    return demand.busySlots
            && *demand.busySlots <= pool.effectiveSlots * targetUtilization(pool, demand);
}

double ownZoneShare(const UpstreamPool &own, const UpstreamPool &others, std::uint32_t otherZones,
                    const ZoneDemand &demand)
{
    if (own.effectiveSlots <= 0.0) {
        return 0.0;
    }
    const auto shareOfRoom = own.effectiveSlots / (own.effectiveSlots + others.effectiveSlots);
    if (!demand.busySlots) {
        return std::min(1.0, shareOfRoom * (otherZones + 1.0) * UnknownDemandMargin);
    }
    if (hasRoomFor(own, demand)) {
        return 1.0;
    }
    const auto room = own.effectiveSlots * targetUtilization(own, demand);
    return std::max(shareOfRoom, room / *demand.busySlots);
}

} // namespace banyanwall::connection
