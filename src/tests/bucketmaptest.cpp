#include "version/bucketmap.h"
#include "version/bucketassignment.h"

#include <algorithm>
#include <map>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace banyanwall;
using common::BucketIndex;
using common::RosterVersion;
using common::ServiceId;
using common::SettledRevision;
using common::UpstreamId;
using version::BucketCount;
using version::BucketMap;
using version::ServiceRoster;
using version::SettledTable;
using version::UpstreamState;

namespace {

ServiceRoster rosterOf(std::uint32_t upstreams, std::uint64_t version = 1)
{
    ServiceRoster roster;
    roster.service = ServiceId(77);
    roster.version = RosterVersion(version);
    for (std::uint32_t id = 1; id <= upstreams; ++id) {
        roster.upstreams.push_back({ UpstreamId(id * 7919), {}, {} });
    }
    return roster;
}

std::map<UpstreamId, std::uint32_t> openCounts(const BucketMap &map)
{
    std::map<UpstreamId, std::uint32_t> counts;
    for (std::uint32_t bucket = 0; bucket < BucketCount; ++bucket) {
        ++counts[map.entry(BucketIndex(bucket)).openUpstream];
    }
    return counts;
}

double movedBuckets(const ServiceRoster &before, const ServiceRoster &after)
{
    const BucketMap former(before, std::nullopt, nullptr);
    const BucketMap next(after, std::nullopt, nullptr);
    std::uint32_t moved = 0;
    for (std::uint32_t bucket = 0; bucket < BucketCount; ++bucket) {
        const BucketIndex index(bucket);
        moved += former.entry(index).openUpstream != next.entry(index).openUpstream ? 1 : 0;
    }
    return moved;
}

SettledTable settledAt(const BucketMap &map, std::uint64_t revision)
{
    auto table = map.settledTable();
    table.revision = SettledRevision(revision);
    return table;
}

} // namespace

TEST_GROUP(BucketMap) {};

// Guards against an upstream that gets more than its fair share of new flows. The share in percent
// scales the number of buckets.
TEST(BucketMap, everyUpstreamGetsItsFairShare)
{
    auto roster = rosterOf(14);
    for (const auto &[upstream, count] : openCounts(BucketMap(roster, std::nullopt, nullptr))) {
        CHECK_TRUE(count == BucketCount / 14 || count == BucketCount / 14 + 1);
    }
    roster.upstreams[3].sharePercent = 20;
    const auto counts = openCounts(BucketMap(roster, std::nullopt, nullptr));
    const double fair = BucketCount * 20.0 / 1320.0;
    DOUBLES_EQUAL(fair, counts.at(roster.upstreams[3].id), 1.0);
    DOUBLES_EQUAL(BucketCount * 100.0 / 1320.0, counts.at(roster.upstreams[4].id), 1.0);
}

// Guards against a roster change that moves many more buckets than those of the changed upstream,
// and so makes them transitional.
TEST(BucketMap, consecutiveRostersMoveFewBuckets)
{
    const auto roster = rosterOf(14);
    const double fair = BucketCount / 14.0;
    for (std::size_t position = 0; position < 14; ++position) {
        auto drained = roster;
        drained.upstreams[position].state = UpstreamState::Draining;
        auto removed = roster;
        removed.upstreams.erase(removed.upstreams.begin() + static_cast<std::ptrdiff_t>(position));
        CHECK_TRUE(movedBuckets(roster, drained) < 1.5 * fair);
        // A drained upstream has no buckets left to move when it is removed.
        DOUBLES_EQUAL(0.0, movedBuckets(drained, removed), 0.0);
    }
    CHECK_TRUE(movedBuckets(roster, rosterOf(15)) < 1.5 * BucketCount / 15.0);
}

// Guards against instances that open flows of one bucket at different upstreams, because the
// assignment depends on earlier rosters or on the order of the upstreams.
TEST(BucketMap, assignmentDependsOnTheRosterAlone)
{
    auto roster = rosterOf(14, 9);
    const BucketMap direct(roster, std::nullopt, nullptr);
    const BucketMap earlier(rosterOf(12, 3), std::nullopt, nullptr);
    std::ranges::reverse(roster.upstreams);
    const BucketMap later(roster, std::nullopt, &earlier);
    for (std::uint32_t bucket = 0; bucket < BucketCount; ++bucket) {
        const BucketIndex index(bucket);
        CHECK_TRUE(direct.entry(index).openUpstream == later.entry(index).openUpstream);
        CHECK_TRUE(earlier.entry(index).openUpstream == later.entry(index).defaultUpstream);
    }
}

