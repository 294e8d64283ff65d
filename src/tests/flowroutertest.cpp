#include "routerfleet.h"

#include <algorithm>
#include <ranges>

#include <CppUTest/TestHarness.h>

using namespace banyanwall;
using common::FlowKey;
using common::Reason;
using common::RosterVersion;
using common::SettledRevision;
using common::UpstreamId;
using connection::PacketKind;
using tests::RouterFleet;
using version::BucketMap;
using version::ServiceRoster;
using version::UpstreamState;

namespace {

ServiceRoster rosterOf(std::uint64_t version, std::uint32_t upstreams = 14)
{
    ServiceRoster roster;
    roster.service = RouterFleet::Service;
    roster.version = RosterVersion(version);
    for (std::uint32_t id = 1; id <= upstreams; ++id) {
        roster.upstreams.push_back({ UpstreamId(id * 7919), RouterFleet::zoneOf(id), {} });
    }
    return roster;
}

ServiceRoster withState(ServiceRoster roster, std::size_t position, UpstreamState state)
{
    roster.upstreams[position].state = state;
    return roster;
}

bool reaches(const RouterFleet::Outcome &outcome, UpstreamId upstream)
{
    return outcome == RouterFleet::Outcome(upstream);
}

bool rejectedFor(const RouterFleet::Outcome &outcome, Reason reason)
{
    return outcome == RouterFleet::Outcome(reason);
}

} // namespace

TEST_GROUP(FlowRouter)
{
    RouterFleet fleet { 6 };
    const UpstreamId drained = rosterOf(1).upstreams[0].id;
    std::uint64_t nextFlow = 1;

    void setup() override
    {
        fleet.roll(rosterOf(1));
        auto settled = fleet.routers.at(1)->map(RouterFleet::Service)->settledTable();
        settled.revision = SettledRevision(1);
        fleet.settle(settled);
    }

    void drain(std::uint64_t version = 2)
    {
        fleet.roll(withState(rosterOf(version), 0, UpstreamState::Draining));
    }

    connection::BucketOwners ownersOf(FlowKey flow) const
    {
        return *fleet.selector->bucketOwners(RouterFleet::Service, BucketMap::bucketOf(flow));
    }

    version::BucketEntry entryOf(FlowKey flow) const
    {
        const auto map = fleet.routers.begin()->second->map(RouterFleet::Service);
        return map->entry(BucketMap::bucketOf(flow));
    }

    /// A new flow whose bucket's default is the drained upstream.
    FlowKey flowAtDrained()
    {
        while (entryOf(FlowKey(nextFlow)).defaultUpstream != drained) {
            ++nextFlow;
        }
        return FlowKey(nextFlow++);
    }

    UpstreamId open(FlowKey flow, std::uint32_t instance = 1)
    {
        const auto outcome = fleet.deliver(instance, PacketKind::Open, flow);
        CHECK_TRUE(std::holds_alternative<UpstreamId>(outcome));
        return std::get<UpstreamId>(outcome);
    }

    void checkData(FlowKey flow, UpstreamId upstream)
    {
        for (const auto &[id, router] : fleet.routers) {
            CHECK_TRUE(reaches(fleet.deliver(id, PacketKind::Data, flow), upstream));
        }
    }

    void kill(common::InstanceId instance)
    {
        fleet.routers.erase(instance.value());
        fleet.announceMembers();
    }
};

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
    std::size_t replicas = 0;
    fleet.each([&](auto &router) { replicas += router.overrideCount(); });
    LONGS_EQUAL(2, replicas);
}

