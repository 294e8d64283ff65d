#pragma once

#include "connection/flowrouter.h"
#include "connection/laterecords.h"
#include "connection/overridestore.h"
#include "connection/serviceview.h"

namespace banyanwall::connection {

/// Knowledge of one instance that a decision depends on.
struct RoutingContext
{
    common::InstanceId self;
    bool stale = false;
    const OwnerSelector &members;
    const ServiceView &view;
    OverrideStore &overrides;
    LateRecords &lateRecords;
};

/// True when all overrides of the bucket are here: none are awaited, or twice the idle limit has
/// passed without a complete handover. By then each live flow has sent a packet that refreshed its
/// record here.
[[nodiscard]] bool holdsOverrides(const BucketRuntime &runtime, std::chrono::seconds idleLimit,
                                  common::TimePoint now);

/// Decides one packet of a bucket in transition, or of any bucket on a stale instance.
class FlowDecision
{
public:
    /// owners are those of the packet's bucket; empty without live members.
    FlowDecision(const RoutingContext &context, const FlowPacket &packet,
                 std::optional<BucketOwners> owners, common::TimePoint now);

    [[nodiscard]] RouteDecision decide();

private:
    [[nodiscard]] std::optional<common::InstanceId> relayTarget() const;
    [[nodiscard]] std::optional<common::InstanceId> staleRelayTarget() const;
    /// The first owner, or an owner that misses overrides, leaves the decision to this instance.
    [[nodiscard]] bool isAsked() const;
    /// First owner before both owners joined; asked when they joined at the same time and wait for
    /// each other's overrides.
    [[nodiscard]] std::optional<common::InstanceId> formerOwner() const;
    /// Both owners have passed the packet on, and there is no hop left.
    [[nodiscard]] bool isLastResort() const;
    [[nodiscard]] bool servedByRecord() const;
    [[nodiscard]] RouteDecision relay(common::InstanceId peer) const;
    [[nodiscard]] RouteDecision followRecord(common::UpstreamId upstream);
    [[nodiscard]] common::UpstreamId store(common::UpstreamId upstream);
    [[nodiscard]] std::optional<common::InstanceId> nextReplica() const;
    [[nodiscard]] RouteDecision decideOpen();
    [[nodiscard]] RouteDecision decideData();
    [[nodiscard]] RouteDecision decideClose();
    /// Age from which on the other owner hears of a record again.
    [[nodiscard]] std::chrono::seconds refreshInterval() const;
    [[nodiscard]] RouteDecision openAt(common::UpstreamId upstream, bool replace);
    [[nodiscard]] RouteDecision useDefault();
    [[nodiscard]] RouteDecision forward(common::UpstreamId upstream) const;
    /// Forwards through the other owner, which records the upstream first.
    [[nodiscard]] RouteDecision forwardThroughOther(common::UpstreamId upstream) const;
    [[nodiscard]] std::optional<common::UpstreamId> openUpstream() const;
    [[nodiscard]] bool takesOpens(common::UpstreamId upstream) const;

    [[nodiscard]] bool mayRelay() const { return m_packet.hops < HopLimit; }

    const RoutingContext &m_context;
    const FlowPacket &m_packet;
    std::optional<BucketOwners> m_owners;
    common::TimePoint m_now;
    BucketKey m_key;
    const BucketRoute *m_route;
    BucketRuntime *m_runtime;
};

} // namespace banyanwall::connection
