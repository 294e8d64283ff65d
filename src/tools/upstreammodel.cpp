#include "tools/upstreammodel.h"

#include "common/hash.h"
#include "tools/workload.h"

#include <algorithm>
#include <iterator>
#include <sstream>
#include <utility>

namespace banyanwall::tools {

using namespace wire::proto;
using Event = UpstreamCounters::Event;
using Outgoing = UpstreamModel::Outgoing;

namespace {

/// Limits memory and log output when many packets are violations. Further incidents before the next
/// takeIncidents() are not recorded.
constexpr std::size_t MaxIncidents = 1000;

} // namespace

UpstreamModel::UpstreamModel(UpstreamSettings settings, common::Incarnation incarnation,
                             RunLedger &ledger, std::uint64_t seed)
    : m_settings(std::move(settings))
    , m_incarnation(incarnation)
    , m_serviceId(common::idFromName<common::ServiceId>(m_settings.service))
    , m_id(common::idFromName<common::UpstreamId>(m_settings.name))
    , m_ledger(ledger)
    , m_random(seed)
    , m_coldAnswersLeft(m_settings.warmAfterAnswers)
{ }

std::vector<Outgoing> UpstreamModel::onDatagram(std::string_view bytes, common::Endpoint sender,
                                                ClockReading time)
{
    const auto decoded = wire::decodeUpstreamMessage(bytes);
    if (!common::isOk(decoded)) {
        ++m_counters.malformed;
        return {};
    }
    const auto &message = common::valueOf(decoded);
    countMessage(message, sender, time);
    auto answer = rejectMisdirected(message, sender);
    if (!answer) {
        switch (message.body_case()) {
        case UpstreamMessage::kDispatch:
            answer = dispatch(message, sender, time);
            break;
        case UpstreamMessage::kCancel:
            cancel(message.cancel());
            break;
        case UpstreamMessage::kProbe:
            answer = healthReport(message, time);
            break;
        default:
            answer = answerFlowPacket(message, sender);
        }
    }
    std::vector<Outgoing> outgoing;
    if (answer) {
        outgoing.push_back({ sender, std::move(*answer) });
    }
    return outgoing;
}

void UpstreamModel::countMessage(const UpstreamMessage &message, common::Endpoint sender,
                                 ClockReading time)
{
    m_counters.count(message.has_probe() ? Event::Probe : Event::Packet, time.wall);
    const bool isNewFlow = message.has_open() && !m_flows.contains(message.flow_key());
    if (message.has_dispatch()) {
        m_counters.count(Event::Request, time.wall);
    }
    if (isNewFlow) {
        m_counters.count(Event::NewFlow, time.wall);
    }
    if (m_shouldRecordNewWork && (isNewFlow || message.has_dispatch())) {
        recordIncident("new_work", message, sender);
    }
}

bool UpstreamModel::isPayloadOfAnotherService(const UpstreamMessage &message) const
{
    if (message.has_data()) {
        return !message.data().payload().starts_with(m_settings.service + "|");
    }
    if (message.has_dispatch()) {
        const auto request = decodeRequest(message.dispatch().payload());
        return !request || request->service != m_settings.service;
    }
    return false;
}

std::optional<UpstreamMessage> UpstreamModel::rejectMisdirected(const UpstreamMessage &message,
                                                                common::Endpoint sender)
{
    if (message.service() != m_serviceId.value() || isPayloadOfAnotherService(message)) {
        ++m_counters.wrongService;
        recordIncident("wrong_service", message, sender);
        return message.has_dispatch() ? refusal(message, DISPATCH_REFUSAL_WRONG_SERVICE)
                                      : reset(message, RESET_WRONG_SERVICE);
    }
    const bool isOtherIncarnation =
            message.incarnation() != 0 && message.incarnation() != m_incarnation.value();
    if (!isOtherIncarnation || message.has_probe()) {
        return std::nullopt;
    }
    ++m_counters.wrongIncarnation;
    return message.has_dispatch() ? refusal(message, DISPATCH_REFUSAL_WRONG_INCARNATION)
                                  : reset(message, RESET_WRONG_INCARNATION);
}

std::optional<UpstreamMessage> UpstreamModel::answerFlowPacket(const UpstreamMessage &message,
                                                               common::Endpoint sender)
{
    if (message.has_open()) {
        return openFlow(message, sender);
    }
    if (message.has_data()) {
        return echo(message, sender);
    }
    if (message.has_close()) {
        m_flows.erase(message.flow_key());
    }
    return std::nullopt;
}

std::optional<UpstreamMessage> UpstreamModel::openFlow(const UpstreamMessage &message,
                                                       common::Endpoint sender)
{
    if (!m_flows.contains(message.flow_key())) {
        if (m_isDraining) {
            return reset(message, RESET_DRAINED);
        }
        if (m_flows.size() >= m_settings.connections) {
            ++m_counters.connectionsOverLimit;
            return reset(message, RESET_CONNECTION_LIMIT);
        }
        m_flows.emplace(message.flow_key(), Flow {});
        const auto coldConnections = std::size_t { m_settings.connections }
                * m_settings.coldConcurrentRequests / m_settings.slots;
        if (isCold() && m_flows.size() > coldConnections) {
            countColdOverload(message, sender);
        }
    }
    auto reply = replyTo(message);
    reply.mutable_opened()->set_upstream(m_id.value());
    return reply;
}

std::optional<UpstreamMessage> UpstreamModel::echo(const UpstreamMessage &message,
                                                   common::Endpoint sender)
{
    const auto flow = m_flows.find(message.flow_key());
    if (flow == m_flows.end()) {
        ++m_counters.unknownFlow;
        recordIncident("unknown_flow", message, sender);
        return reset(message, RESET_UNKNOWN_FLOW);
    }
    if (flow->second.isUnanswered) {
        return std::nullopt;
    }
    auto reply = replyTo(message);
    reply.mutable_feed()->set_sequence(message.data().sequence());
    reply.mutable_feed()->set_payload(encodeEcho(m_settings.name, message.data().payload()));
    return reply;
}

std::optional<DispatchRefusalReason> UpstreamModel::refusalReason(const UpstreamMessage &message,
                                                                  ClockReading time) const
{
    if (m_isDraining) {
        return DISPATCH_REFUSAL_DRAINING;
    }
    if (time.wall.time_since_epoch().count() > message.dispatch().deadline_unix_ms()) {
        return DISPATCH_REFUSAL_DEADLINE;
    }
    if (m_work.size() >= m_settings.slots && m_settings.shouldShedOverLimit) {
        return DISPATCH_REFUSAL_SHED;
    }
    return std::nullopt;
}

std::optional<UpstreamMessage> UpstreamModel::dispatch(const UpstreamMessage &message,
                                                       common::Endpoint sender, ClockReading time)
{
    if (m_work.size() >= m_settings.slots) {
        ++m_counters.slotsOverLimit;
        recordIncident("slots_over_limit", message, sender);
    }
    const auto reason = refusalReason(message, time);
    if (!reason) {
        startWork(message, sender, time);
        return std::nullopt;
    }
    m_counters.refusedDraining += *reason == DISPATCH_REFUSAL_DRAINING ? 1 : 0;
    m_counters.refusedDeadline += *reason == DISPATCH_REFUSAL_DEADLINE ? 1 : 0;
    m_counters.shed += *reason == DISPATCH_REFUSAL_SHED ? 1 : 0;
    return refusal(message, *reason);
}

void UpstreamModel::startWork(const UpstreamMessage &message, common::Endpoint sender,
                              ClockReading time)
{
    if (isCold() && m_work.size() >= m_settings.coldConcurrentRequests) {
        countColdOverload(message, sender);
    }
    ++m_counters.runs;
    if (m_ledger.recordRun(message.dispatch().request_id(), message.dispatch().repeatable())) {
        recordIncident("duplicate_run", message, sender);
    }
    const auto latency =
            isCold() ? m_settings.usualLatency * m_settings.coldFactor : m_settings.usualLatency;
    m_work.push_back({ time.now + latency, sender, message });
    m_counters.largestBusy = std::max<std::uint64_t>(m_counters.largestBusy, m_work.size());
}

void UpstreamModel::cancel(const DispatchCancel &cancel)
{
    m_counters.cancelled += std::erase_if(m_work, [&](const Work &work) {
        const auto &dispatch = work.request.dispatch();
        return dispatch.request_id() == cancel.request_id()
                && dispatch.attempt() == cancel.attempt();
    });
}

std::vector<Outgoing> UpstreamModel::onTick(ClockReading time)
{
    const auto firstFinished =
            std::stable_partition(m_work.begin(), m_work.end(),
                                  [&](const Work &work) { return work.finishesAt > time.now; });
    std::vector<Outgoing> outgoing;
    std::for_each(firstFinished, m_work.end(), [&](const Work &work) {
        appendAnswer(work, outgoing);
        ++m_counters.answers;
        m_coldAnswersLeft -= m_coldAnswersLeft > 0 ? 1 : 0;
    });
    m_work.erase(firstFinished, m_work.end());
    return outgoing;
}

void UpstreamModel::appendAnswer(const Work &work, std::vector<Outgoing> &outgoing)
{
    const auto &dispatch = work.request.dispatch();
    const auto request = decodeRequest(dispatch.payload()).value_or(RequestPayload {});
    const auto payload =
            expectedAnswer(m_settings.service, dispatch.request_id(), request.answerBytes);
    const auto count = std::max<std::size_t>(
            1, (payload.size() + m_settings.fragmentBytes - 1) / m_settings.fragmentBytes);
    std::vector<Outgoing> fragments;
    for (std::size_t index = 0; index < count; ++index) {
        auto message = replyTo(work.request);
        auto *piece = message.mutable_answer();
        piece->set_request_id(dispatch.request_id());
        piece->set_attempt(dispatch.attempt());
        piece->set_index(static_cast<std::uint32_t>(index));
        piece->set_count(static_cast<std::uint32_t>(count));
        piece->set_checksum(common::hashBytes(payload));
        piece->set_payload(
                payload.substr(index * m_settings.fragmentBytes, m_settings.fragmentBytes));
        fragments.push_back({ work.sender, std::move(message) });
    }
    if (std::bernoulli_distribution(m_settings.shuffleProbability)(m_random)) {
        std::ranges::shuffle(fragments, m_random);
    }
    std::ranges::move(fragments, std::back_inserter(outgoing));
}

void UpstreamModel::countColdOverload(const UpstreamMessage &message, common::Endpoint sender)
{
    ++(m_hasTurnedCold ? m_counters.turnedColdOverload : m_counters.coldOverload);
    recordIncident(m_hasTurnedCold ? "turned_cold_overload" : "cold_overload", message, sender);
}

void UpstreamModel::recordIncident(std::string_view kind, const UpstreamMessage &message,
                                   common::Endpoint sender)
{
    if (m_incidents.size() >= MaxIncidents) {
        return;
    }
    std::ostringstream line;
    line << "event=" << kind << " upstream=" << m_settings.name
         << " sender=" << common::toString(sender) << " body=" << message.body_case()
         << " service=" << message.service() << " incarnation=" << message.incarnation()
         << " own_incarnation=" << m_incarnation.value() << " flow=" << message.flow_key();
    if (message.has_data()) {
        line << " payload=" << message.data().payload();
    }
    if (message.has_dispatch()) {
        const auto &dispatch = message.dispatch();
        line << " request=" << dispatch.request_id() << " attempt=" << dispatch.attempt()
             << " deadline_unix_ms=" << dispatch.deadline_unix_ms() << " busy=" << m_work.size()
             << " runs=" << m_ledger.runsOf(dispatch.request_id());
    }
    m_incidents.push_back(line.str());
}

std::vector<std::string> UpstreamModel::takeIncidents()
{
    return std::exchange(m_incidents, {});
}

UpstreamMessage UpstreamModel::healthReport(const UpstreamMessage &probe, ClockReading time)
{
    if (time.now - m_reportedState.takenAt >= m_settings.healthLag) {
        m_reportedState = { time.now, static_cast<std::uint32_t>(m_work.size()),
                            static_cast<std::uint32_t>(m_flows.size()) };
    }
    auto reply = replyTo(probe);
    auto *health = reply.mutable_report();
    health->set_sequence(probe.probe().sequence());
    health->set_incarnation(m_incarnation.value());
    health->set_healthy(m_healthReporting != HealthReporting::AlwaysUnhealthy);
    health->set_busy_slots(
            m_healthReporting == HealthReporting::AlwaysHealthy ? 0 : m_reportedState.busySlots);
    health->set_connections(
            m_healthReporting == HealthReporting::AlwaysHealthy ? 0 : m_reportedState.connections);
    return reply;
}

UpstreamMessage UpstreamModel::replyTo(const UpstreamMessage &message) const
{
    UpstreamMessage reply;
    reply.set_service(m_serviceId.value());
    reply.set_incarnation(m_incarnation.value());
    reply.set_flow_key(message.flow_key());
    reply.set_return_token(message.return_token());
    return reply;
}

UpstreamMessage UpstreamModel::reset(const UpstreamMessage &message, ResetReason reason) const
{
    auto reply = replyTo(message);
    reply.mutable_reset()->set_reason(reason);
    return reply;
}

UpstreamMessage UpstreamModel::refusal(const UpstreamMessage &message,
                                       DispatchRefusalReason reason) const
{
    auto reply = replyTo(message);
    reply.mutable_refusal()->set_request_id(message.dispatch().request_id());
    reply.mutable_refusal()->set_attempt(message.dispatch().attempt());
    reply.mutable_refusal()->set_reason(reason);
    return reply;
}

void UpstreamModel::restart(common::Incarnation incarnation)
{
    m_incarnation = incarnation;
    m_flows.clear();
    m_work.clear();
    m_coldAnswersLeft = m_settings.warmAfterAnswers;
    m_hasTurnedCold = false;
    m_isDraining = false;
    m_healthReporting = HealthReporting::Actual;
    m_reportedState = {};
}

void UpstreamModel::turnCold()
{
    m_coldAnswersLeft = m_settings.warmAfterAnswers;
    m_hasTurnedCold = true;
}

void UpstreamModel::stopAnsweringFlows()
{
    for (auto &[key, flow] : m_flows) {
        flow.isUnanswered = true;
    }
}

} // namespace banyanwall::tools
