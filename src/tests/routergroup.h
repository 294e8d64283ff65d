#pragma once

#include "connection/ownerchange.h"
#include "routerfleet.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

namespace banyanwall::tests {

using common::FlowKey;
using common::Reason;
using common::RosterVersion;
using common::SettledRevision;
using common::UpstreamId;
using connection::PacketKind;
using version::BucketMap;
using version::ServiceRoster;
using version::UpstreamState;

inline ServiceRoster rosterOf(std::uint64_t version, std::uint32_t upstreams = 14)
{
    ServiceRoster roster;
    roster.service = RouterFleet::Service;
    roster.version = RosterVersion(version);
    for (std::uint32_t id = 1; id <= upstreams; ++id) {
        roster.upstreams.push_back({ UpstreamId(id * 7919), RouterFleet::zoneOf(id), {} });
    }
    return roster;
}

inline ServiceRoster withState(ServiceRoster roster, std::size_t position, UpstreamState state)
{
    roster.upstreams[position].state = state;
    return roster;
}

inline bool reaches(const RouterFleet::Outcome &outcome, UpstreamId upstream)
{
    return outcome == RouterFleet::Outcome(upstream);
}

inline bool isRejectedFor(const RouterFleet::Outcome &outcome, Reason reason)
{
    return outcome == RouterFleet::Outcome(reason);
}

/// Six instances and 14 upstreams with a settled map. drained is the first upstream; most tests
/// drain it.
TEST_BASE(RouterGroup)
{
    RouterFleet fleet { 6 };
    const UpstreamId drained = rosterOf(1).upstreams[0].id;
    std::uint64_t nextFlow = 1;

    void setup() override
    {
        fleet.rollOut(rosterOf(1));
        auto settled = fleet.routers.at(1)->map(RouterFleet::Service)->settledTable();
        settled.revision = SettledRevision(1);
        settle(settled);
    }

    void settle(const version::SettledTable &settled)
    {
        fleet.forEachRouter([&](auto &router) {
            router.applySettled(RouterFleet::Service, settled, fleet.now);
        });
        fleet.forEachRouter([&](auto &router) {
            router.setSettledAcknowledged(RouterFleet::Service, settled.revision);
        });
    }

    void drain(std::uint64_t version = 2)
    {
        fleet.rollOut(withState(rosterOf(version), 0, UpstreamState::Draining));
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

    /// Delivers the opening packet to an instance and returns the upstream that it reaches.
    UpstreamId open(FlowKey flow, std::uint32_t instance = 1)
    {
        const auto outcome = fleet.deliver(instance, PacketKind::Open, flow);
        CHECK_TRUE(std::holds_alternative<UpstreamId>(outcome));
        return std::get<UpstreamId>(outcome);
    }

    /// Checks that data packets of the flow reach the upstream from every instance.
    void checkData(FlowKey flow, UpstreamId upstream)
    {
        for (const auto &[id, router] : fleet.routers) {
            CHECK_TRUE(reaches(fleet.deliver(id, PacketKind::Data, flow), upstream));
        }
    }

    /// Number of overrides on all instances together.
    std::size_t totalOverrides()
    {
        std::size_t count = 0;
        fleet.forEachRouter([&](auto &router) { count += router.overrideCount(); });
        return count;
    }

    /// An instance that does not own the flow's bucket.
    std::uint32_t nonOwnerOf(FlowKey flow) const
    {
        return std::ranges::find_if(fleet.routers,
                                    [&](const auto &entry) {
                                        return !connection::isOwner(
                                                ownersOf(flow), common::InstanceId(entry.first));
                                    })
                ->first;
    }

    /// Starts an instance that knows the drain. It is not yet in the member lists of the others.
    connection::FlowRouter &join(std::uint32_t id)
    {
        const auto settled = fleet.routers.at(2)->map(RouterFleet::Service)->settledTable();
        fleet.add(id);
        auto &joiner = *fleet.routers.at(id);
        joiner.applySettled(RouterFleet::Service, settled, fleet.now);
        joiner.applyRoster(withState(rosterOf(2), 0, UpstreamState::Draining), fleet.now);
        joiner.setInForce(RouterFleet::Service, RosterVersion(2));
        return joiner;
    }

    void kill(common::InstanceId instance)
    {
        fleet.routers.erase(instance.value());
        fleet.announceMembers();
    }
};

} // namespace banyanwall::tests
