#include "routergroup.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace banyanwall;
using namespace banyanwall::tests;

TEST_GROUP_BASE(Handover, RouterGroup) {};

// Guards against a lost override when the first owner dies between the opening packet and the first
// data packet of a flow. The second owner holds the override too.
TEST(Handover, secondOwnerDecidesWhenTheFirstDies)
{
    drain();
    const auto flow = flowAtDrained();
    const auto owners = ownersOf(flow);
    const auto chosen = open(flow);
    kill(owners.first);
    checkData(flow, chosen);
    LONGS_EQUAL(chosen.value(), open(flow, owners.second->value()).value());
}

// Guards against a lost flow when both owners die with its override. Its next packet goes to the
// default upstream, which rejects it, and the search that follows finds the upstream of the flow.
TEST(Handover, upstreamIsFoundAgainAfterBothOwnersDie)
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
    // The search ends when the last candidate does not know the flow either.
    next = forwarder.nextCandidate(RouterFleet::Service, flow, chosen, fleet.now);
    CHECK_FALSE(next.has_value());
    CHECK_FALSE(forwarder.nextCandidate(RouterFleet::Service, FlowKey(3), drained, fleet.now));
}

// Guards against a new owner that decides packets of a transitional bucket before it has received
// the overrides. Until then it relays them to the former owner.
TEST(Handover, newOwnerRelaysUntilTheHandoverIsComplete)
{
    drain();
    std::map<FlowKey, UpstreamId> flows;
    for (int count = 0; count < 60; ++count) {
        const auto flow = flowAtDrained();
        flows[flow] = open(flow, 1 + count % 6);
    }
    auto &joiner = join(7);
    join(8);
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
    // Until the handover, the former owner decides opens, and both owners record them.
    for (int count = 0; count < 30; ++count) {
        const auto flow = flowAtDrained();
        flows[flow] = open(flow, 7);
    }
    fleet.deliverHandovers();
    CHECK_TRUE(joiner.overrideCount() > 0);
    // After the handover, the former owners can leave without a loss.
    for (const std::uint32_t former : { 1U, 2U, 3U }) {
        kill(common::InstanceId(former));
        fleet.deliverHandovers();
    }
    for (const auto &[flow, upstream] : flows) {
        checkData(flow, upstream);
    }
}

