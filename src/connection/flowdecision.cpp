#include "connection/flowdecision.h"

#include "connection/ownerchange.h"

#include <algorithm>
#include <iterator>

namespace banyanwall::connection {

using common::InstanceId;
using common::Reason;
using common::TimePoint;
using common::UpstreamId;

namespace {

TimePoint toTimePoint(std::int64_t microseconds)
{
    return TimePoint(common::Duration(microseconds));
}

/// Resolution of BucketRuntime::lastDefaultUse. Coarse, so that threads which handle packets of one
/// bucket seldom contend for writing it.
constexpr common::Duration DefaultUseResolution = std::chrono::milliseconds(100);

} // namespace

bool hasAllOverrides(const BucketRuntime &runtime, std::chrono::seconds idleLimit, TimePoint now)
{
    return runtime.source.load(std::memory_order_relaxed) == 0
            || now - toTimePoint(runtime.sourceSetAt.load(std::memory_order_relaxed))
            > 2 * idleLimit;
}

FlowDecision::FlowDecision(const RoutingContext &context, const RoutedPacket &packet,
                           std::optional<BucketOwners> owners, TimePoint now)
    : m_context(context)
    , m_packet(packet)
    , m_owners(owners)
    , m_now(now)
    , m_key { packet.service, version::BucketMap::bucketOf(packet.flow) }
    , m_route(context.view.route(m_key.bucket))
    , m_runtime(m_route == nullptr ? nullptr : context.view.runtime(*m_route))
{ }

RouteDecision FlowDecision::decide()
{
    if (m_packet.record) {
        return applyRelayedRecord(*m_packet.record);
    }
    const auto peer = m_context.stale ? staleRelayTarget() : relayTarget();
    if (peer && !mayServeFromRecord() && !mustDecideAtHopLimit()) {
        return relay(*peer);
    }
    switch (m_packet.kind) {
    case PacketKind::Open:
        return decideOpen();
    case PacketKind::Close:
        return decideClose();
    case PacketKind::Data:
        break;
    }
    return decideData();
}

std::optional<InstanceId> FlowDecision::relayTarget() const
{
    if (!m_owners || m_route == nullptr) {
        return std::nullopt;
    }
    const bool isComplete =
            m_runtime == nullptr || hasAllOverrides(*m_runtime, m_context.view.idleLimit(), m_now);
    const auto overrideSource = isComplete
            ? std::nullopt
            : std::optional(InstanceId(m_runtime->source.load(std::memory_order_relaxed)));
    if (m_owners->first == m_context.self) {
        return overrideSource;
    }
    const bool isFirstWaiting = m_owners->second == m_context.self && m_runtime != nullptr
            && m_runtime->isHandoverToFirstPending.load(std::memory_order_relaxed);
    if (isDecisionDelegated() || isFirstWaiting) {
        return overrideSource && overrideSource == m_packet.relayedBy ? formerOwner()
                                                                      : overrideSource;
    }
    if (m_owners->first != m_packet.relayedBy) {
        return m_owners->first;
    }
    return m_owners->second;
}

std::optional<InstanceId> FlowDecision::formerOwner() const
{
    std::vector<Member> others;
    std::ranges::copy_if(m_context.members.members(), std::back_inserter(others),
                         [this](const Member &member) { return !isOwner(*m_owners, member.id); });
    const auto owners = OwnerSelector(std::move(others)).bucketOwners(m_key.service, m_key.bucket);
    return owners ? std::optional(owners->first) : std::nullopt;
}

bool FlowDecision::mustDecideAtHopLimit() const
{
    return !mayRelay() && m_packet.kind == PacketKind::Data && m_owners && m_packet.relayedBy
            && m_packet.relayedBy == m_owners->second;
}

bool FlowDecision::isDecisionDelegated() const
{
    // An owner relays a packet without a record to an instance other than the first owner only when
    // it cannot decide. The second owner regularly relays packets, but only to the first owner.
    if (!m_owners || !m_packet.relayedBy) {
        return false;
    }
    if (m_owners->second == m_context.self) {
        return m_packet.relayedBy == m_owners->first;
    }
    return m_runtime != nullptr && m_runtime->isCompleteFormerOwner.load(std::memory_order_relaxed)
            && isOwner(*m_owners, *m_packet.relayedBy);
}

std::optional<InstanceId> FlowDecision::staleRelayTarget() const
{
    if (!m_owners
        || (m_owners->second == m_context.self && m_packet.relayedBy == m_owners->first)) {
        return std::nullopt;
    }
    return otherOwner(*m_owners, m_context.self);
}

bool FlowDecision::mayServeFromRecord() const
{
    // A record stays valid under a newer roster and while other overrides are missing. Instances
    // other than the first owner decide by it only when the decision is delegated to them or the
    // packet has reached the hop limit, so that the first owner sees that the flow is in use.
    const bool isAllowed = (m_owners && m_owners->first == m_context.self) || isDecisionDelegated()
            || (!mayRelay() && m_packet.kind == PacketKind::Data);
    return isAllowed && m_route != nullptr
            && m_context.overrides.use(m_key, m_packet.flow, std::chrono::seconds::max(), m_now)
                       .has_value();
}

RouteDecision FlowDecision::relay(InstanceId peer) const
{
    return mayRelay() ? RouteDecision(RelayToPeer { peer, std::nullopt })
                      : RouteDecision(RejectPacket { Reason::HopLimit });
}

RouteDecision FlowDecision::applyRelayedRecord(UpstreamId upstream)
{
    if (m_context.view.status(upstream) == UpstreamStatus::Withdrawn) {
        return RejectPacket { Reason::ZoneWithdrawn };
    }
    const auto recorded = recordUpstream(upstream);
    const auto next = ownerWithoutRecord();
    if (next && mayRelay()) {
        return RelayToPeer { *next, recorded };
    }
    if (next && m_packet.kind != PacketKind::Close) {
        m_context.deferredBatches.push(
                { *next, m_key.service, m_key.bucket, { { m_packet.flow, recorded } }, false, {} });
    }
    return ForwardToUpstream { recorded };
}

UpstreamId FlowDecision::recordUpstream(UpstreamId upstream)
{
    auto &overrides = m_context.overrides;
    if (m_packet.kind == PacketKind::Close) {
        overrides.erase(m_key, m_packet.flow);
        return upstream;
    }
    const bool isFirst = m_owners && m_owners->first == m_context.self;
    if (isFirst && m_packet.kind == PacketKind::Open) {
        // The second owner decided in place of this instance. A decision that this instance has
        // made for the flow since then prevails; it was relayed to the second owner as a record.
        const auto recorded = overrides.insert(m_key, { m_packet.flow, upstream }, m_now);
        if (recorded && acceptsOpens(*recorded)) {
            return *recorded;
        }
    }
    overrides.assign(m_key, { m_packet.flow, upstream }, m_now);
    return upstream;
}

std::optional<InstanceId> FlowDecision::ownerWithoutRecord() const
{
    // The sender is usually the other owner. Otherwise its view of the members differs from the
    // view here, and the owners that are known here may have completed their handover without this
    // record.
    if (!m_owners || !m_packet.relayedBy) {
        return std::nullopt;
    }
    if (isOwner(*m_owners, m_context.self)) {
        const auto other = otherOwner(*m_owners, m_context.self);
        return other == m_packet.relayedBy ? std::nullopt : other;
    }
    return m_owners->first == m_packet.relayedBy ? m_owners->second
                                                 : std::optional(m_owners->first);
}

RouteDecision FlowDecision::decideOpen()
{
    if (m_route == nullptr) {
        return useDefault();
    }
    const auto hit =
            m_context.overrides.use(m_key, m_packet.flow, std::chrono::seconds::max(), m_now);
    if (hit && acceptsOpens(hit->upstream)) {
        return forwardThroughOtherOwner(hit->upstream);
    }
    const auto upstream = openUpstream();
    if (!upstream) {
        return RejectPacket { Reason::NoUpstream };
    }
    // While a newer roster is being rolled out, opens at the default upstream are recorded as well,
    // so that a late duplicate of the open is not decided again by the newer roster.
    const auto entry = m_context.view.entry(m_key.bucket);
    const auto inForce = m_context.view.openInForce(m_key.bucket);
    const bool isRollingOut = inForce && *inForce != entry.openUpstream;
    if (!hit && *upstream == entry.defaultUpstream && !isRollingOut) {
        return useDefault();
    }
    return openAt(*upstream, hit.has_value());
}

RouteDecision FlowDecision::openAt(UpstreamId upstream, bool replacesRecord)
{
    const bool isReplicated = m_owners && otherOwner(*m_owners, m_context.self).has_value();
    if (isReplicated && !mayRelay()) {
        return RejectPacket { Reason::HopLimit };
    }
    auto &overrides = m_context.overrides;
    if (replacesRecord) {
        overrides.assign(m_key, { m_packet.flow, upstream }, m_now);
        return forwardThroughOtherOwner(upstream);
    }
    const auto recorded = overrides.insert(m_key, { m_packet.flow, upstream }, m_now);
    if (!recorded) {
        return RejectPacket { Reason::ConnectionLimit };
    }
    return forwardThroughOtherOwner(*recorded);
}

RouteDecision FlowDecision::decideData()
{
    if (m_route == nullptr) {
        return useDefault();
    }
    const auto hit = m_context.overrides.use(m_key, m_packet.flow, refreshInterval(), m_now);
    if (!hit) {
        return useDefault();
    }
    return hit->isRefreshDue ? forwardThroughOtherOwner(hit->upstream) : forward(hit->upstream);
}

std::chrono::seconds FlowDecision::refreshInterval() const
{
    if (!mayRelay() || m_runtime == nullptr || !m_owners
        || !otherOwner(*m_owners, m_context.self)) {
        return std::chrono::seconds::max();
    }
    const auto sinceChange =
            m_now - toTimePoint(m_runtime->ownersChangedAt.load(std::memory_order_relaxed));
    return std::min(m_context.view.idleLimit() / 2,
                    std::chrono::duration_cast<std::chrono::seconds>(sinceChange));
}

RouteDecision FlowDecision::decideClose()
{
    const auto upstream = m_context.overrides.erase(m_key, m_packet.flow);
    if (!upstream) {
        return useDefault();
    }
    return mayRelay() ? forwardThroughOtherOwner(*upstream) : forward(*upstream);
}

RouteDecision FlowDecision::useDefault()
{
    const auto upstream = m_context.view.entry(m_key.bucket).defaultUpstream;
    if (m_runtime != nullptr) {
        auto &last = m_runtime->lastDefaultUse;
        if (m_now - toTimePoint(last.load(std::memory_order_relaxed)) >= DefaultUseResolution) {
            last.store(m_now.time_since_epoch().count(), std::memory_order_relaxed);
        }
    }
    return upstream == UpstreamId(0) ? RejectPacket { Reason::NoUpstream } : forward(upstream);
}

RouteDecision FlowDecision::forward(UpstreamId upstream) const
{
    switch (m_context.view.status(upstream)) {
    case UpstreamStatus::Withdrawn:
        return RejectPacket { Reason::ZoneWithdrawn };
    case UpstreamStatus::Lost:
    case UpstreamStatus::Absent:
        return RejectPacket { Reason::UpstreamLost };
    case UpstreamStatus::Active:
    case UpstreamStatus::Draining:
    case UpstreamStatus::Unreachable:
        break;
    }
    return ForwardToUpstream { upstream };
}

RouteDecision FlowDecision::forwardThroughOtherOwner(UpstreamId upstream) const
{
    const auto direct = forward(upstream);
    const auto other = m_owners ? otherOwner(*m_owners, m_context.self) : std::nullopt;
    if (!other || std::holds_alternative<RejectPacket>(direct)) {
        return direct;
    }
    return mayRelay() ? RouteDecision(RelayToPeer { *other, upstream })
                      : RouteDecision(RejectPacket { Reason::HopLimit });
}

std::optional<UpstreamId> FlowDecision::openUpstream() const
{
    const auto &view = m_context.view;
    const auto entry = view.entry(m_key.bucket);
    // Before any roster is in force here, opens go to the default upstream, as on every instance. A
    // default that is draining is left out, because a restarted instance would otherwise send new
    // flows to it until the first roll-out ends.
    const bool isDefaultActive = view.status(entry.defaultUpstream) == UpstreamStatus::Active;
    const auto regular =
            view.openInForce(m_key.bucket)
                    .value_or(isDefaultActive ? entry.defaultUpstream : entry.openUpstream);
    for (const auto candidate : { regular, entry.openUpstream }) {
        if (acceptsOpens(candidate)) {
            return candidate;
        }
    }
    return m_context.view.alternativeUpstream(m_packet.flow);
}

bool FlowDecision::acceptsOpens(UpstreamId upstream) const
{
    const auto status = m_context.view.status(upstream);
    return status == UpstreamStatus::Active || status == UpstreamStatus::Draining;
}

} // namespace banyanwall::connection
