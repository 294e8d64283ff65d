#include "version/settledtableplan.h"

#include <algorithm>
#include <numeric>

#include <CppUTest/TestHarness.h>

using namespace banyanwall;
using common::BucketIndex;
using common::RosterVersion;
using common::ServiceId;
using common::SettledRevision;
using common::UpstreamId;
using version::BucketCount;
using version::BucketMap;
using version::planSettled;
using version::ServiceRoster;
using version::SettledTable;
using version::TransitionReport;
using version::UpstreamState;

namespace {

ServiceRoster rosterAt(std::uint64_t version, UpstreamState firstState = UpstreamState::Active)
{
    ServiceRoster roster;
    roster.service = ServiceId(77);
    roster.version = RosterVersion(version);
    for (std::uint32_t id = 1; id <= 14; ++id) {
        roster.upstreams.push_back({ UpstreamId(id * 7919), {}, {} });
    }
    roster.upstreams[0].state = firstState;
    return roster;
}

std::vector<BucketIndex> allBuckets()
{
    std::vector<BucketIndex> buckets;
    for (std::uint32_t bucket = 0; bucket < BucketCount; ++bucket) {
        buckets.emplace_back(bucket);
    }
    return buckets;
}

} // namespace

TEST_GROUP(SettledTablePlan)
{
    const UpstreamId changedUpstream { 7919 };
    const ServiceRoster roster = rosterAt(1);
    const BucketMap start { roster, std::nullopt, nullptr };
    const SettledTable first = *planSettled({ start, roster, {}, {}, {} }, std::nullopt);
    const BucketMap settled { roster, first, &start };
    const ServiceRoster drainedRoster = rosterAt(2, UpstreamState::Draining);
    const BucketMap drained { drainedRoster, first, &settled };
};

// Guards against instances that start before the first table is written and compute other defaults.
TEST(SettledTablePlan, firstTableIsPlannedAtOnceAndOnlyOnce)
{
    LONGS_EQUAL(1, first.revision.value());
    CHECK_TRUE(first.defaults == start.settledTable().defaults);
    CHECK_FALSE(planSettled({ settled, roster, {}, {}, {} }, first).has_value());
}

// Guards against buckets that stay transitional for ever after a drain, and against buckets that
// settle while flows still need their overrides.
TEST(SettledTablePlan, idleBucketsSettleAndKeepOtherOverrides)
{
    const auto withDrain = planSettled({ drained, drainedRoster, {}, {}, {} }, first);
    CHECK_TRUE(withDrain && withDrain->defaults == first.defaults);
    CHECK_TRUE(withDrain->transitional == drained.transitional());
    const BucketMap map(drainedRoster, withDrain, &drained);

    TransitionReport report { withDrain->revision, RosterVersion(2), allBuckets(), {} };
    const auto idle = planSettled({ map, drainedRoster, { report }, {}, {} }, withDrain);
    CHECK_TRUE(idle.has_value());
    LONGS_EQUAL(withDrain->revision.value() + 1, idle->revision.value());
    CHECK_TRUE(std::ranges::find(idle->defaults, changedUpstream) == idle->defaults.end());
    CHECK_TRUE(idle->transitional == map.transitional());

    report.clean = allBuckets();
    const auto clean = planSettled({ map, drainedRoster, { report }, {}, {} }, withDrain);
    CHECK_TRUE(clean->transitional.none());
    report.idle.clear();
    CHECK_FALSE(planSettled({ map, drainedRoster, { report }, {}, {} }, withDrain).has_value());
}

// Guards against buckets that settle because of a report about an older roster or table.
TEST(SettledTablePlan, reportsOfOtherRevisionsAreIgnored)
{
    const auto withDrain = planSettled({ drained, drainedRoster, {}, {}, {} }, first);
    const BucketMap map(drainedRoster, withDrain, &drained);
    const TransitionReport oldTable { first.revision, RosterVersion(2), allBuckets(),
                                      allBuckets() };
    const TransitionReport oldRoster { withDrain->revision, RosterVersion(1), allBuckets(),
                                       allBuckets() };
    const auto next =
            planSettled({ map, drainedRoster, { oldTable, oldRoster }, {}, {} }, withDrain);
    CHECK_FALSE(next.has_value());
    // The map of the planner is older than the table in the store.
    CHECK_FALSE(planSettled({ drained, drainedRoster, {}, {}, {} }, withDrain).has_value());
}

