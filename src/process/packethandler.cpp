#include "process/packethandler.h"

#include "common/result.h"

namespace banyanwall::process {

using common::Reason;
using common::TimePoint;
using connection::PacketKind;
using wire::proto::CallerMessage;
using wire::proto::FabricFrame;
using wire::proto::UpstreamMessage;

namespace {

PacketKind kindOf(const CallerMessage &message)
{
    if (message.has_open()) {
        return PacketKind::Open;
    }
    return message.has_close() ? PacketKind::Close : PacketKind::Data;
}

UpstreamMessage upstreamMessage(const FabricFrame &frame, const CallerMessage &message,
                                const connection::RoutedPacket &packet)
{
    UpstreamMessage result;
    result.set_service(packet.service.value());
    result.set_flow_key(packet.flow.value());
    result.set_return_token(PacketHandler::returnToken(frame, message.flow_id()));
    if (message.has_open()) {
        *result.mutable_open() = message.open();
    } else if (message.has_close()) {
        *result.mutable_close() = message.close();
    } else {
        *result.mutable_data() = message.data();
    }
    return result;
}

Reason reasonOf(wire::proto::ResetReason reason)
{
    switch (reason) {
    case wire::proto::RESET_WRONG_SERVICE:
        return Reason::WrongService;
    case wire::proto::RESET_WRONG_INCARNATION:
        return Reason::WrongIncarnation;
    case wire::proto::RESET_CONNECTION_LIMIT:
        return Reason::ConnectionLimit;
    case wire::proto::RESET_DRAINED:
        return Reason::UpstreamDraining;
    default:
        return Reason::UnknownFlow;
    }
}

/// A retransmission of the packet may be accepted, so the caller gets no reset.
bool isTransient(Reason reason)
{
    return reason == Reason::HopLimit;
}

} // namespace

PacketHandler::PacketHandler(Parts parts)
    : m_parts(parts)
{ }

void PacketHandler::onFabricDatagram(std::string_view bytes, TimePoint now)
{
    const auto decoded = wire::decodeFabricFrame(bytes);
    if (const auto *reason = std::get_if<Reason>(&decoded)) {
        m_parts.metrics.countRefusal(*reason);
        return;
    }
    handleCallerMessage(std::get<FabricFrame>(decoded), {}, now);
}

void PacketHandler::onRelay(const wire::proto::RelayPacket &relay, common::InstanceId sender,
                            TimePoint now)
{
    const auto record = relay.record_upstream() == 0
            ? std::nullopt
            : std::optional(common::UpstreamId(relay.record_upstream()));
    handleCallerMessage(relay.frame(), { relay.hops(), record, sender }, now);
}

void PacketHandler::handleCallerMessage(const FabricFrame &frame, const RelayInfo &info,
                                        TimePoint now)
{
    const auto decoded = wire::decodeCallerMessage(frame.payload());
    if (const auto *reason = std::get_if<Reason>(&decoded)) {
        m_parts.metrics.countRefusal(*reason);
        return;
    }
    const auto &message = std::get<CallerMessage>(decoded);
    switch (message.body_case()) {
    case CallerMessage::kOpen:
    case CallerMessage::kData:
    case CallerMessage::kClose:
        break;
    case CallerMessage::kRequest:
    case CallerMessage::kCancel: {
        wire::proto::RequestRelay request;
        *request.mutable_frame() = frame;
        request.set_hops(info.hops);
        m_parts.control.onCallerRequest(std::move(request));
        return;
    }
    default:
        m_parts.metrics.countRefusal(Reason::MalformedPacket);
        return;
    }
    const auto service = m_parts.directory.view()->serviceAt(wire::serviceAddressOf(frame));
    FlowContext flow { frame, message, {} };
    if (!service) {
        reject(flow, Reason::UnknownService);
        return;
    }
    flow.packet = {
        *service,        wire::flowKey(*service, wire::callerOf(frame), message.flow_id()),
        kindOf(message), info.hops,
        info.record,     info.sender
    };
    routeFlow(flow, now);
}

void PacketHandler::routeFlow(const FlowContext &flow, TimePoint now)
{
    updateStaleness(now);
    const auto decision = m_parts.router.route(flow.packet, now);
    std::visit(common::Overloaded {
                       [&](const connection::ForwardToUpstream &forwarding) {
                           forward(flow, forwarding.upstream, now);
                       },
                       [&](const connection::RelayToPeer &relaying) { relay(flow, relaying); },
                       [&](const connection::RejectPacket &rejection) {
                           reject(flow, rejection.reason);
                       },
               },
               decision);
}

void PacketHandler::forward(const FlowContext &flow, common::UpstreamId upstream, TimePoint now)
{
    const auto view = m_parts.directory.view();
    const auto *entry = view->upstream(upstream);
    if (entry == nullptr) {
        reject(flow, Reason::NoUpstream);
        return;
    }
    if (entry->state == version::UpstreamState::Withdrawn) {
        reject(flow, Reason::ZoneWithdrawn);
        return;
    }
    auto message = upstreamMessage(flow.frame, flow.message, flow.packet);
    message.set_incarnation(entry->incarnation.value());
    switch (flow.packet.kind) {
    case PacketKind::Open:
        m_parts.metrics.countLoad(flow.packet.service, upstream);
        break;
    case PacketKind::Data:
        m_parts.unansweredFlows.onForwarded(flow.packet.flow, upstream, message, now);
        break;
    case PacketKind::Close:
        m_parts.unansweredFlows.remove(flow.packet.flow);
        break;
    }
    m_parts.datagrams.toUpstream(entry->address, wire::encode(std::move(message)));
}

void PacketHandler::relay(const FlowContext &flow, const connection::RelayToPeer &decision)
{
    wire::proto::PeerMessage message;
    auto &relay = *message.mutable_relay();
    *relay.mutable_frame() = flow.frame;
    relay.set_hops(flow.packet.hops + 1);
    if (decision.record) {
        relay.set_record_upstream(decision.record->value());
    }
    m_parts.metrics.count(Counter::PacketsRelayed);
    m_parts.peers.toPeer(decision.peer, message);
}

void PacketHandler::reject(const FlowContext &flow, Reason reason)
{
    m_parts.metrics.countRefusal(reason);
    // An instance that has not joined yet may reject a packet that other instances accept. A reset
    // would break a flow whose upstream is live; without it, a later packet of the caller reaches
    // another instance.
    const bool isJoined = m_freshUntil.load() != 0;
    if (isJoined && !isTransient(reason) && !flow.message.has_close()) {
        resetFlow(returnToken(flow.frame, flow.message.flow_id()), reason);
    }
}

void PacketHandler::onUpstreamDatagram(std::string_view bytes, common::Endpoint sender,
                                       TimePoint now)
{
    auto decoded = wire::decodeUpstreamMessage(bytes);
    if (const auto *reason = std::get_if<Reason>(&decoded)) {
        m_parts.metrics.countRefusal(*reason);
        return;
    }
    const auto upstream = m_parts.directory.view()->upstreamAt(sender);
    if (!upstream) {
        m_parts.metrics.countRefusal(Reason::NoUpstream);
        return;
    }
    auto &message = std::get<UpstreamMessage>(decoded);
    CallerMessage answer;
    switch (message.body_case()) {
    case UpstreamMessage::kOpened:
        *answer.mutable_opened() = message.opened();
        answer.mutable_opened()->set_upstream(upstream->value());
        break;
    case UpstreamMessage::kFeed:
        *answer.mutable_feed() = std::move(*message.mutable_feed());
        break;
    case UpstreamMessage::kReset:
        onUpstreamReset(message, *upstream, now);
        return;
    case UpstreamMessage::kAnswer:
    case UpstreamMessage::kRefusal:
        m_parts.control.onDispatchResult(std::move(message));
        return;
    case UpstreamMessage::kReport:
        m_parts.control.onHealthReport(*upstream, message.report());
        return;
    default:
        m_parts.metrics.countRefusal(Reason::MalformedPacket);
        return;
    }
    m_parts.unansweredFlows.remove(common::FlowKey(message.flow_key()));
    if (!replyTo(message.return_token(), std::move(answer), m_parts.datagrams)) {
        m_parts.metrics.countRefusal(Reason::MalformedPacket);
    }
}

void PacketHandler::onUpstreamReset(const UpstreamMessage &message, common::UpstreamId upstream,
                                    TimePoint now)
{
    const auto reason = reasonOf(message.reset().reason());
    if (reason == Reason::WrongIncarnation) {
        m_parts.control.onIncarnationRejected(upstream, common::Incarnation(message.incarnation()));
    }
    if (reason == Reason::UnknownFlow && retryAtNextCandidate(message, upstream, now)) {
        return;
    }
    m_parts.unansweredFlows.remove(common::FlowKey(message.flow_key()));
    m_parts.metrics.countRefusal(reason);
    resetFlow(message.return_token(), reason);
}

bool PacketHandler::retryAtNextCandidate(const UpstreamMessage &reset, common::UpstreamId upstream,
                                         TimePoint now)
{
    const common::FlowKey flow(reset.flow_key());
    auto unanswered = m_parts.unansweredFlows.take(flow);
    if (!unanswered) {
        return false;
    }
    const auto candidate =
            m_parts.router.nextCandidate(common::ServiceId(reset.service()), flow, upstream, now);
    const auto view = m_parts.directory.view();
    const auto *entry = candidate ? view->upstream(*candidate) : nullptr;
    if (entry == nullptr || entry->state == version::UpstreamState::Withdrawn) {
        return false;
    }
    m_parts.metrics.countRetry(Reason::UnknownFlow);
    unanswered->message.set_incarnation(entry->incarnation.value());
    m_parts.unansweredFlows.onForwarded(flow, *candidate, unanswered->message, now);
    m_parts.datagrams.toUpstream(entry->address, wire::encode(std::move(unanswered->message)));
    return true;
}

void PacketHandler::setFreshUntil(TimePoint freshUntil)
{
    m_freshUntil = freshUntil.time_since_epoch().count();
}

void PacketHandler::updateStaleness(TimePoint now)
{
    const bool isStale = now.time_since_epoch().count() > m_freshUntil.load();
    if (m_isStale.load(std::memory_order_relaxed) != isStale
        && m_isStale.exchange(isStale) != isStale) {
        m_parts.router.setStale(isStale);
    }
}

void PacketHandler::resetFlow(const std::string &returnToken, Reason reason)
{
    CallerMessage message;
    message.mutable_reset()->set_reason(std::string(common::toString(reason)));
    if (replyTo(returnToken, std::move(message), m_parts.datagrams)) {
        m_parts.metrics.count(Counter::FlowsReset);
    }
}

std::string PacketHandler::returnToken(const FabricFrame &frame, std::uint64_t flowId)
{
    CallerMessage header;
    header.set_flow_id(flowId);
    return wire::encode(wire::replyFrame(frame, wire::encode(std::move(header))));
}

bool PacketHandler::replyTo(const std::string &returnToken, CallerMessage message,
                            DatagramSink &datagrams)
{
    auto decoded = wire::decodeFabricFrame(returnToken);
    auto *frame = std::get_if<FabricFrame>(&decoded);
    CallerMessage header;
    if (frame == nullptr || !header.ParseFromString(frame->payload())) {
        return false;
    }
    message.set_flow_id(header.flow_id());
    frame->set_payload(wire::encode(std::move(message)));
    datagrams.toFabric(wire::encode(std::move(*frame)));
    return true;
}

} // namespace banyanwall::process
