#include "routergroup.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace banyanwall;
using namespace banyanwall::tests;

TEST_GROUP_BASE(FlowRouter, RouterGroup) {};

// Guards against relays and state for buckets that are not in transition.
TEST(FlowRouter, settledBucketGoesStraightToTheDefault)
{
    for (const auto &[id, router] : fleet.routers) {
        const FlowKey flow(900 + id);
        CHECK_TRUE(reaches(fleet.deliver(id, PacketKind::Open, flow), entryOf(flow).openUpstream));
        LONGS_EQUAL(id, fleet.lastInstance);
        LONGS_EQUAL(0, router->overrideCount());
    }
}

// Guards against new flows at a draining upstream and against its old flows being moved.
TEST(FlowRouter, drainMovesNewFlowsAndKeepsOldOnes)
{
    const auto old = flowAtDrained();
    LONGS_EQUAL(drained.value(), open(old).value());
    drain();
    checkData(old, drained);
    const auto flow = flowAtDrained();
    const auto chosen = open(flow);
    CHECK_TRUE(chosen != drained);
    checkData(flow, chosen);
    LONGS_EQUAL(2, replicas());
}

// Guards against two instances at different revisions sending one flow to two upstreams.
TEST(FlowRouter, opensFollowTheNewRosterOnlyWhenItIsInForce)
{
    const auto next = withState(rosterOf(2), 0, UpstreamState::Draining);
    const auto flow = flowAtDrained();
    const auto owners = ownersOf(flow);
    const auto lagging = outsiderOf(flow);
    for (const auto &[id, router] : fleet.routers) {
        if (id != lagging) {
            router->applyRoster(next, fleet.now);
        }
    }
    const auto upstream = open(flow, owners.first.value());
    LONGS_EQUAL(drained.value(), upstream.value());
    CHECK_TRUE(reaches(fleet.deliver(lagging, PacketKind::Data, flow), upstream));

    // A duplicate of the open that arrives after the roster came into force changes nothing.
    fleet.routers.at(lagging)->applyRoster(next, fleet.now);
    fleet.each([&](auto &router) { router.setInForce(RouterFleet::Service, next.version); });
    LONGS_EQUAL(upstream.value(), open(flow).value());
    checkData(flow, upstream);
}

// Guards against duplicates of an open at two instances reaching two upstreams, also when a roster
// comes into force in between.
TEST(FlowRouter, duplicateOpensReachOneUpstream)
{
    drain();
    const auto flow = flowAtDrained();
    const auto chosen = open(flow, 1);
    LONGS_EQUAL(chosen.value(), open(flow, 4).value());
    std::size_t position = 0;
    while (rosterOf(1).upstreams[position].id != chosen) {
        ++position;
    }
    auto both = withState(rosterOf(3), 0, UpstreamState::Draining);
    fleet.roll(withState(both, position, UpstreamState::Draining));
    LONGS_EQUAL(chosen.value(), open(flow, 5).value());
    checkData(flow, chosen);
}

// Guards against an instance that resumes from a pause and routes by its old map.
TEST(FlowRouter, staleInstanceRelaysEverything)
{
    const auto paused = fleet.routers.begin()->first;
    const auto next = withState(rosterOf(2), 0, UpstreamState::Draining);
    for (const auto &[id, router] : fleet.routers) {
        if (id != paused) {
            router->applyRoster(next, fleet.now);
            router->setInForce(RouterFleet::Service, next.version);
        }
    }
    fleet.routers.at(paused)->setStale(true);
    for (int count = 0; count < 50; ++count) {
        const auto flow = FlowKey(nextFlow);
        const auto atDrained = flowAtDrained();
        CHECK_TRUE(open(atDrained, paused) != drained);
        fleet.deliver(paused, PacketKind::Data, flow);
        CHECK_TRUE(fleet.lastInstance != paused || ownersOf(flow).second->value() == paused);
    }
    // Alone, it serves by its own map.
    std::erase_if(fleet.routers, [&](const auto &entry) { return entry.first != paused; });
    fleet.announceMembers();
    LONGS_EQUAL(drained.value(), open(flowAtDrained(), paused).value());
}