// Guards against buckets that keep a failed or withdrawn upstream as default, although its flows
// cannot continue.
TEST(SettledTablePlan, lostAndWithdrawnDefaultsAreReplacedAtOnce)
{
    const auto withdrawnRoster = rosterAt(2, UpstreamState::Withdrawn);
    const BucketMap withdrawn(withdrawnRoster, first, &settled);
    const auto lostTable =
            planSettled({ drained, drainedRoster, {}, { changedUpstream }, {} }, first);
    const auto withdrawnTable = planSettled({ withdrawn, withdrawnRoster, {}, {}, {} }, first);
    for (const auto &table : { lostTable, withdrawnTable }) {
        CHECK_TRUE(std::ranges::find(table->defaults, changedUpstream) == table->defaults.end());
        // Flows with overrides to other upstreams may be open in these buckets.
        CHECK_TRUE(table->transitional == drained.transitional());
    }
}

// Guards against packets sent to a failed or unreachable default upstream, although their flow was
// opened at another one while the default could not be used.
TEST(SettledTablePlan, bucketsWithUnusableDefaultAreTransitional)
{
    const auto lostTable = planSettled({ settled, roster, {}, { changedUpstream }, {} }, first);
    const auto unreachableTable =
            planSettled({ settled, roster, {}, {}, { changedUpstream } }, first);
    for (const auto &table : { lostTable, unreachableTable }) {
        CHECK_TRUE(table->defaults == first.defaults);
        LONGS_EQUAL(std::ranges::count(first.defaults, changedUpstream),
                    table->transitional.count());
    }
}

// Guards against tables that lose data in the store, and against damaged ones that are accepted.
TEST(SettledTablePlan, tableRoundTripAndDamagedTables)
{
    auto table = *planSettled({ drained, drainedRoster, {}, {}, {} }, first);
    table.defaults[9] = UpstreamId(0);
    const auto message = version::toProto(ServiceId(77), table);
    const auto read = version::fromProto(message, table.revision);
    CHECK_TRUE(read && read->defaults == table.defaults
               && read->basedOnRoster == table.basedOnRoster);
    CHECK_TRUE(read->transitional == table.transitional && read->revision == table.revision);

    auto damaged = message;
    damaged.mutable_buckets()->at(1) = '\x7f';
    CHECK_FALSE(version::fromProto(damaged, table.revision).has_value());
    damaged = message;
    damaged.mutable_buckets()->pop_back();
    CHECK_FALSE(version::fromProto(damaged, table.revision).has_value());
    damaged = message;
    damaged.clear_transitional();
    CHECK_FALSE(version::fromProto(damaged, table.revision).has_value());
}

// Guards against a change of one service that removes or reverts another service of the customer.
TEST(SettledTablePlan, mapOfACustomerKeepsUnchangedServices)
{
    auto otherRoster = roster;
    otherRoster.service = ServiceId(78);
    const BucketMap other(otherRoster, std::nullopt, nullptr);
    const auto both = version::planSettledMap(
            { { start, roster, {}, {}, {} }, { other, otherRoster, {}, {}, {} } }, {});
    LONGS_EQUAL(1, both->revision());
    const auto next = version::planSettledMap(
            { { drained, drainedRoster, {}, {}, {} }, { other, otherRoster, {}, {}, {} } }, *both);
    LONGS_EQUAL(2, next->revision());
    const auto kept = version::findSettled(*next, ServiceId(78));
    CHECK_TRUE(kept && kept->defaults == other.settledTable().defaults);
    CHECK_TRUE(version::findSettled(*next, ServiceId(77))->transitional.any());
    CHECK_FALSE(version::findSettled(*next, ServiceId(79)).has_value());
}
