#include "connection/flowobserver.h"

#include "common/hash.h"
#include "connection/requestsinprogress.h"

#include <algorithm>
#include <span>

namespace banyanwall::connection {

using common::TimePoint;

namespace {

std::uint64_t packedEndpoint(const common::Endpoint &endpoint)
{
    return (std::uint64_t { endpoint.address } << 16U) | endpoint.port;
}

// Callers retransmit data after 200 ms. Data that arrives again sooner was overtaken by later data.
constexpr std::chrono::milliseconds ReorderingWindow { 150 };
// A caller sends the packets of a request without delay. A longer gap is a pause of the caller.
constexpr std::chrono::milliseconds MaxRequestGap { 100 };

/// Compares sequence numbers that wrap around.
bool isAfter(std::uint32_t left, std::uint32_t right)
{
    return static_cast<std::int32_t>(left - right) > 0;
}

} // namespace

FlowObserver::FlowObserver(std::size_t sets)
    : m_flows(sets * Ways)
    , m_mask(sets - 1)
{ }

std::uint64_t FlowObserver::flowOf(const FlowPacket &packet)
{
    const auto key =
            common::hashPair(packedEndpoint(packet.caller), packedEndpoint(packet.service));
    return key == 0 ? 1 : key;
}

FlowObservation FlowObserver::observe(const FlowPacket &packet, TimePoint now)
{
    const auto key = flowOf(packet);
    auto *known = find(key);
    if (known != nullptr && (known->isOpen || !packet.opens)) {
        return observeKnown(*known, packet, now);
    }
    if (packet.opens) {
        // The caller counts its transmissions, so a retransmission is recognised even when the
        // first transmission passed through another instance.
        const auto upstream = known == nullptr ? common::FlowToken() : known->upstream;
        return { .upstream = upstream, .isRetransmission = packet.acknowledgement > 0 };
    }
    auto &flow = replaceableEntry(key);
    flow = { .key = key,
             .lastSeen = now,
             .waitingSince = now,
             .newDataAt = now,
             .openSince = now,
             .upstream = packet.token,
             .sentUpTo = packet.sequence + packet.payloadBytes,
             .acknowledged = packet.acknowledgement,
             .isOpen = true,
             .isWaiting = packet.payloadBytes > 0,
             .isFinished = packet.finishes,
             .sizeClass = sizeClassOf(packet.payloadBytes) };
    return { .upstream = packet.token,
             .openSince = now,
             .flow = key,
             .beginsRequest = flow.isWaiting,
             .sizeClass = flow.sizeClass };
}

void FlowObserver::visitWaiting(TimePoint before, const WaitingVisitor &visitor)
{
    for (auto &flow : m_flows) {
        if (flow.isWaiting && !flow.isOverdue && flow.waitingSince < before) {
            flow.isOverdue = visitor(flow.upstream, flow.key, flow.waitingSince);
        }
    }
}

void FlowObserver::visitUnopened(TimePoint before, const UnopenedVisitor &visitor)
{
    for (auto &flow : m_flows) {
        if (flow.isOpening && flow.waitingSince < before) {
            flow.isOpening = false;
            visitor(flow.upstream);
        }
    }
}

bool FlowObserver::isWaiting(const FlowPacket &packet)
{
    const auto *flow = find(flowOf(packet));
    return flow != nullptr && flow->isWaiting && flow->upstream == packet.token;
}

void FlowObserver::recordOpening(const FlowPacket &packet, common::FlowToken upstream,
                                 TimePoint now)
{
    const auto key = flowOf(packet);
    auto *known = find(key);
    auto &flow = known == nullptr ? replaceableEntry(key) : *known;
    flow = { .key = key,
             .lastSeen = now,
             .waitingSince = now,
             .newDataAt = now,
             .upstream = upstream,
             .isOpening = packet.acknowledgement == 0,
             .isTimed = packet.acknowledgement == 0 };
}

FlowObservation FlowObserver::observeKnown(Flow &flow, const FlowPacket &packet, TimePoint now)
{
    FlowObservation observation { .upstream = packet.token, .flow = flow.key };
    flow.lastSeen = now;
    if (!flow.isOpen || flow.upstream != packet.token) {
        // The first packet after the opening packet acknowledges the upstream's reply to the
        // opening packet.
        observation.hasResponse = !flow.isOpen && packet.token != common::FlowToken();
        if (!flow.isOpen && flow.isTimed && flow.upstream == packet.token) {
            observation.handshakeTime = now - flow.waitingSince;
        }
        flow.upstream = packet.token;
        flow.isOpen = true;
        flow.isOpening = false;
        flow.openSince = now;
        flow.sentUpTo = packet.sequence;
        flow.acknowledged = packet.acknowledgement;
    }
    observation.openSince = flow.openSince;
    if (isAfter(packet.acknowledgement, flow.acknowledged)) {
        observeAcknowledgement(flow, packet, now, observation);
    }
    if (packet.payloadBytes > 0) {
        observeData(flow, packet, now, observation);
    } else if (packet.finishes) {
        observation.isRetransmission = flow.isFinished;
        flow.isFinished = true;
    }
    if ((packet.finishes || packet.resets) && flow.isWaiting) {
        observation.endsRequest = true;
    }
    return observation;
}

void FlowObserver::observeAcknowledgement(Flow &flow, const FlowPacket &packet, TimePoint now,
                                          FlowObservation &observation)
{
    // Data packets and the last packet of a flow may acknowledge a response that arrived long
    // before.
    const bool isPureAcknowledgement = packet.payloadBytes == 0 && !packet.finishes;
    observation.hasResponse = observation.hasResponse || isPureAcknowledgement;
    if (flow.isWaiting) {
        observation.endsRequest = true;
        observation.sizeClass = flow.sizeClass;
        observation.answeredBytes = packet.acknowledgement - flow.acknowledged;
        if (isPureAcknowledgement) {
            observation.responseTime = now - flow.waitingSince;
            observation.isTimed = flow.isTimed;
        }
    }
    flow.acknowledged = packet.acknowledgement;
    flow.isWaiting = false;
}

void FlowObserver::observeData(Flow &flow, const FlowPacket &packet, TimePoint now,
                               FlowObservation &observation)
{
    const auto end = packet.sequence + packet.payloadBytes;
    if (!isAfter(end, flow.sentUpTo)) {
        observation.isRetransmission = now - flow.newDataAt > ReorderingWindow;
        flow.isTimed = flow.isTimed && !observation.isRetransmission;
        return;
    }
    if (flow.isWaiting) {
        flow.isTimed = flow.isTimed && now - flow.newDataAt <= MaxRequestGap;
    } else {
        flow.waitingSince = now;
        flow.isOverdue = false;
        flow.isWaiting = true;
        flow.isTimed = true;
        flow.sizeClass = sizeClassOf(packet.payloadBytes);
        observation.beginsRequest = true;
        observation.sizeClass = flow.sizeClass;
    }
    flow.sentUpTo = end;
    flow.newDataAt = now;
}

FlowObserver::Flow *FlowObserver::find(std::uint64_t key)
{
    const auto set = std::span(m_flows).subspan((key & m_mask) * Ways, Ways);
    const auto found = std::ranges::find(set, key, &Flow::key);
    return found == set.end() ? nullptr : &*found;
}

FlowObserver::Flow &FlowObserver::replaceableEntry(std::uint64_t key)
{
    const auto set = std::span(m_flows).subspan((key & m_mask) * Ways, Ways);
    return *std::ranges::min_element(set, {}, &Flow::lastSeen);
}

} // namespace banyanwall::connection
