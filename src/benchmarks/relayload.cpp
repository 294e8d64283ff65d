#include "benchmarks/relayload.h"

#include "wire/datagram.h"

namespace banyanwall::benchmarks {

namespace {

const common::Endpoint CallerEndpoint { 0x0a000001, 40000 };

} // namespace

RelayLoad::RelayLoad(boost::asio::io_context &context, const RelayLoadSettings &settings)
    : m_settings(settings)
    , m_payload(m_settings.payloadBytes, 'x')
    , m_open(m_settings.flows, m_settings.isBare)
    , m_fabricPort(context, m_settings.fabric,
                   [this](std::string_view bytes, common::Endpoint) { onAnswer(bytes); })
    , m_upstreamPort(context, m_settings.upstream,
                     [this](std::string_view bytes, common::Endpoint sender) {
                         onUpstreamPacket(bytes, sender);
                     })
{ }

std::string RelayLoad::frameOf(std::uint64_t flowId, bool isOpening) const
{
    wire::proto::CallerMessage message;
    message.set_flow_id(flowId);
    if (isOpening) {
        message.mutable_open()->set_transmission(1);
    } else {
        message.mutable_data()->set_sequence(1);
        message.mutable_data()->set_payload(m_payload);
    }
    wire::proto::FabricFrame frame;
    frame.set_caller_address(CallerEndpoint.address);
    frame.set_caller_port(CallerEndpoint.port);
    frame.set_service_address(m_settings.serviceAddress.address);
    frame.set_service_port(m_settings.serviceAddress.port);
    frame.set_payload(wire::encode(std::move(message)));
    return wire::encode(std::move(frame));
}

std::uint32_t RelayLoad::openMissing()
{
    std::uint32_t missing = 0;
    for (std::uint32_t flow = 0; flow < m_settings.flows; ++flow) {
        if (!m_open[flow] && missing < m_settings.window) {
            ++missing;
            m_fabricPort.send(frameOf(flow, true), m_settings.target);
        }
    }
    return missing;
}

void RelayLoad::fillWindow()
{
    for (std::uint32_t packet = 0; packet < m_settings.window; ++packet) {
        sendNext();
    }
}

void RelayLoad::sendNext()
{
    m_fabricPort.send(frameOf(m_next++ % m_settings.flows, false), m_settings.target);
}

void RelayLoad::onUpstreamPacket(std::string_view bytes, common::Endpoint sender)
{
    if (m_settings.isBare) {
        m_upstreamPort.send(bytes, sender);
        return;
    }
    auto decoded = wire::decodeUpstreamMessage(bytes);
    auto *message = std::get_if<wire::proto::UpstreamMessage>(&decoded);
    if (message == nullptr) {
        return;
    }
    message->set_incarnation(1);
    if (message->has_open()) {
        message->mutable_opened()->set_upstream(1);
    } else if (message->has_data()) {
        const auto data = message->data();
        message->mutable_feed()->set_sequence(data.sequence());
        message->mutable_feed()->set_payload(data.payload());
    } else if (message->has_probe()) {
        const auto sequence = message->probe().sequence();
        message->mutable_report()->set_sequence(sequence);
        message->mutable_report()->set_incarnation(1);
        message->mutable_report()->set_healthy(true);
    } else {
        return;
    }
    m_upstreamPort.send(wire::encode(std::move(*message)), sender);
}

void RelayLoad::onAnswer(std::string_view bytes)
{
    if (!m_settings.isBare) {
        const auto frame = wire::decodeFabricFrame(bytes);
        if (!common::isOk(frame)) {
            return;
        }
        const auto answer = wire::decodeCallerMessage(common::valueOf(frame).payload());
        const auto *message = std::get_if<wire::proto::CallerMessage>(&answer);
        if (message == nullptr) {
            return;
        }
        if (message->has_opened() && message->flow_id() < m_open.size()) {
            m_open[message->flow_id()] = true;
        }
        if (!message->has_feed()) {
            return;
        }
    }
    ++m_answers;
    if (m_isRunning) {
        sendNext();
    }
}

} // namespace banyanwall::benchmarks
