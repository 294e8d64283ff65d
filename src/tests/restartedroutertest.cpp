#include "routerfleet.h"

#include <CppUTest/TestHarness.h>

using namespace banyanwall;
using common::FlowKey;
using common::UpstreamId;
using connection::PacketKind;
using tests::RouterFleet;
using version::BucketMap;

namespace {

version::ServiceRoster rosterOf(std::uint64_t version)
{
    version::ServiceRoster roster;
    roster.service = RouterFleet::Service;
    roster.version = common::RosterVersion(version);
    for (std::uint32_t id = 1; id <= 14; ++id) {
        roster.upstreams.push_back({ UpstreamId(id * 7919), RouterFleet::zoneOf(id), {} });
    }
    return roster;
}

} // namespace

TEST_GROUP(RestartedRouter)
{
    RouterFleet fleet { 6 };
};

// Guards against new flows at a draining upstream after a restart of the instances. No roster is in
// force on them until their first roll-out ends, and the drained upstream is still the default of
// its buckets.
TEST(RestartedRouter, opensAvoidADrainingDefaultBeforeAnyRosterIsInForce)
{
    RouterFleet before { 6 };
    before.rollOut(rosterOf(1));
    const auto map = before.routers.at(1)->map(RouterFleet::Service);
    auto settled = map->settledTable();
    settled.revision = common::SettledRevision(1);
    auto drain = rosterOf(2);
    drain.upstreams[0].state = version::UpstreamState::Draining;
    const auto drained = drain.upstreams[0].id;
    fleet.forEachRouter([&](auto &router) {
        router.applySettled(RouterFleet::Service, settled, fleet.now);
        router.applyRoster(drain, fleet.now);
    });

    std::uint32_t opened = 0;
    for (std::uint64_t id = 1; opened < 100; ++id) {
        const FlowKey flow(id);
        if (map->entry(BucketMap::bucketOf(flow)).defaultUpstream != drained) {
            continue;
        }
        ++opened;
        const auto outcome = fleet.deliver(1, PacketKind::Open, flow);
        CHECK_TRUE(std::holds_alternative<UpstreamId>(outcome));
        CHECK_FALSE(outcome == RouterFleet::Outcome(drained));
    }
}
