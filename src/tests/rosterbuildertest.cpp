#include "version/rosterbuilder.h"
#include "common/hash.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace banyanwall;
using version::RosterUpstream;
using version::UpstreamState;

namespace {

version::Contract contractWithCutover(std::uint32_t sharePercent)
{
    version::ServiceContract service;
    service.name = "records";
    service.groups = { { "old",
                         { { "r1", "east", { 1, 1 } },
                           { "r2", "west", { 1, 2 } },
                           { "r3", "east", { 1, 3 } },
                           { "r4", "west", { 1, 4 } } } },
                       { "new", { { "n1", "east", { 1, 5 } } } } };
    service.cutover = version::CutoverSpec { "old", "new", sharePercent, 5, "" };
    return { "clinic", { "east", "west" }, { service } };
}

RosterUpstream upstream(const version::ServiceRoster &roster, const std::string &name)
{
    const auto id = common::idFromName<common::UpstreamId>("clinic/records/" + name);
    const auto found = std::ranges::find(roster.upstreams, id, &RosterUpstream::id);
    CHECK_TRUE(found != roster.upstreams.end());
    return *found;
}

version::ServiceRoster build(std::uint32_t sharePercent, const std::vector<std::string> &drained,
                             const version::ZoneStates &zones)
{
    return version::buildRosters(contractWithCutover(sharePercent), 3, drained, zones).at(0);
}

} // namespace

TEST_GROUP(RosterBuilder) {};

// Guards against different rosters with the same version, and against a zone change that does not
// raise the version.
TEST(RosterBuilder, versionHoldsContractAndZoneVersion)
{
    const auto roster = build(0, {}, { 9, {} });
    CHECK_TRUE(roster.version == common::RosterVersion((std::uint64_t { 3 } << 32U) + 9));
    CHECK_TRUE(version::rosterVersionOf(3, 9) < version::rosterVersionOf(3, 10));
    CHECK_TRUE(version::rosterVersionOf(3, 10) < version::rosterVersionOf(4, 10));
}

// Guards against instances that hold the upstreams of a roster in different orders.
TEST(RosterBuilder, sortsUpstreamsById)
{
    const auto roster = build(0, {}, {});
    LONGS_EQUAL(5, roster.upstreams.size());
    CHECK_TRUE(std::ranges::is_sorted(roster.upstreams, {}, &RosterUpstream::id));
}

// Guards against new flows or requests at a drained upstream, and against packets to a withdrawn
// availability zone.
TEST(RosterBuilder, drainAndWithdrawalSetStates)
{
    const auto roster = build(0, { "records/r1", "records/r2" }, { 1, { { "west", true, 100 } } });
    CHECK_TRUE(upstream(roster, "r1").state == UpstreamState::Draining);
    CHECK_TRUE(upstream(roster, "r2").state == UpstreamState::Withdrawn);
    CHECK_TRUE(upstream(roster, "r3").state == UpstreamState::Active);
    CHECK_TRUE(upstream(roster, "r4").state == UpstreamState::Withdrawn);
}

// Guards against a returning zone that gets its full load at once, while its upstreams are cold.
TEST(RosterBuilder, returningZoneTakesItsShare)
{
    const auto roster = build(0, {}, { 1, { { "west", false, 20 } } });
    LONGS_EQUAL(100, upstream(roster, "r1").sharePercent);
    LONGS_EQUAL(20, upstream(roster, "r2").sharePercent);
    LONGS_EQUAL(0, upstream(roster, "n1").sharePercent);
}

// Guards against a cutover share that depends on the sizes of the groups or on drained upstreams:
// the share is that of the whole group.
TEST(RosterBuilder, cutoverShareAppliesToTheWholeGroup)
{
    // Half of the load on 1 new upstream, half on 4 old ones.
    auto roster = build(50, {}, {});
    LONGS_EQUAL(100, upstream(roster, "n1").sharePercent);
    LONGS_EQUAL(25, upstream(roster, "r1").sharePercent);
    // Half of the load on 1 new upstream, half on the 2 old ones that are not drained.
    roster = build(50, { "records/r1", "records/r2" }, {});
    LONGS_EQUAL(50, upstream(roster, "r3").sharePercent);
    // The coordinator uses both values to compare the answers of the two groups.
    LONGS_EQUAL(5, roster.comparePercent);
    CHECK_TRUE(upstream(roster, "n1").isCutoverTarget);
    CHECK_FALSE(upstream(roster, "r1").isCutoverTarget);
    roster = build(100, {}, {});
    LONGS_EQUAL(0, upstream(roster, "r1").sharePercent);
    LONGS_EQUAL(100, upstream(roster, "n1").sharePercent);
}
