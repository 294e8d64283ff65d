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

TimePoint timeOf(std::int64_t microseconds)
{
    return TimePoint(common::Duration(microseconds));
}

/// Resolution of the default-use time; keeps packets of one bucket from contending for it.
constexpr common::Duration DefaultUseStep = std::chrono::milliseconds(100);

} // namespace

bool holdsOverrides(const BucketRuntime &runtime, std::chrono::seconds idleLimit, TimePoint now)
{
    return runtime.source.load(std::memory_order_relaxed) == 0
            || now - timeOf(runtime.sourceSince.load(std::memory_order_relaxed)) > 2 * idleLimit;
}

FlowDecision::FlowDecision(const RoutingContext &context, const FlowPacket &packet,
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
        return followRecord(*m_packet.record);
    }
    const auto peer = m_context.stale ? staleRelayTarget() : relayTarget();
    if (peer && !servedByRecord() && !isLastResort()) {
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
    const bool complete =
            m_runtime == nullptr || holdsOverrides(*m_runtime, m_context.view.idleLimit(), m_now);
    const auto missingFrom = complete
            ? std::nullopt
            : std::optional(InstanceId(m_runtime->source.load(std::memory_order_relaxed)));
    if (m_owners->first == m_context.self) {
        return missingFrom;
    }
    const bool owesFirst = m_owners->second == m_context.self && m_runtime != nullptr
            && m_runtime->owesFirst.load(std::memory_order_relaxed);
    if (isAsked() || owesFirst) {
        return missingFrom && missingFrom == m_packet.relayedBy ? formerOwner() : missingFrom;
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

bool FlowDecision::isLastResort() const
{
    return !mayRelay() && m_packet.kind == PacketKind::Data && m_owners && m_packet.relayedBy
            && m_packet.relayedBy == m_owners->second;
}

bool FlowDecision::isAsked() const
{
    // An owner passes a packet without record on only when it cannot decide itself; the second
    // owner's regular relays go to the first owner alone.
    if (!m_owners || !m_packet.relayedBy) {
        return false;
    }
    if (m_owners->second == m_context.self) {
        return m_packet.relayedBy == m_owners->first;
    }
    return m_runtime != nullptr && m_runtime->formerHolder.load(std::memory_order_relaxed)
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

bool FlowDecision::servedByRecord() const
{
    // A record is a fact that neither a newer roster nor missing overrides change. Other instances
    // than the first owner serve it only when asked, so that the first owner sees the flow in use.
    const bool mayServe = (m_owners && m_owners->first == m_context.self) || isAsked()
            || (!mayRelay() && m_packet.kind == PacketKind::Data);
    return mayServe && m_route != nullptr
            && m_context.overrides.use(m_key, m_packet.flow, std::chrono::seconds::max(), m_now)
                       .has_value();
}

RouteDecision FlowDecision::relay(InstanceId peer) const
{
    return mayRelay() ? RouteDecision(RelayToPeer { peer, std::nullopt })
                      : RouteDecision(RejectPacket { Reason::HopLimit });
}

RouteDecision FlowDecision::followRecord(UpstreamId upstream)
{
    if (m_context.view.status(upstream) == UpstreamStatus::Withdrawn) {
        return RejectPacket { Reason::ZoneWithdrawn };
    }
    const auto recorded = store(upstream);
    const auto next = nextReplica();
    if (next && mayRelay()) {
        return RelayToPeer { *next, recorded };
    }
    if (next && m_packet.kind != PacketKind::Close) {
        m_context.lateRecords.push(
                { *next, m_key.service, m_key.bucket, { { m_packet.flow, recorded } }, false, {} });
    }
    return ForwardToUpstream { recorded };
}

UpstreamId FlowDecision::store(UpstreamId upstream)
{
    auto &overrides = m_context.overrides;
    if (m_packet.kind == PacketKind::Close) {
        overrides.erase(m_key, m_packet.flow);
        return upstream;
    }
    const bool first = m_owners && m_owners->first == m_context.self;
    if (first && m_packet.kind == PacketKind::Open) {
        // The second owner decided in place of this one. A decision that was made here since then
        // prevails; the second owner learns of it with the record of that packet.
        const auto recorded = overrides.insert(m_key, { m_packet.flow, upstream }, m_now);
        if (recorded && takesOpens(*recorded)) {
            return *recorded;
        }
    }
    overrides.assign(m_key, { m_packet.flow, upstream }, m_now);
    return upstream;
}

std::optional<InstanceId> FlowDecision::nextReplica() const
{
    // The sender is usually the other owner. When it is not, it knows other members, and the owners
    // that are known here may have finished their handover without this record.
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
    if (hit && takesOpens(hit->upstream)) {
        return forwardThroughOther(hit->upstream);
    }
    const auto upstream = openUpstream();
    if (!upstream) {
        return RejectPacket { Reason::NoUpstream };
    }
    // While a newer roster is in roll-out, opens at the default are recorded as well: a late
    // duplicate must not be decided again by the newer roster.
    const auto entry = m_context.view.entry(m_key.bucket);
    const auto inForce = m_context.view.openInForce(m_key.bucket);
    const bool rollout = inForce && *inForce != entry.openUpstream;
    if (!hit && *upstream == entry.defaultUpstream && !rollout) {
        return useDefault();
    }
    return openAt(*upstream, hit.has_value());
}

RouteDecision FlowDecision::openAt(UpstreamId upstream, bool replace)
{
    const bool replicated = m_owners && otherOwner(*m_owners, m_context.self).has_value();
    if (replicated && !mayRelay()) {
        return RejectPacket { Reason::HopLimit };
    }
    auto &overrides = m_context.overrides;
    if (replace) {
        overrides.assign(m_key, { m_packet.flow, upstream }, m_now);
        return forwardThroughOther(upstream);
    }
    const auto recorded = overrides.insert(m_key, { m_packet.flow, upstream }, m_now);
    if (!recorded) {
        return RejectPacket { Reason::ConnectionLimit };
    }
    return forwardThroughOther(*recorded);
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
    return hit->refreshDue ? forwardThroughOther(hit->upstream) : forward(hit->upstream);
}

std::chrono::seconds FlowDecision::refreshInterval() const
{
    if (!mayRelay() || m_runtime == nullptr || !m_owners
        || !otherOwner(*m_owners, m_context.self)) {
        return std::chrono::seconds::max();
    }
    const auto sinceChange = m_now - timeOf(m_runtime->ownersSince.load(std::memory_order_relaxed));
    return std::min(m_context.view.idleLimit() / 2,
                    std::chrono::duration_cast<std::chrono::seconds>(sinceChange));
}

RouteDecision FlowDecision::decideClose()
{
    const auto upstream = m_context.overrides.erase(m_key, m_packet.flow);
    if (!upstream) {
        return useDefault();
    }
    return mayRelay() ? forwardThroughOther(*upstream) : forward(*upstream);
}

RouteDecision FlowDecision::useDefault()
{
    const auto upstream = m_context.view.entry(m_key.bucket).defaultUpstream;
    if (m_runtime != nullptr) {
        auto &last = m_runtime->lastDefault;
        if (m_now - timeOf(last.load(std::memory_order_relaxed)) >= DefaultUseStep) {
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

RouteDecision FlowDecision::forwardThroughOther(UpstreamId upstream) const
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
    // Before any roster is in force here, the default is the choice that every instance follows,
    // unless it is leaving: a restarted instance would give it new flows until its roll-out ends.
    const bool defaultStays = view.status(entry.defaultUpstream) == UpstreamStatus::Active;
    const auto regular =
            view.openInForce(m_key.bucket)
                    .value_or(defaultStays ? entry.defaultUpstream : entry.openUpstream);
    for (const auto candidate : { regular, entry.openUpstream }) {
        if (takesOpens(candidate)) {
            return candidate;
        }
    }
    return m_context.view.alternative(m_packet.flow);
}

bool FlowDecision::takesOpens(UpstreamId upstream) const
{
    const auto status = m_context.view.status(upstream);
    return status == UpstreamStatus::Active || status == UpstreamStatus::Draining;
}

} // namespace banyanwall::connection