// Guards against packets to a withdrawn zone, from the moment an instance knows of it.
TEST(FlowRouter, withdrawnZoneGetsNoPacketAtOnce)
{
    const auto flow = flowAtDrained();
    LONGS_EQUAL(drained.value(), open(flow).value());
    const auto next = withState(rosterOf(2), 0, UpstreamState::Withdrawn);
    fleet.each([&](auto &router) { router.applyRoster(next, fleet.now); });
    for (const auto &[id, router] : fleet.routers) {
        const auto outcome = fleet.deliver(id, PacketKind::Data, flow);
        CHECK_TRUE(rejectedFor(outcome, Reason::ZoneWithdrawn));
    }
    CHECK_TRUE(open(flowAtDrained()) != drained);
}

// Guards against flows of a failed upstream hanging, and against new flows that are opened there
// while the store is down and no settled table can be written.
TEST(FlowRouter, lostUpstreamClosesFlowsAndOpensElsewhere)
{
    const auto old = flowAtDrained();
    open(old);
    fleet.each([&](auto &router) { router.setUpstreamLost(drained, true); });
    CHECK_TRUE(rejectedFor(fleet.deliver(2, PacketKind::Data, old), Reason::UpstreamLost));
    const auto flow = flowAtDrained();
    const auto chosen = open(flow, 1);
    CHECK_TRUE(chosen != drained);
    LONGS_EQUAL(chosen.value(), open(flow, 3).value());
    checkData(flow, chosen);
    // The upstream returns; the recorded flow stays where it is.
    fleet.each([&](auto &router) { router.setUpstreamLost(drained, false); });
    checkData(flow, chosen);
    LONGS_EQUAL(drained.value(), open(flowAtDrained()).value());
}

// Guards against opens in a partitioned zone and against owners that cannot be reached.
TEST(FlowRouter, unreachableZoneIsAvoided)
{
    const auto away = RouterFleet::zoneOf(1);
    std::erase_if(fleet.routers,
                  [&](const auto &entry) { return RouterFleet::zoneOf(entry.first) == away; });
    fleet.each([&](auto &router) { router.setUnreachableZones({ away }); });
    for (int count = 0; count < 20; ++count) {
        const auto flow = flowAtDrained();
        const auto chosen = open(flow, 2);
        CHECK_TRUE(chosen != drained);
        checkData(flow, chosen);
    }
}

// Guards against broken flows when a drain is undone while flows opened during it live.
TEST(FlowRouter, undoneDrainKeepsOverridesUntilSettled)
{
    drain();
    const auto flow = flowAtDrained();
    const auto chosen = open(flow);
    fleet.roll(rosterOf(3));
    checkData(flow, chosen);
    const auto late = flowAtDrained();
    LONGS_EQUAL(drained.value(), open(late).value());
    checkData(late, drained);
}

// Guards against views that differ for good and send a packet in circles.
TEST(FlowRouter, hopLimitEndsRelays)
{
    drain();
    const auto flow = flowAtDrained();
    const connection::FlowPacket packet { RouterFleet::Service, flow,         PacketKind::Data,
                                          connection::HopLimit, std::nullopt, std::nullopt };
    const auto decision = fleet.routers.at(outsiderOf(flow))->route(packet, fleet.now);
    const auto *reject = std::get_if<connection::RejectPacket>(&decision);
    CHECK_TRUE(reject != nullptr && reject->reason == Reason::HopLimit);
}

// Guards against a packet that reaches another service, and against unknown services.
TEST(FlowRouter, otherServiceIsNeverReached)
{
    const connection::FlowPacket packet { common::ServiceId(78), FlowKey(1),  PacketKind::Open, 0,
                                          std::nullopt,          std::nullopt };
    auto &router = *fleet.routers.at(1);
    auto decision = router.route(packet, fleet.now);
    const auto *reject = std::get_if<connection::RejectPacket>(&decision);
    CHECK_TRUE(reject != nullptr && reject->reason == Reason::UnknownService);
    auto other = rosterOf(1);
    other.service = common::ServiceId(78);
    other.upstreams = { { UpstreamId(5), RouterFleet::zoneOf(1), {} } };
    router.applyRoster(other, fleet.now);
    decision = router.route(packet, fleet.now);
    CHECK_TRUE(std::get<connection::ForwardToUpstream>(decision).upstream == UpstreamId(5));
}