// Guards against two instances at different revisions sending one flow to two upstreams.
TEST(FlowRouter, opensFollowTheNewRosterOnlyWhenItIsInForce)
{
    const auto next = withState(rosterOf(2), 0, UpstreamState::Draining);
    const auto flow = flowAtDrained();
    const auto owners = ownersOf(flow);
    auto &lagging = *std::ranges::find_if(fleet.routers, [&](const auto &entry) {
        const common::InstanceId id(entry.first);
        return id != owners.first && id != owners.second;
    });
    for (const auto &[id, router] : fleet.routers) {
        if (id != lagging.first) {
            router->applyRoster(next, fleet.now);
        }
    }
    const auto upstream = open(flow, owners.first.value());
    LONGS_EQUAL(drained.value(), upstream.value());
    CHECK_TRUE(reaches(fleet.deliver(lagging.first, PacketKind::Data, flow), upstream));

    // A duplicate of the open that arrives after the roster came into force changes nothing.
    lagging.second->applyRoster(next, fleet.now);
    fleet.each([&](auto &router) { router.setInForce(RouterFleet::Service, next.version); });
    LONGS_EQUAL(upstream.value(), open(flow).value());
    checkData(flow, upstream);
}

// Guards against a lost override when the first owner dies between an open and the first data.
TEST(FlowRouter, secondOwnerAnswersWhenTheFirstDies)
{
    drain();
    const auto flow = flowAtDrained();
    const auto owners = ownersOf(flow);
    const auto chosen = open(flow);
    kill(owners.first);
    checkData(flow, chosen);
    LONGS_EQUAL(chosen.value(), open(flow, owners.second->value()).value());
}

