#pragma once

#include "connection/flowrouter.h"
#include "connection/overridestore.h"
#include "connection/serviceview.h"

namespace banyanwall::connection {

/// A new owner without finished handover, and without any handover message for this long, answers
/// by itself: the sender has failed or has nothing to send.
inline constexpr common::Duration HandoverSilence = std::chrono::seconds(5);

/// Knowledge of one instance that a decision depends on.
struct RoutingContext
{
    common::InstanceId self;
    bool stale = false;
    /// Last handover message from any peer.
    common::TimePoint lastHandover;
    const ServiceView &view;
    OverrideStore &overrides;
};

/// True when all overrides of the bucket are here, as far as can be known.
[[nodiscard]] bool holdsOverrides(const BucketRuntime &runtime, common::TimePoint lastHandover,
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
    [[nodiscard]] bool servedByRecord() const;
    [[nodiscard]] RouteDecision relay(common::InstanceId peer) const;
    [[nodiscard]] RouteDecision followRecord(common::UpstreamId upstream);
    [[nodiscard]] RouteDecision decideOpen();
    [[nodiscard]] RouteDecision decideData();
    [[nodiscard]] RouteDecision decideClose();
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
};

} // namespace banyanwall::connection