// Guards against flows that are opened at a draining or withdrawn upstream because the service has
// no active one.
TEST(BucketMap, serviceWithoutActiveUpstreamOpensNoFlows)
{
    auto roster = rosterOf(2);
    roster.upstreams[0].state = UpstreamState::Draining;
    roster.upstreams[1].state = UpstreamState::Withdrawn;
    const BucketMap map(roster, std::nullopt, nullptr);
    CHECK_TRUE(map.entry(BucketIndex(5)).openUpstream == UpstreamId(0));
    CHECK_TRUE(BucketMap(rosterOf(0), std::nullopt, nullptr).entry(BucketIndex(5)).openUpstream
               == UpstreamId(0));
}

// Guards against packets sent to the wrong upstream after a drain is undone: flows that were opened
// during the drain still have overrides, so that their buckets must stay transitional although
// default and open upstream are equal again.
TEST(BucketMap, bucketsStayTransitionalUntilANewerSettledTable)
{
    const auto roster = rosterOf(14, 1);
    const BucketMap first(roster, std::nullopt, nullptr);
    auto drained = rosterOf(14, 2);
    drained.upstreams[0].state = UpstreamState::Draining;
    const BucketMap second(drained, settledAt(first, 1), &first);
    const auto changed = second.transitional();
    CHECK_TRUE(changed.count() > 100);
    const BucketMap undone(rosterOf(14, 3), settledAt(first, 1), &second);
    CHECK_TRUE(undone.transitional() == changed);

    // A table written before the drain was known does not account for its overrides.
    const BucketMap early(rosterOf(14, 3), settledAt(first, 2), &undone);
    CHECK_TRUE(early.transitional() == changed);
    auto cleared = settledAt(undone, 3);
    cleared.transitional.reset();
    CHECK_TRUE(BucketMap(rosterOf(14, 3), cleared, &early).transitional().none());
}

// Guards against an instance that starts after a drain was undone and treats the buckets as
// settled, while flows opened during the drain still have overrides. All buckets are transitional
// until a settled table accounts for the roster.
TEST(BucketMap, newInstanceTreatsAllBucketsAsTransitional)
{
    const BucketMap first(rosterOf(14, 1), std::nullopt, nullptr);
    CHECK_TRUE(BucketMap(rosterOf(14, 3), settledAt(first, 1), nullptr).transitional().all());
    auto followed = settledAt(first, 2);
    followed.basedOnRoster = RosterVersion(3);
    CHECK_TRUE(BucketMap(rosterOf(14, 3), followed, nullptr).transitional().none());
}

// Guards against an instance that misses the roster of a drain and learns only of the one that
// undoes it: flows that were opened in between would be sent to the default upstream.
TEST(BucketMap, skippedRostersMakeAllBucketsTransitional)
{
    const BucketMap first(rosterOf(14, 1), std::nullopt, nullptr);
    const BucketMap skipped(rosterOf(14, 3), settledAt(first, 1), &first);
    CHECK_TRUE(skipped.transitional().all());
    const BucketMap followed(rosterOf(14, 2), settledAt(first, 1), &first);
    CHECK_TRUE(followed.transitional().none());
    const BucketMap contractEdit(rosterOf(14, (1ULL << 32U) + 1), settledAt(first, 1), &first);
    CHECK_TRUE(contractEdit.transitional().none());
}

// Guards against defaults that are reverted by a settled table of a lower revision.
TEST(BucketMap, olderSettledTableIsIgnored)
{
    const BucketMap first(rosterOf(2, 1), std::nullopt, nullptr);
    const BucketMap newer(rosterOf(2, 1), settledAt(first, 5), &first);
    auto old = settledAt(BucketMap(rosterOf(1, 1), std::nullopt, nullptr), 4);
    const BucketMap after(rosterOf(2, 1), old, &newer);
    CHECK_TRUE(after.settledRevision() == SettledRevision(5));
    CHECK_TRUE(after.settledTable().defaults == newer.settledTable().defaults);
}
