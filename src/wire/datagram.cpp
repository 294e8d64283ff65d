#include "wire/datagram.h"

#include "common/hash.h"

namespace banyanwall::wire {

using common::Reason;

namespace {

template<typename Message>
Decoded<Message> decode(std::string_view bytes)
{
    if (bytes.size() > MaxDatagramBytes) {
        return Reason::OversizedPacket;
    }
    Message message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return Reason::MalformedPacket;
    }
    if (message.version() != FormatVersion) {
        return Reason::UnsupportedVersion;
    }
    return message;
}

template<typename Message>
Decoded<Message> decodeWithBody(std::string_view bytes)
{
    auto decoded = decode<Message>(bytes);
    if (const auto *message = std::get_if<Message>(&decoded);
        message != nullptr && message->body_case() == Message::BODY_NOT_SET) {
        return Reason::MalformedPacket;
    }
    return decoded;
}

template<typename Message>
std::string encodeMessage(Message &message)
{
    message.set_version(FormatVersion);
    return message.SerializeAsString();
}

constexpr std::uint32_t MaxPort = 65535;

} // namespace

Decoded<proto::FabricFrame> decodeFabricFrame(std::string_view bytes)
{
    auto decoded = decode<proto::FabricFrame>(bytes);
    if (const auto *frame = std::get_if<proto::FabricFrame>(&decoded);
        frame != nullptr && (frame->caller_port() > MaxPort || frame->service_port() > MaxPort)) {
        return Reason::MalformedPacket;
    }
    return decoded;
}

Decoded<proto::CallerMessage> decodeCallerMessage(std::string_view bytes)
{
    return decodeWithBody<proto::CallerMessage>(bytes);
}

Decoded<proto::UpstreamMessage> decodeUpstreamMessage(std::string_view bytes)
{
    return decodeWithBody<proto::UpstreamMessage>(bytes);
}

std::string encode(proto::FabricFrame frame)
{
    return encodeMessage(frame);
}

std::string encode(proto::CallerMessage message)
{
    return encodeMessage(message);
}

std::string encode(proto::UpstreamMessage message)
{
    return encodeMessage(message);
}

common::Endpoint callerOf(const proto::FabricFrame &frame)
{
    return { frame.caller_address(), static_cast<std::uint16_t>(frame.caller_port()) };
}

common::Endpoint serviceAddressOf(const proto::FabricFrame &frame)
{
    return { frame.service_address(), static_cast<std::uint16_t>(frame.service_port()) };
}

common::FlowKey flowKey(common::ServiceId service, common::Endpoint caller, std::uint64_t flowId)
{
    const auto endpoint = (std::uint64_t { caller.address } << 16U) | caller.port;
    return common::FlowKey(common::hashPair(common::hashPair(service.value(), endpoint), flowId));
}

common::RequestKey requestKey(common::ServiceId service, common::Endpoint caller,
                              std::uint64_t requestId)
{
    return common::RequestKey(
            common::hashPair(common::hashPair(service.value(), caller.address), requestId));
}

proto::FabricFrame replyFrame(const proto::FabricFrame &request, std::string payload)
{
    proto::FabricFrame reply;
    reply.set_caller_address(request.caller_address());
    reply.set_caller_port(request.caller_port());
    reply.set_service_address(request.service_address());
    reply.set_service_port(request.service_port());
    reply.set_payload(std::move(payload));
    return reply;
}

} // namespace banyanwall::wire
