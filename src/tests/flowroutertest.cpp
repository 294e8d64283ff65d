#include "routergroup.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace banyanwall;
using namespace banyanwall::tests;

TEST_GROUP_BASE(FlowRouter, RouterGroup) {};

// Guards against relays and overrides for settled buckets: every instance forwards their packets
// straight to the default upstream.
TEST(FlowRouter, settledBucketGoesStraightToTheDefault)
{
    for (const auto &[id, router] : fleet.routers) {
        const FlowKey flow(900 + id);
        CHECK_TRUE(reaches(fleet.deliver(id, PacketKind::Open, flow), entryOf(flow).openUpstream));
        LONGS_EQUAL(id, fleet.lastInstance);
        LONGS_EQUAL(0, router->overrideCount());
    }
}

// Guards against a drain that still lets new flows go to the draining upstream, or that moves the
// flows which were opened there before.
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
    LONGS_EQUAL(2, totalOverrides());
}

// Guards against one flow at two upstreams while instances know different roster versions. Opens
// follow a new roster only when it is in force.
TEST(FlowRouter, opensFollowTheNewRosterOnlyWhenItIsInForce)
{
    const auto next = withState(rosterOf(2), 0, UpstreamState::Draining);
    const auto flow = flowAtDrained();
    const auto owners = ownersOf(flow);
    const auto lagging = nonOwnerOf(flow);
    for (const auto &[id, router] : fleet.routers) {
        if (id != lagging) {
            router->applyRoster(next, fleet.now);
        }
    }
    const auto upstream = open(flow, owners.first.value());
    LONGS_EQUAL(drained.value(), upstream.value());
    CHECK_TRUE(reaches(fleet.deliver(lagging, PacketKind::Data, flow), upstream));

    // A late duplicate of the open does not move the flow when the roster is in force.
    fleet.routers.at(lagging)->applyRoster(next, fleet.now);
    fleet.forEachRouter(
            [&](auto &router) { router.setInForce(RouterFleet::Service, next.version); });
    LONGS_EQUAL(upstream.value(), open(flow).value());
    checkData(flow, upstream);
}

// Guards against one flow at two upstreams when the fabric delivers duplicates of its opening
// packet to two instances, also when a new roster comes into force between the two.
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
    fleet.rollOut(withState(both, position, UpstreamState::Draining));
    LONGS_EQUAL(chosen.value(), open(flow, 5).value());
    checkData(flow, chosen);
}

// Guards against an instance that resumes from a pause and routes by its outdated map. While it is
// stale, it decides only packets that the first owner relays to it as the second owner.
TEST(FlowRouter, staleInstanceRelaysPacketsInsteadOfDeciding)
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
    // As the only member it has no peer to relay to, so it decides by its own map.
    std::erase_if(fleet.routers, [&](const auto &entry) { return entry.first != paused; });
    fleet.announceMembers();
    LONGS_EQUAL(drained.value(), open(flowAtDrained(), paused).value());
}

// Guards against packets to an upstream of a withdrawn availability zone. An instance rejects them
// as soon as it knows the roster with the withdrawal, before the roster is in force.
TEST(FlowRouter, withdrawnZoneGetsNoFurtherPackets)
{
    const auto flow = flowAtDrained();
    LONGS_EQUAL(drained.value(), open(flow).value());
    const auto next = withState(rosterOf(2), 0, UpstreamState::Withdrawn);
    fleet.forEachRouter([&](auto &router) { router.applyRoster(next, fleet.now); });
    for (const auto &[id, router] : fleet.routers) {
        const auto outcome = fleet.deliver(id, PacketKind::Data, flow);
        CHECK_TRUE(isRejectedFor(outcome, Reason::ZoneWithdrawn));
    }
    CHECK_TRUE(open(flowAtDrained()) != drained);
}

// Guards against flows that get no rejection after their upstream failed, and against new flows
// that are opened at the failed upstream. Both have to work without a new settled table, because
// the store may be down.
TEST(FlowRouter, flowsOfALostUpstreamAreRejectedAndNewFlowsUseAnother)
{
    const auto old = flowAtDrained();
    open(old);
    fleet.forEachRouter([&](auto &router) { router.setUpstreamLost(drained, true); });
    CHECK_TRUE(isRejectedFor(fleet.deliver(2, PacketKind::Data, old), Reason::UpstreamLost));
    const auto flow = flowAtDrained();
    const auto chosen = open(flow, 1);
    CHECK_TRUE(chosen != drained);
    LONGS_EQUAL(chosen.value(), open(flow, 3).value());
    checkData(flow, chosen);
    // The upstream returns. The flow that was opened during its failure stays at its upstream.
    fleet.forEachRouter([&](auto &router) { router.setUpstreamLost(drained, false); });
    checkData(flow, chosen);
    LONGS_EQUAL(drained.value(), open(flowAtDrained()).value());
}

// Guards against new flows at upstreams of a partitioned availability zone, and against relays to
// owners in it.
TEST(FlowRouter, unreachableZoneIsAvoided)
{
    const auto unreachable = RouterFleet::zoneOf(1);
    std::erase_if(fleet.routers, [&](const auto &entry) {
        return RouterFleet::zoneOf(entry.first) == unreachable;
    });
    fleet.forEachRouter([&](auto &router) { router.setUnreachableZones({ unreachable }); });
    for (int count = 0; count < 20; ++count) {
        const auto flow = flowAtDrained();
        const auto chosen = open(flow, 2);
        CHECK_TRUE(chosen != drained);
        checkData(flow, chosen);
    }
}

// Guards against broken flows when a drain is cancelled while flows that were opened during the
// drain are in use.
TEST(FlowRouter, cancelledDrainKeepsOverridesUntilSettled)
{
    drain();
    const auto flow = flowAtDrained();
    const auto chosen = open(flow);
    fleet.rollOut(rosterOf(3));
    checkData(flow, chosen);
    const auto late = flowAtDrained();
    LONGS_EQUAL(drained.value(), open(late).value());
    checkData(late, drained);
}

// Guards against an endless relay of one packet between instances whose views of the members
// differ.
TEST(FlowRouter, hopLimitEndsRelays)
{
    drain();
    const auto flow = flowAtDrained();
    const connection::RoutedPacket packet { RouterFleet::Service, flow,         PacketKind::Data,
                                            connection::HopLimit, std::nullopt, std::nullopt };
    const auto decision = fleet.routers.at(nonOwnerOf(flow))->route(packet, fleet.now);
    const auto *reject = std::get_if<connection::RejectPacket>(&decision);
    CHECK_TRUE(reject != nullptr && reject->reason == Reason::HopLimit);
}

// Guards against packets of an unknown service that are not rejected, and against packets that
// reach an upstream of another service.
TEST(FlowRouter, otherServiceIsNeverReached)
{
    const connection::RoutedPacket packet { common::ServiceId(78), FlowKey(1),  PacketKind::Open, 0,
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
