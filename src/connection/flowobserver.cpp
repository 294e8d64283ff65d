#include "connection/flowobserver.h"

#include "common/hash.h"

#include <algorithm>
#include <span>

namespace banyanwall::connection {

using common::TimePoint;

namespace {

std::uint64_t packed(const common::Endpoint &endpoint)
{
    return (std::uint64_t { endpoint.address } << 16U) | endpoint.port;
}

std::uint64_t keyOf(const FlowPacket &packet)
{
    const auto key = common::hashPair(packed(packet.caller), packed(packet.service));
    return key == 0 ? 1 : key;
}

// Callers repeat data after 200 ms. Data that arrives again sooner was overtaken by later data.
constexpr std::chrono::milliseconds ReorderingTime { 150 };

/// Sequence numbers wrap around.
bool isAfter(std::uint32_t left, std::uint32_t right)
{
    return static_cast<std::int32_t>(left - right) > 0;
}

} // namespace

FlowObserver::FlowObserver(std::size_t sets)
    : m_flows(sets * Ways)
    , m_mask(sets - 1)
{ }

FlowObservation FlowObserver::observe(const FlowPacket &packet, TimePoint now)
{
    const auto key = keyOf(packet);
    auto *known = find(key);
    if (known != nullptr && (known->isOpen || !packet.opens)) {
        return observeKnown(*known, packet, now);
    }
    if (packet.opens) {
        // A copy is recognised by its count even when the first one passed another instance.
        const auto upstream = known == nullptr ? common::FlowToken() : known->upstream;
        return { .upstream = upstream, .isRepeated = packet.acknowledgement > 0 };
    }
    auto &flow = slotFor(key);
    flow = { .key = key,
             .lastSeen = now,
             .waitingSince = now,
             .newDataAt = now,
             .upstream = packet.token,
             .sentUpTo = packet.sequence + packet.payloadBytes,
             .acknowledged = packet.acknowledgement,
             .isOpen = true,
             .isWaiting = packet.payloadBytes > 0,
             .isFinished = packet.finishes };
    return { .upstream = packet.token };
}

void FlowObserver::visitWaiting(TimePoint before, const WaitingVisitor &visitor)
{
    for (auto &flow : m_flows) {
        if (flow.isWaiting && !flow.isOverdue && flow.waitingSince < before) {
            flow.isOverdue = visitor(flow.upstream, flow.key, flow.waitingSince);
        }
    }
}

bool FlowObserver::isWaiting(const FlowPacket &packet)
{
    const auto *flow = find(keyOf(packet));
    return flow != nullptr && flow->isWaiting && flow->upstream == packet.token;
}

void FlowObserver::noteOpening(const FlowPacket &packet, common::FlowToken upstream, TimePoint now)
{
    const auto key = keyOf(packet);
    auto *known = find(key);
    auto &flow = known == nullptr ? slotFor(key) : *known;
    flow = {
        .key = key, .lastSeen = now, .waitingSince = now, .newDataAt = now, .upstream = upstream
    };
}

FlowObservation FlowObserver::observeKnown(Flow &flow, const FlowPacket &packet, TimePoint now)
{
    FlowObservation seen { .upstream = packet.token };
    flow.lastSeen = now;
    if (!flow.isOpen || flow.upstream != packet.token) {
        // The first packet after the opening one answers the upstream's own opening packet.
        seen.isHeard = !flow.isOpen && packet.token != common::FlowToken();
        flow.upstream = packet.token;
        flow.isOpen = true;
        flow.sentUpTo = packet.sequence;
        flow.acknowledged = packet.acknowledgement;
    }
    if (isAfter(packet.acknowledgement, flow.acknowledged)) {
        // Data and the end of a flow may carry the acknowledgement of an answer of long ago.
        const bool isImmediate = packet.payloadBytes == 0 && !packet.finishes;
        seen.isHeard = seen.isHeard || isImmediate;
        if (flow.isWaiting && isImmediate) {
            seen.answerTime = now - flow.waitingSince;
        }
        flow.acknowledged = packet.acknowledgement;
        flow.isWaiting = false;
    }
    const auto end = packet.sequence + packet.payloadBytes;
    if (packet.payloadBytes > 0) {
        if (isAfter(end, flow.sentUpTo)) {
            flow.waitingSince = flow.isWaiting ? flow.waitingSince : now;
            flow.isOverdue = flow.isWaiting && flow.isOverdue;
            flow.isWaiting = true;
            flow.sentUpTo = end;
            flow.newDataAt = now;
        } else {
            seen.isRepeated = now - flow.newDataAt > ReorderingTime;
        }
    } else if (packet.finishes) {
        seen.isRepeated = flow.isFinished;
        flow.isFinished = true;
    }
    return seen;
}

FlowObserver::Flow *FlowObserver::find(std::uint64_t key)
{
    const auto set = std::span(m_flows).subspan((key & m_mask) * Ways, Ways);
    const auto found = std::ranges::find(set, key, &Flow::key);
    return found == set.end() ? nullptr : &*found;
}

FlowObserver::Flow &FlowObserver::slotFor(std::uint64_t key)
{
    const auto set = std::span(m_flows).subspan((key & m_mask) * Ways, Ways);
    return *std::ranges::min_element(set, {}, &Flow::lastSeen);
}

} // namespace banyanwall::connection
