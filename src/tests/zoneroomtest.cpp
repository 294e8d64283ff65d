#include "connection/zoneroom.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>

using namespace banyanwall;
using namespace std::chrono_literals;
using connection::UpstreamPool;
using connection::ZoneDemand;

namespace {

UpstreamPool poolOf(std::uint32_t upstreams, double slots = 2.0, double slowness = 1.0)
{
    return { .slots = upstreams * slots,
             .effectiveSlots = upstreams * slots / slowness,
             .upstreams = upstreams };
}

ZoneDemand demandOf(double busySlots)
{
    return { .busySlots = busySlots, .responseAim = 400ms, .usualTime = 30ms };
}

} // namespace

TEST_GROUP(ZoneRoom) {};

// Guards against flows that cross zones, and are lost when one is cut off, while there is room.
TEST(ZoneRoom, allStayWhileThereIsRoom)
{
    DOUBLES_EQUAL(1.0, connection::ownZoneShare(poolOf(40), poolOf(80), 2, demandOf(0.0)), 0.0);
    DOUBLES_EQUAL(1.0, connection::ownZoneShare(poolOf(40), poolOf(80), 2, demandOf(48.0)), 0.0);
}

// One zone brings twice what it has room for: as much as fits stays.
TEST(ZoneRoom, zoneAtTwiceItsRoomKeepsHalf)
{
    const auto own = poolOf(40);
    const auto target = connection::targetUtilization(own, demandOf(0.0));
    CHECK(target > 0.6 && target < 0.9);
    const auto share =
            connection::ownZoneShare(own, poolOf(120), 3, demandOf(2.0 * target * own.slots));
    DOUBLES_EQUAL(0.5, share, 0.001);
}

// Guards against a zone that sends its openings away although the others have less room.
TEST(ZoneRoom, zoneKeepsAtLeastItsShareOfTheRoom)
{
    const auto others = poolOf(80, 2.0, 4.0);
    const auto share = connection::ownZoneShare(poolOf(40), others, 2, demandOf(500.0));
    DOUBLES_EQUAL(80.0 / 120.0, share, 0.001);
}

// A small zone, with 3 of 18 upstreams, whose callers bring a third of the demand, and a pool of
// one upstream: neither is filled beside free upstreams.
TEST(ZoneRoom, smallZoneIsNotFilledBesideFreeUpstreams)
{
    for (const std::uint32_t upstreams : { 1U, 2U, 3U }) {
        const auto own = poolOf(upstreams);
        const auto demand = demandOf(0.6 * 36.0 / 3.0);
        const auto share = connection::ownZoneShare(own, poolOf(18 - upstreams), 2, demand);
        CHECK(share * *demand.busySlots <= 0.7 * own.slots);
        CHECK(share > 0.0);
    }
    CHECK(connection::targetUtilization(poolOf(1), demandOf(0.0))
          < connection::targetUtilization(poolOf(40), demandOf(0.0)));
}

// After a restart no demand is known: all stays with even zones, and a small zone is not filled.
TEST(ZoneRoom, zonesAreTakenAsEvenUntilTheDemandIsKnown)
{
    const ZoneDemand unknown { .responseAim = 400ms };
    DOUBLES_EQUAL(1.0, connection::ownZoneShare(poolOf(40), poolOf(80), 2, unknown), 0.001);
    DOUBLES_EQUAL(1.0, connection::ownZoneShare(poolOf(4), poolOf(10), 2, unknown), 0.001);
    const auto small = connection::ownZoneShare(poolOf(3), poolOf(15), 2, unknown);
    CHECK(small >= 0.5 && small < 0.65);
    DOUBLES_EQUAL(0.0, connection::ownZoneShare({}, poolOf(15), 2, unknown), 0.0);
}

// All upstreams of the zone are slow, so that its slots do less.
TEST(ZoneRoom, slowZoneHasLessRoom)
{
    const auto demand = demandOf(20.0);
    CHECK(connection::ownZoneShare(poolOf(10, 2.0, 3.0), poolOf(30), 3, demand)
          < 0.5 * connection::ownZoneShare(poolOf(10), poolOf(30), 3, demand));
}

// Demand that swings by 0.55 in 15 s, out of phase between three zones, with figures that are 1 s
// old: no zone gets more than it can do, and the division has no jumps.
TEST(ZoneRoom, divisionFollowsASwingOfDemand)
{
    constexpr int zones = 3;
    const auto own = poolOf(40);
    const auto busySlots = [&](int zone, double seconds) {
        const auto phase = 2.0 * std::numbers::pi * (seconds / 15.0 + zone / 3.0);
        return own.slots * 0.6 * (1.0 + 0.55 * std::sin(phase));
    };
    const auto shareAt = [&](int zone, double seconds) {
        return connection::ownZoneShare(own, poolOf(80), 2, demandOf(busySlots(zone, seconds - 1)));
    };
    double highestUse = 0.0;
    double largestStep = 0.0;
    for (double seconds = 0.0; seconds < 30.0; seconds += 0.1) {
        std::array<double, zones> use {};
        for (int zone = 0; zone < zones; ++zone) {
            const auto share = shareAt(zone, seconds);
            largestStep = std::max(largestStep, std::abs(share - shareAt(zone, seconds + 0.1)));
            const auto demand = busySlots(zone, seconds) / own.slots;
            for (int target = 0; target < zones; ++target) {
                use.at(static_cast<std::size_t>(target)) +=
                        demand * (target == zone ? share : (1.0 - share) / (zones - 1));
            }
        }
        highestUse = std::max(highestUse, std::ranges::max(use));
    }
    CHECK(highestUse < 1.0);
    CHECK(largestStep < 0.03);
}
