#pragma once

#include "connection/deferredbatches.h"
#include "connection/flowrouter.h"
#include "connection/overridestore.h"
#include "connection/serviceview.h"

namespace banyanwall::connection {

/// State of one instance that a routing decision depends on.
struct RoutingContext
{
    common::InstanceId self;
    bool stale = false;
    const OwnerSelector &members;
    const ServiceView &view;
    OverrideStore &overrides;
    DeferredBatches &deferredBatches;
};

/// True when this instance holds all overrides of the bucket: no handover is awaited, or one has
/// been awaited for longer than twice the idle limit. In this time each open flow has sent a packet
/// that refreshed its record here.
[[nodiscard]] bool hasAllOverrides(const BucketRuntime &runtime, std::chrono::seconds idleLimit,
                                   common::TimePoint now);

/// Decides one packet that cannot go straight to the default upstream of its bucket: the bucket is
/// transitional, its default cannot be used, the packet has a record, or the instance is stale.
class FlowDecision
{
public:
    /// owners are those of the packet's bucket; empty when there are no live members.
    FlowDecision(const RoutingContext &context, const RoutedPacket &packet,
                 std::optional<BucketOwners> owners, common::TimePoint now);

    [[nodiscard]] RouteDecision decide();

private:
    /// Peer that has to decide the packet; empty when this instance decides.
    [[nodiscard]] std::optional<common::InstanceId> relayTarget() const;
    /// Peer that has to decide the packet when this instance is stale; empty when this instance
    /// decides.
    [[nodiscard]] std::optional<common::InstanceId> staleRelayTarget() const;
    /// True when an owner that cannot decide relayed the packet to this instance: the first owner
    /// to the second, or an owner to a former owner that holds all overrides.
    [[nodiscard]] bool isDecisionDelegated() const;
    /// First owner before the present owners joined. It decides when both joined at the same time
    /// and await each other's overrides.
    [[nodiscard]] std::optional<common::InstanceId> formerOwner() const;
    /// Both owners have relayed the data packet, and it has reached the hop limit.
    [[nodiscard]] bool mustDecideAtHopLimit() const;
    /// A record of the flow is held here, and this instance may decide by it.
    [[nodiscard]] bool mayServeFromRecord() const;
    [[nodiscard]] RouteDecision relay(common::InstanceId peer) const;
    /// Records the upstream that a peer decided on; forwards the packet, or relays it to an owner
    /// that lacks the record.
    [[nodiscard]] RouteDecision applyRelayedRecord(common::UpstreamId upstream);
    /// Records the upstream, or removes the record on a close. Returns the upstream that the packet
    /// goes to.
    [[nodiscard]] common::UpstreamId recordUpstream(common::UpstreamId upstream);
    /// Owner that lacks the record of the packet; empty when both owners hold it.
    [[nodiscard]] std::optional<common::InstanceId> ownerWithoutRecord() const;
    [[nodiscard]] RouteDecision decideOpen();
    [[nodiscard]] RouteDecision decideData();
    [[nodiscard]] RouteDecision decideClose();
    /// Age from which on a record is sent to the other owner again.
    [[nodiscard]] std::chrono::seconds refreshInterval() const;
    [[nodiscard]] RouteDecision openAt(common::UpstreamId upstream, bool replacesRecord);
    [[nodiscard]] RouteDecision useDefault();
    [[nodiscard]] RouteDecision forward(common::UpstreamId upstream) const;
    /// Relays the packet to the other owner, which records the upstream and forwards the packet.
    /// Forwards directly when there is no other owner.
    [[nodiscard]] RouteDecision forwardThroughOtherOwner(common::UpstreamId upstream) const;
    [[nodiscard]] std::optional<common::UpstreamId> openUpstream() const;
    [[nodiscard]] bool acceptsOpens(common::UpstreamId upstream) const;

    [[nodiscard]] bool mayRelay() const { return m_packet.hops < HopLimit; }

    const RoutingContext &m_context;
    const RoutedPacket &m_packet;
    std::optional<BucketOwners> m_owners;
    common::TimePoint m_now;
    BucketKey m_key;
    const BucketRoute *m_route;
    BucketRuntime *m_runtime;
};

} // namespace banyanwall::connection