// Guards against lost overrides when the sender of a handover dies. The leaving owner, which the
// receiver replaces, still holds them.
TEST(Handover, leavingOwnerReplacesASenderThatDies)
{
    drain();
    const auto flow = flowAtDrained();
    const auto chosen = open(flow);
    const auto owners = ownersOf(flow);
    auto members = fleet.selector->members();
    std::ranges::find(members, *owners.second, &connection::Member::id)->leaving = true;
    const auto announce = [&] {
        fleet.selector = std::make_shared<const connection::OwnerSelector>(members);
        fleet.forEachRouter([&](auto &router) { router.setMembers(fleet.selector, fleet.now); });
    };
    announce();
    fleet.routers.erase(owners.first.value());
    std::erase_if(members, [&](const auto &member) { return member.id == owners.first; });
    announce();
    checkData(flow, chosen);
    // The leaving owner has no pending handover to the receiver, so the receiver requests one.
    for (int step = 0; step < 2; ++step) {
        for (const auto &[id, router] : fleet.routers) {
            for (const auto &request : router->takeHandoverRequests(100'000, fleet.now)) {
                fleet.routers.at(request.receiver.value())
                        ->acceptHandoverRequest(common::InstanceId(id), request, fleet.now);
            }
        }
        fleet.deliverHandovers();
    }
    kill(*owners.second);
    checkData(flow, chosen);
}

// Guards against a search that misses the upstream of a former roster. The owner that lacks the
// override started after that roster; it learns the upstream from the handover.
TEST(Handover, newOwnerSearchesAmongUpstreamsOfFormerRosters)
{
    drain();
    const auto membersWithout = [&](std::vector<common::InstanceId> dead) {
        auto members = fleet.selector->members();
        members.push_back({ common::InstanceId(7), RouterFleet::zoneOf(7), false });
        std::erase_if(members, [&](const auto &member) {
            return std::ranges::find(dead, member.id) != dead.end();
        });
        return members;
    };
    auto flow = flowAtDrained();
    const auto joinerOwns = [&] {
        const connection::OwnerSelector later(
                membersWithout({ ownersOf(flow).first, *ownersOf(flow).second }));
        return later.bucketOwners(RouterFleet::Service, BucketMap::bucketOf(flow))->first
                == common::InstanceId(7);
    };
    while (!joinerOwns()) {
        flow = flowAtDrained();
    }
    const auto chosen = open(flow);
    auto next = withState(rosterOf(3), 0, UpstreamState::Draining);
    std::ranges::find(next.upstreams, chosen, &version::RosterUpstream::id)->state =
            UpstreamState::Draining;
    fleet.rollOut(next);
    const auto owners = ownersOf(flow);
    kill(owners.first);
    kill(*owners.second);
    const auto settled = fleet.routers.begin()->second->map(RouterFleet::Service)->settledTable();
    fleet.add(7);
    auto &joiner = *fleet.routers.at(7);
    joiner.applySettled(RouterFleet::Service, settled, fleet.now);
    joiner.applyRoster(next, fleet.now);
    fleet.announceMembers();
    fleet.deliverHandovers();
    CHECK_TRUE(reaches(fleet.deliver(7, PacketKind::Data, flow), drained));
    const auto opens = entryOf(flow).openUpstream;
    CHECK_TRUE(joiner.nextCandidate(RouterFleet::Service, flow, drained, fleet.now) == opens);
    CHECK_TRUE(joiner.nextCandidate(RouterFleet::Service, flow, opens, fleet.now) == chosen);
}

// Guards against a search that misses the upstream that a flow was opened at because the regular
// one was lost.
TEST(Handover, searchIncludesTheReplacementOfALostUpstream)
{
    drain();
    auto flow = flowAtDrained();
    const auto lost = entryOf(flow).openUpstream;
    fleet.forEachRouter([&](auto &router) { router.setUpstreamLost(lost, true); });
    const auto chosen = open(flow);
    CHECK_FALSE(chosen == lost);
    const auto owners = ownersOf(flow);
    kill(owners.first);
    kill(*owners.second);
    CHECK_TRUE(
            reaches(fleet.deliver(fleet.routers.begin()->first, PacketKind::Data, flow), drained));
    auto &forwarder = *fleet.routers.at(fleet.lastInstance);
    CHECK_TRUE(forwarder.nextCandidate(RouterFleet::Service, flow, drained, fleet.now) == chosen);
    CHECK_FALSE(forwarder.nextCandidate(RouterFleet::Service, flow, chosen, fleet.now));
}

// Guards against packets that are relayed for ever to a former owner that does not hand over. After
// 10 s of requests without a handover the new owner decides by itself.
TEST(Handover, requestsToAnUnresponsiveFormerOwnerEndAfterATimeout)
{
    drain();
    const auto flow = flowAtDrained();
    open(flow);
    const auto owners = ownersOf(flow);
    auto members = fleet.selector->members();
    std::ranges::find(members, *owners.second, &connection::Member::id)->leaving = true;
    for (const auto dead : { common::InstanceId(0), owners.first }) {
        std::erase_if(members, [&](const auto &member) { return member.id == dead; });
        fleet.selector = std::make_shared<const connection::OwnerSelector>(members);
        fleet.forEachRouter([&](auto &router) { router.setMembers(fleet.selector, fleet.now); });
    }
    const auto relays = [&](common::InstanceId owner) {
        const auto decision = fleet.routers.at(owner.value())
                                      ->route({ RouterFleet::Service, flow, PacketKind::Data, 0,
                                                std::nullopt, std::nullopt },
                                              fleet.now);
        return std::holds_alternative<connection::RelayToPeer>(decision);
    };
    CHECK_TRUE(relays(ownersOf(flow).first));
    fleet.now += std::chrono::seconds(11);
    fleet.forEachRouter(
            [&](auto &router) { std::ignore = router.takeHandoverRequests(100'000, fleet.now); });
    fleet.deliverHandovers();
    CHECK_FALSE(relays(ownersOf(flow).first));
}

// Guards against a missing override on a new owner. An instance with an older view of the members
// decides an open after the handover to the new owner was completed, so the record has to be
// relayed.
TEST(Handover, recordOfAnOlderViewReachesTheNewOwner)
{
    drain();
    const auto former = fleet.selector;
    auto &joiner = join(7);
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
    for (const auto id : { ownersOf(flow).first, *ownersOf(flow).second }) {
        fleet.routers.at(id.value())->setMembers(current, fleet.now);
    }
    fleet.deliverHandovers();
    const auto chosen = open(flow, formerFirst().value());
    LONGS_EQUAL(1, joiner.overrideCount());
    CHECK_TRUE(reaches(fleet.deliver(7, PacketKind::Data, flow), chosen));
}

// Guards against an owner that awaits a handover for ever because its message was lost. The owner
// requests an overdue handover again.
TEST(Handover, overdueHandoverIsRequested)
{
    drain();
    std::vector<FlowKey> flows;
    for (int count = 0; count < 40; ++count) {
        flows.push_back(flowAtDrained());
        open(flows.back());
    }
    auto &joiner = join(7);
    fleet.announceMembers();
    fleet.forEachRouter(
            [&](auto &router) { std::ignore = router.takeHandovers(100'000, fleet.now); });
    CHECK_TRUE(joiner.takeHandoverRequests(100'000, fleet.now).empty());
    fleet.now += std::chrono::seconds(3);
    for (const auto &request : joiner.takeHandoverRequests(100'000, fleet.now)) {
        fleet.routers.at(request.receiver.value())
                ->acceptHandoverRequest(common::InstanceId(7), request, fleet.now);
    }
    fleet.deliverHandovers();
    const auto owned = std::ranges::count_if(flows, [&](FlowKey flow) {
        return ownersOf(flow).first == common::InstanceId(7)
                || ownersOf(flow).second == common::InstanceId(7);
    });
    CHECK_TRUE(owned > 0);
    LONGS_EQUAL(owned, joiner.overrideCount());
    fleet.now += std::chrono::seconds(3);
    CHECK_TRUE(joiner.takeHandoverRequests(100'000, fleet.now).empty());
}

// Guards against missing overrides on a member that was suspected for a while, so that another
// owner decided in its place, or that restarted under its id.
TEST(Handover, returningMembersWaitForTheirOverrides)
{
    drain();
    const auto flow = flowAtDrained();
    const auto first = ownersOf(flow).first;
    fleet.forEachRouter([&](auto &router) { router.setSuspected({ first }); });
    const auto chosen = open(flow, ownersOf(flow).second->value());
    fleet.forEachRouter([&](auto &router) { router.setSuspected({}); });
    fleet.routers.at(first.value())->onRejoined(fleet.now);
    checkData(flow, chosen);
    fleet.deliverHandovers();
    checkData(flow, chosen);

    auto &restarted = join(first.value());
    restarted.setMembers(fleet.selector, fleet.now);
    fleet.forEachRouter([&](auto &router) { router.onMemberRestarted(first, fleet.now); });
    fleet.deliverHandovers();
    LONGS_EQUAL(1, restarted.overrideCount());
}

// Guards against buckets that stay transitional for ever, and against overrides that are never
// removed. Idle buckets are reported for settling, and unused overrides expire.
TEST(Handover, idleBucketsAreReportedAndUnusedOverridesExpire)
{
    drain();
    const auto flow = flowAtDrained();
    const auto bucket = BucketMap::bucketOf(flow);
    const auto chosen = open(flow);
    auto &owner = *fleet.routers.at(ownersOf(flow).first.value());
    CHECK_TRUE(owner.idleBuckets(fleet.now).front().buckets.empty());
    // The flow stays in use, so its override must not expire on either owner.
    for (int step = 0; step < 10; ++step) {
        fleet.now += std::chrono::seconds(20);
        fleet.forEachRouter(
                [&](auto &router) { CHECK_TRUE(router.idleBuckets(fleet.now).size() <= 1); });
        CHECK_TRUE(reaches(fleet.deliver(1, PacketKind::Data, flow), chosen));
    }
    LONGS_EQUAL(2, totalOverrides());

    const auto report = owner.idleBuckets(fleet.now).front();
    CHECK_TRUE(std::ranges::find(report.buckets, bucket) != report.buckets.end());
    CHECK_TRUE(std::ranges::find(report.clean, bucket) != report.clean.end());
    auto settled = owner.map(RouterFleet::Service)->settledTable();
    settled.revision = SettledRevision(2);
    settled.defaults[bucket.value()] = chosen;
    settled.transitional.reset(bucket.value());
    settle(settled);
    checkData(flow, chosen);
    LONGS_EQUAL(0, owner.overrideCount());

    const auto second = flowAtDrained();
    open(second);
    fleet.deliver(1, PacketKind::Close, second);
    LONGS_EQUAL(0, totalOverrides());
    open(flowAtDrained());
    fleet.now += std::chrono::seconds(62);
    fleet.forEachRouter([&](auto &router) {
        CHECK_TRUE(router.idleBuckets(fleet.now).size() <= 1);
        LONGS_EQUAL(0, router.overrideCount());
    });
}