// Guards against silent loss when both owners die: the flow falls back to the default, and the
// upstream's answer starts a search that finds it again.
TEST(FlowRouter, bothOwnersDieAndTheFlowIsFoundAgain)
{
    drain();
    const auto flow = flowAtDrained();
    const auto chosen = open(flow);
    const auto owners = ownersOf(flow);
    kill(owners.first);
    kill(*owners.second);
    fleet.now += std::chrono::seconds(1);
    const auto outcome = fleet.deliver(fleet.routers.begin()->first, PacketKind::Data, flow);
    CHECK_TRUE(reaches(outcome, drained));
    auto &forwarder = *fleet.routers.at(fleet.lastInstance);
    auto next = forwarder.nextCandidate(RouterFleet::Service, flow, drained, fleet.now);
    CHECK_TRUE(next == chosen);
    checkData(flow, chosen);
    // An upstream that does not know the flow either ends the search.
    next = forwarder.nextCandidate(RouterFleet::Service, flow, chosen, fleet.now);
    CHECK_FALSE(next.has_value());
    CHECK_FALSE(forwarder.nextCandidate(RouterFleet::Service, FlowKey(3), drained, fleet.now));
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

// Guards against a new owner that decides before it has the overrides, during a roll-out.
TEST(FlowRouter, newOwnerRelaysUntilTheHandoverIsFinished)
{
    drain();
    std::map<FlowKey, UpstreamId> flows;
    for (int count = 0; count < 60; ++count) {
        const auto flow = flowAtDrained();
        flows[flow] = open(flow, 1 + count % 6);
    }
    fleet.add(7);
    fleet.add(8);
    auto &joiner = *fleet.routers.at(7);
    const auto next = withState(rosterOf(2), 0, UpstreamState::Draining);
    auto settled = fleet.routers.at(1)->map(RouterFleet::Service)->settledTable();
    for (const auto id : { 7U, 8U }) {
        fleet.routers.at(id)->applySettled(RouterFleet::Service, settled, fleet.now);
        fleet.routers.at(id)->applyRoster(next, fleet.now);
        fleet.routers.at(id)->setInForce(RouterFleet::Service, next.version);
    }
    fleet.announceMembers();
    std::size_t relayed = 0;
    for (const auto &[flow, upstream] : flows) {
        if (ownersOf(flow).first == common::InstanceId(7)) {
            const auto decision = joiner.route(
                    { RouterFleet::Service, flow, PacketKind::Data, 0, std::nullopt, std::nullopt },
                    fleet.now);
            CHECK_TRUE(std::holds_alternative<connection::RelayToPeer>(decision));
            ++relayed;
        }
    }
    CHECK_TRUE(relayed > 0);
    for (const auto &[flow, upstream] : flows) {
        checkData(flow, upstream);
    }
    // Opens in this phase are decided by the former owner and known to both.
    for (int count = 0; count < 30; ++count) {
        const auto flow = flowAtDrained();
        flows[flow] = open(flow, 7);
    }
    fleet.handOver();
    CHECK_TRUE(joiner.overrideCount() > 0);
    // The handover is complete: the former instances can go.
    for (const std::uint32_t former : { 1U, 2U, 3U }) {
        kill(common::InstanceId(former));
        fleet.handOver();
    }
    for (const auto &[flow, upstream] : flows) {
        checkData(flow, upstream);
    }
}

// Guards against a decision of an instance with an older view of the members that the new owner
// never learns of, because its handover was finished before.
TEST(FlowRouter, recordOfAnOlderViewReachesTheNewOwner)
{
    drain();
    const auto former = fleet.selector;
    fleet.add(7);
    std::vector<connection::Member> members = former->members();
    members.push_back({ common::InstanceId(7), RouterFleet::zoneOf(7), false });
    const auto current = std::make_shared<const connection::OwnerSelector>(members);
    fleet.selector = current;
    auto flow = flowAtDrained();
    const auto formerFirst = [&] {
        return former->bucketOwners(RouterFleet::Service, BucketMap::bucketOf(flow))->first;
    };
    while (ownersOf(flow).first != common::InstanceId(7)
           || ownersOf(flow).second == formerFirst()) {
        flow = flowAtDrained();
    }
    auto &joiner = *fleet.routers.at(7);
    const auto roster = withState(rosterOf(2), 0, UpstreamState::Draining);
    joiner.applySettled(RouterFleet::Service,
                        fleet.routers.at(1)->map(RouterFleet::Service)->settledTable(), fleet.now);
    joiner.applyRoster(roster, fleet.now);
    joiner.setInForce(RouterFleet::Service, roster.version);
    for (const auto id : { ownersOf(flow).first, *ownersOf(flow).second }) {
        fleet.routers.at(id.value())->setMembers(current, fleet.now);
    }
    fleet.handOver();
    const auto chosen = open(flow, formerFirst().value());
    LONGS_EQUAL(1, joiner.overrideCount());
    CHECK_TRUE(reaches(fleet.deliver(7, PacketKind::Data, flow), chosen));
}

// Guards against an owner that waits for ever for a handover message that was lost.
TEST(FlowRouter, overdueHandoverIsRequested)
{
    drain();
    std::vector<FlowKey> flows;
    for (int count = 0; count < 40; ++count) {
        flows.push_back(flowAtDrained());
        open(flows.back());
    }
    const auto lost = fleet.routers.at(2)->map(RouterFleet::Service)->settledTable();
    fleet.add(7);
    auto &joiner = *fleet.routers.at(7);
    joiner.applySettled(RouterFleet::Service, lost, fleet.now);
    joiner.applyRoster(withState(rosterOf(2), 0, UpstreamState::Draining), fleet.now);
    fleet.announceMembers();
    fleet.each([&](auto &router) { std::ignore = router.takeHandovers(100'000, fleet.now); });
    CHECK_TRUE(joiner.takeRequests(100'000, fleet.now).empty());
    fleet.now += std::chrono::seconds(3);
    for (const auto &request : joiner.takeRequests(100'000, fleet.now)) {
        fleet.routers.at(request.receiver.value())
                ->acceptRequest(common::InstanceId(7), request, fleet.now);
    }
    fleet.handOver();
    const auto owned = std::ranges::count_if(flows, [&](FlowKey flow) {
        return ownersOf(flow).first == common::InstanceId(7)
                || ownersOf(flow).second == common::InstanceId(7);
    });
    CHECK_TRUE(owned > 0);
    LONGS_EQUAL(owned, joiner.overrideCount());
    fleet.now += std::chrono::seconds(3);
    CHECK_TRUE(joiner.takeRequests(100'000, fleet.now).empty());
}

// Guards against gaps after a member was passed over or has restarted under its id.
TEST(FlowRouter, returningMembersWaitForTheirOverrides)
{
    drain();
    const auto flow = flowAtDrained();
    const auto first = ownersOf(flow).first;
    fleet.each([&](auto &router) { router.setSuspected({ first }); });
    const auto chosen = open(flow, ownersOf(flow).second->value());
    fleet.each([&](auto &router) { router.setSuspected({}); });
    fleet.routers.at(first.value())->onRejoined(fleet.now);
    checkData(flow, chosen);
    fleet.handOver();
    checkData(flow, chosen);

    fleet.add(first.value());
    auto &restarted = *fleet.routers.at(first.value());
    restarted.setMembers(fleet.selector, fleet.now);
    restarted.applyRoster(withState(rosterOf(2), 0, UpstreamState::Draining), fleet.now);
    fleet.each([&](auto &router) { router.onMemberRestarted(first, fleet.now); });
    fleet.handOver();
    LONGS_EQUAL(1, restarted.overrideCount());
}

// Guards against views that differ for good and send a packet in circles.
TEST(FlowRouter, hopLimitEndsRelays)
{
    drain();
    const auto flow = flowAtDrained();
    const auto owners = ownersOf(flow);
    const auto outsider = std::ranges::find_if(fleet.routers, [&](const auto &entry) {
        const common::InstanceId id(entry.first);
        return id != owners.first && id != owners.second;
    });
    const connection::FlowPacket packet { RouterFleet::Service, flow,         PacketKind::Data,
                                          connection::HopLimit, std::nullopt, std::nullopt };
    const auto decision = outsider->second->route(packet, fleet.now);
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

// Guards against buckets that stay in transition for ever and against overrides that leak.
TEST(FlowRouter, idleBucketsAreReportedAndOverridesAgeOut)
{
    drain();
    const auto flow = flowAtDrained();
    const auto bucket = BucketMap::bucketOf(flow);
    const auto chosen = open(flow);
    auto &owner = *fleet.routers.at(ownersOf(flow).first.value());
    CHECK_TRUE(owner.idleBuckets(fleet.now).front().buckets.empty());
    // The flow stays in use: neither the first nor the second owner may forget it.
    for (int step = 0; step < 10; ++step) {
        fleet.now += std::chrono::seconds(20);
        fleet.each([&](auto &router) { CHECK_TRUE(router.idleBuckets(fleet.now).size() <= 1); });
        CHECK_TRUE(reaches(fleet.deliver(1, PacketKind::Data, flow), chosen));
    }
    std::size_t replicas = 0;
    fleet.each([&](auto &router) { replicas += router.overrideCount(); });
    LONGS_EQUAL(2, replicas);

    const auto report = owner.idleBuckets(fleet.now).front();
    CHECK_TRUE(std::ranges::find(report.buckets, bucket) != report.buckets.end());
    CHECK_TRUE(std::ranges::find(report.clean, bucket) != report.clean.end());
    auto settled = owner.map(RouterFleet::Service)->settledTable();
    settled.revision = SettledRevision(2);
    settled.defaults[bucket.value()] = chosen;
    settled.transitional.reset(bucket.value());
    fleet.settle(settled);
    checkData(flow, chosen);
    LONGS_EQUAL(0, owner.overrideCount());

    const auto second = flowAtDrained();
    open(second);
    fleet.deliver(1, PacketKind::Close, second);
    replicas = 0;
    fleet.each([&](auto &router) { replicas += router.overrideCount(); });
    LONGS_EQUAL(0, replicas);
    open(flowAtDrained());
    fleet.now += std::chrono::seconds(62);
    fleet.each([&](auto &router) {
        CHECK_TRUE(router.idleBuckets(fleet.now).size() <= 1);
        LONGS_EQUAL(0, router.overrideCount());
    });
}
