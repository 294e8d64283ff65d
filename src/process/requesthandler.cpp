#include "process/requesthandler.h"

#include "common/hash.h"
#include "common/result.h"
#include "process/packethandler.h"
#include "wire/datagram.h"

#include <algorithm>

namespace banyanwall::process {

using common::Reason;
using request::Moment;
using wire::proto::CallerMessage;
using wire::proto::RequestRelay;

namespace {

// A request may visit an instance with an older view, its coordinator, a former coordinator and the
// coordinator again.
constexpr std::uint32_t MaxHops = 6;

common::WallTime wallTime(std::int64_t unixMilliseconds)
{
    return common::WallTime(std::chrono::milliseconds(unixMilliseconds));
}

std::int64_t unixMilliseconds(common::WallTime time)
{
    return time.time_since_epoch().count();
}

connection::SlotKey slotOf(std::uint64_t key, std::uint32_t attempt)
{
    return { common::RequestKey(key), common::AttemptNumber(attempt) };
}

template<typename Message>
void setSlot(Message &message, common::ServiceId service, common::UpstreamId upstream,
             connection::SlotKey slot)
{
    message.set_service(service.value());
    message.set_upstream(upstream.value());
    message.set_request_key(slot.request.value());
    message.set_attempt(slot.attempt.value());
}

wire::proto::SlotOutcome toWire(connection::SlotOutcome outcome)
{
    switch (outcome) {
    case connection::SlotOutcome::Answered:
        return wire::proto::SLOT_OUTCOME_ANSWERED;
    case connection::SlotOutcome::Shed:
        return wire::proto::SLOT_OUTCOME_SHED;
    case connection::SlotOutcome::TimedOut:
        return wire::proto::SLOT_OUTCOME_TIMED_OUT;
    case connection::SlotOutcome::Unused:
        return wire::proto::SLOT_OUTCOME_UNUSED;
    }
    return wire::proto::SLOT_OUTCOME_UNSPECIFIED;
}

connection::SlotOutcome fromWire(wire::proto::SlotOutcome outcome)
{
    switch (outcome) {
    case wire::proto::SLOT_OUTCOME_ANSWERED:
        return connection::SlotOutcome::Answered;
    case wire::proto::SLOT_OUTCOME_SHED:
        return connection::SlotOutcome::Shed;
    case wire::proto::SLOT_OUTCOME_UNUSED:
        return connection::SlotOutcome::Unused;
    default:
        return connection::SlotOutcome::TimedOut;
    }
}

request::DispatchRefusal fromWire(wire::proto::DispatchRefusalReason reason)
{
    switch (reason) {
    case wire::proto::DISPATCH_REFUSAL_DEADLINE:
        return request::DispatchRefusal::Deadline;
    case wire::proto::DISPATCH_REFUSAL_DRAINING:
        return request::DispatchRefusal::Draining;
    case wire::proto::DISPATCH_REFUSAL_WRONG_SERVICE:
        return request::DispatchRefusal::WrongService;
    case wire::proto::DISPATCH_REFUSAL_WRONG_INCARNATION:
        return request::DispatchRefusal::WrongIncarnation;
    default:
        return request::DispatchRefusal::Shed;
    }
}

wire::proto::Verdict toWire(common::Verdict verdict)
{
    switch (verdict) {
    case common::Verdict::Completed:
        return wire::proto::VERDICT_COMPLETED;
    case common::Verdict::NotRun:
        return wire::proto::VERDICT_NOT_RUN;
    case common::Verdict::MayHaveRun:
        return wire::proto::VERDICT_MAY_HAVE_RUN;
    }
    return wire::proto::VERDICT_UNSPECIFIED;
}

std::uint64_t requestIdOf(const CallerMessage &message)
{
    return message.has_cancel() ? message.cancel().request_id() : message.request().request_id();
}

} // namespace

RequestHandler::RequestHandler(Parts parts)
    : m_parts(parts)
{ }

void RequestHandler::setMembers(std::shared_ptr<const connection::OwnerSelector> members)
{
    m_members = std::move(members);
}

void RequestHandler::onCallerRequest(const RequestRelay &relayed,
                                     std::optional<common::InstanceId> sender, Moment moment)
{
    const auto decoded = wire::decodeCallerMessage(relayed.frame().payload());
    const auto *message = std::get_if<CallerMessage>(&decoded);
    if (message == nullptr || !(message->has_request() || message->has_cancel())) {
        m_parts.metrics.countRefusal(Reason::MalformedPacket);
        return;
    }
    const auto service =
            m_parts.directory.view()->serviceAt(wire::serviceAddressOf(relayed.frame()));
    if (!service) {
        m_parts.metrics.countRefusal(Reason::UnknownService);
        return;
    }
    const auto key =
            wire::requestKey(*service, wire::callerOf(relayed.frame()), requestIdOf(*message));
    RequestPlacement::Query query;
    query.key = key;
    query.issued = wallTime(message->request().issued_unix_ms());
    query.deadline = wallTime(message->request().deadline_unix_ms());
    query.handover = relayed.handover();
    query.isRepeatable = message->request().repeatable();
    query.isCancel = message->has_cancel();
    query.sender = sender;
    for (const auto former : relayed.asked()) {
        query.cededBy.insert(common::InstanceId(former));
    }
    std::visit(common::Overloaded {
                       [&](RequestPlacement::HandleLocally) {
                           handleAsCoordinator(relayed.frame(), *message, *service, moment);
                       },
                       [&](const RequestPlacement::Relay &decision) { relay(relayed, decision); },
                       [&](RequestPlacement::Drop) {
                           m_parts.metrics.countRefusal(Reason::AwaitingTakeover);
                       },
               },
               m_parts.placement.place(query));
}

void RequestHandler::handleAsCoordinator(const wire::proto::FabricFrame &frame,
                                         const CallerMessage &message, common::ServiceId service,
                                         Moment moment)
{
    const auto key = wire::requestKey(service, wire::callerOf(frame), requestIdOf(message));
    if (message.has_cancel()) {
        perform(m_parts.coordinator.onCancel(key, moment), moment);
        return;
    }
    m_parts.metrics.count(Counter::RequestsReceived);
    const auto &body = message.request();
    request::RequestArrival arrival;
    arrival.key = key;
    arrival.service = service;
    arrival.requestId = body.request_id();
    arrival.repeatable = body.repeatable();
    arrival.transmission = body.transmission();
    arrival.issued = wallTime(body.issued_unix_ms());
    arrival.deadline = wallTime(body.deadline_unix_ms());
    arrival.payload = body.payload();
    arrival.returnToken = PacketHandler::returnToken(frame, message.flow_id());
    perform(m_parts.coordinator.onRequest(std::move(arrival), moment), moment);
}

void RequestHandler::relay(RequestRelay relayed, const RequestPlacement::Relay &decision)
{
    if (relayed.hops() >= MaxHops) {
        m_parts.metrics.countRefusal(Reason::HopLimit);
        return;
    }
    relayed.set_hops(relayed.hops() + 1);
    relayed.set_handover(decision.handover);
    if (decision.handover == RequestRelay::CEDED) {
        relayed.add_asked(m_parts.self.value());
    }
    wire::proto::PeerMessage message;
    *message.mutable_request_relay() = std::move(relayed);
    m_parts.peers.toPeer(decision.peer, message);
}

void RequestHandler::onDispatchResult(const wire::proto::UpstreamMessage &message, Moment moment)
{
    const auto token = wire::decodeFabricFrame(message.return_token());
    const auto *frame = std::get_if<wire::proto::FabricFrame>(&token);
    if (frame == nullptr) {
        m_parts.metrics.countRefusal(Reason::MalformedPacket);
        return;
    }
    // A dispatch carries the request key as its flow key, and the upstream echoes it.
    const common::RequestKey key(message.flow_key());
    if (message.has_refusal()) {
        const auto slot = slotOf(key.value(), message.refusal().attempt());
        perform(m_parts.coordinator.onRefusal(slot, fromWire(message.refusal().reason()), moment),
                moment);
        return;
    }
    const auto &piece = message.answer();
    perform(m_parts.coordinator.onAnswer({ key, common::AttemptNumber(piece.attempt()),
                                           piece.index(), piece.count(), piece.checksum(),
                                           piece.payload() },
                                         moment),
            moment);
}

void RequestHandler::onSlotRequest(common::InstanceId sender,
                                   const wire::proto::SlotRequest &request, Moment moment)
{
    const auto slot = slotOf(request.request_key(), request.attempt());
    const bool isGranted =
            m_parts.owned.acquire(common::UpstreamId(request.upstream()), slot,
                                  std::chrono::milliseconds(request.hold_ms()), moment.now);
    wire::proto::PeerMessage answer;
    auto &grant = *answer.mutable_slot_grant();
    setSlot(grant, common::ServiceId(request.service()), common::UpstreamId(request.upstream()),
            slot);
    grant.set_granted(isGranted);
    m_parts.peers.toPeer(sender, answer);
}

void RequestHandler::onSlotGrant(const wire::proto::SlotGrant &grant, Moment moment)
{
    const auto slot = slotOf(grant.request_key(), grant.attempt());
    perform(m_parts.coordinator.onSlotAnswer(slot, grant.granted(), moment), moment);
}

void RequestHandler::onSlotRelease(const wire::proto::SlotRelease &release, Moment moment)
{
    m_parts.owned.release(common::UpstreamId(release.upstream()),
                          slotOf(release.request_key(), release.attempt()),
                          fromWire(release.outcome()),
                          std::chrono::microseconds(release.latency_us()), moment.now);
}

void RequestHandler::onSlotReportRequest(common::InstanceId sender,
                                         const wire::proto::SlotReportRequest &request,
                                         Moment moment)
{
    wire::proto::PeerMessage answer;
    auto &report = *answer.mutable_slot_report();
    for (const auto id : request.upstreams()) {
        const common::UpstreamId upstream(id);
        perform(m_parts.coordinator.onOwnerChange(upstream, moment), moment);
        report.add_upstreams(id);
        for (const auto &slot : m_parts.coordinator.heldSlots(upstream)) {
            setSlot(*report.add_held(), {}, upstream, slot);
        }
    }
    m_parts.peers.toPeer(sender, answer);
}

void RequestHandler::onTick(Moment moment)
{
    perform(m_parts.coordinator.onTick(moment), moment);
}

void RequestHandler::perform(const request::RequestActions &actions, Moment moment)
{
    for (const auto &action : actions) {
        std::visit([&](const auto &typedAction) { run(typedAction, moment); }, action);
    }
}

std::optional<common::InstanceId> RequestHandler::ownerOf(common::UpstreamId upstream) const
{
    const auto view = m_parts.directory.view();
    const auto *entry = view->upstream(upstream);
    return entry == nullptr || m_members == nullptr
            ? std::nullopt
            : m_members->upstreamOwner(upstream, entry->zone);
}

void RequestHandler::run(const request::RequestSlot &action, Moment moment)
{
    const auto owner = ownerOf(action.upstream);
    if (!owner) {
        perform(m_parts.coordinator.onSlotAnswer(action.slot, false, moment), moment);
        return;
    }
    if (*owner == m_parts.self) {
        const bool isGranted =
                m_parts.owned.acquire(action.upstream, action.slot, action.hold, moment.now);
        perform(m_parts.coordinator.onSlotAnswer(action.slot, isGranted, moment), moment);
        return;
    }
    wire::proto::PeerMessage message;
    auto &request = *message.mutable_slot_request();
    setSlot(request, action.service, action.upstream, action.slot);
    request.set_hold_ms(static_cast<std::uint32_t>(
            std::chrono::ceil<std::chrono::milliseconds>(action.hold).count()));
    m_parts.peers.toPeer(*owner, message);
}

void RequestHandler::run(const request::ReleaseSlot &action, Moment moment)
{
    if (action.outcome == connection::SlotOutcome::Answered) {
        m_parts.metrics.observeLatency(action.latency);
    }
    const auto owner = ownerOf(action.upstream);
    if (!owner) {
        return;
    }
    if (*owner == m_parts.self) {
        m_parts.owned.release(action.upstream, action.slot, action.outcome, action.latency,
                              moment.now);
        return;
    }
    wire::proto::PeerMessage message;
    auto &release = *message.mutable_slot_release();
    setSlot(release, action.service, action.upstream, action.slot);
    release.set_outcome(toWire(action.outcome));
    release.set_latency_us(static_cast<std::uint32_t>(action.latency.count()));
    m_parts.peers.toPeer(*owner, message);
}

void RequestHandler::run(const request::DispatchRequest &action, Moment moment)
{
    const auto view = m_parts.directory.view();
    const auto *entry = view->upstream(action.upstream);
    if (entry == nullptr || entry->state == version::UpstreamState::Withdrawn) {
        // The request was not sent, which has the same effect as a refusal by the upstream.
        perform(m_parts.coordinator.onRefusal(action.slot, request::DispatchRefusal::Draining,
                                              moment),
                moment);
        return;
    }
    wire::proto::UpstreamMessage message;
    message.set_service(action.service.value());
    message.set_incarnation(entry->incarnation.value());
    message.set_flow_key(action.slot.request.value());
    message.set_return_token(action.returnToken);
    auto &dispatch = *message.mutable_dispatch();
    dispatch.set_request_id(action.requestId);
    dispatch.set_attempt(action.slot.attempt.value());
    dispatch.set_repeatable(action.repeatable);
    dispatch.set_deadline_unix_ms(unixMilliseconds(action.deadline));
    dispatch.set_payload(action.payload);
    m_parts.metrics.count(Counter::RequestsDispatched);
    m_parts.metrics.countLoad(action.service, action.upstream);
    m_parts.datagrams.toUpstream(entry->address, wire::encode(std::move(message)));
}

void RequestHandler::run(const request::CancelDispatch &action, Moment)
{
    const auto view = m_parts.directory.view();
    const auto *entry = view->upstream(action.upstream);
    if (entry == nullptr || entry->state == version::UpstreamState::Withdrawn) {
        return;
    }
    wire::proto::UpstreamMessage message;
    message.set_service(action.service.value());
    message.set_incarnation(entry->incarnation.value());
    message.set_flow_key(action.slot.request.value());
    message.mutable_cancel()->set_request_id(action.requestId);
    message.mutable_cancel()->set_attempt(action.slot.attempt.value());
    m_parts.datagrams.toUpstream(entry->address, wire::encode(std::move(message)));
}

void RequestHandler::run(const request::DeliverAnswer &action, Moment)
{
    const auto count =
            std::max<std::size_t>(1, (action.payload.size() + MaxPieceBytes - 1) / MaxPieceBytes);
    const auto checksum = common::hashBytes(action.payload);
    for (std::size_t index = 0; index < count; ++index) {
        CallerMessage message;
        auto &piece = *message.mutable_answer();
        piece.set_request_id(action.requestId);
        piece.set_attempt(action.attempt.value());
        piece.set_index(static_cast<std::uint32_t>(index));
        piece.set_count(static_cast<std::uint32_t>(count));
        piece.set_checksum(checksum);
        piece.set_payload(action.payload.substr(index * MaxPieceBytes, MaxPieceBytes));
        PacketHandler::replyTo(action.returnToken, std::move(message), m_parts.datagrams);
    }
    m_parts.metrics.count(Counter::AnswersDelivered);
}

void RequestHandler::run(const request::RefuseRequest &action, Moment)
{
    m_parts.metrics.countRefusal(action.reason);
    CallerMessage message;
    auto &refusal = *message.mutable_refusal();
    refusal.set_request_id(action.requestId);
    refusal.set_verdict(toWire(action.verdict));
    refusal.set_reason(std::string(common::toString(action.reason)));
    PacketHandler::replyTo(action.returnToken, std::move(message), m_parts.datagrams);
}

void RequestHandler::run(const request::CountRetry &action, Moment)
{
    m_parts.metrics.countRetry(action.reason);
}

void RequestHandler::run(const request::CountDrop &action, Moment)
{
    m_parts.metrics.countRefusal(action.reason);
}

} // namespace banyanwall::process
