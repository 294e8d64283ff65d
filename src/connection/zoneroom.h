#pragma once

#include "common/time.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <optional>

namespace banyanwall::connection {

/// Upstreams of one or more zones that may take flows now.
struct UpstreamPool
{
    /// Sum of the slots; a cold upstream counts with those that its limit can keep busy.
    double slots = 0.0;
    /// Sum of the slots, each divided by the slowness of its upstream.
    double effectiveSlots = 0.0;
    std::uint32_t upstreams = 0;

    static constexpr double Unlimited = std::numeric_limits<double>::infinity();

    /// maxSlots is how many slots the limit of a cold upstream can keep busy.
    void add(std::uint32_t upstreamSlots, double slowness, double maxSlots = Unlimited)
    {
        const auto counted = std::min(maxSlots, static_cast<double>(std::max(1U, upstreamSlots)));
        slots += counted;
        effectiveSlots += slowness > 1.0 ? counted / slowness : counted;
        ++upstreams;
    }

    void add(const UpstreamPool &other)
    {
        slots += other.slots;
        effectiveSlots += other.effectiveSlots;
        upstreams += other.upstreams;
    }
};

/// What the division of a zone's openings depends on besides the upstreams.
struct ZoneDemand
{
    /// Slots that the work of the zone's callers keeps busy; empty while it is not known.
    std::optional<double> busySlots {};
    /// Response time that callers expect.
    common::Duration responseAim {};
    /// Usual response time; zero while it is not known.
    common::Duration usualTime {};
};

/// Share of the slots of the pool that may be busy such that requests still wait for at most half
/// of the response aim, from 0 to 1. Smaller for small pools, because random peaks of demand are
/// larger there in proportion, and for slow upstreams.
[[nodiscard]] double targetUtilization(const UpstreamPool &pool, const ZoneDemand &demand);

/// Whether the pool can do the known demand at its target utilization.
[[nodiscard]] bool hasRoomFor(const UpstreamPool &pool, const ZoneDemand &demand);

/// Share of the openings of a zone's callers that stays in the zone, from 0 to 1. others are the
/// upstreams of all other zones, otherZones the number of those zones that have such upstreams.
///
/// All openings stay as long as the zone has room for them within the response aim. Beyond that the
/// share falls in proportion, but not below the share of the zone in the room of all zones. While
/// the demand is not known, each zone is taken to bring about the same demand.
[[nodiscard]] double ownZoneShare(const UpstreamPool &own, const UpstreamPool &others,
                                  std::uint32_t otherZones, const ZoneDemand &demand);

} // namespace banyanwall::connection
