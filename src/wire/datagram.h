#pragma once

#include "caller.pb.h"
#include "common/endpoint.h"
#include "common/ids.h"
#include "common/reason.h"
#include "common/result.h"
#include "fabric.pb.h"
#include "upstream.pb.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

/// Codecs of the datagrams exchanged with fabric, callers and upstreams. Every decoder rejects
/// input that is oversized, truncated, malformed, of another version or without a body, and names
/// the reason.
namespace banyanwall::wire {

inline constexpr std::uint32_t FormatVersion = 1;
/// Largest datagram in bytes that any decoder accepts; a UDP payload over IPv4 cannot be larger.
inline constexpr std::size_t MaxDatagramBytes = 65507;

template<typename Message>
using Decoded = std::variant<Message, common::Reason>;

[[nodiscard]] Decoded<proto::FabricFrame> decodeFabricFrame(std::string_view bytes);
[[nodiscard]] Decoded<proto::CallerMessage> decodeCallerMessage(std::string_view bytes);
[[nodiscard]] Decoded<proto::UpstreamMessage> decodeUpstreamMessage(std::string_view bytes);

/// Sets the version field and serialises.
[[nodiscard]] std::string encode(proto::FabricFrame frame);
[[nodiscard]] std::string encode(proto::CallerMessage message);
[[nodiscard]] std::string encode(proto::UpstreamMessage message);

[[nodiscard]] common::Endpoint callerOf(const proto::FabricFrame &frame);
[[nodiscard]] common::Endpoint serviceAddressOf(const proto::FabricFrame &frame);

/// The key of a flow depends on service, caller endpoint and the caller's flow id.
[[nodiscard]] common::FlowKey flowKey(common::ServiceId service, common::Endpoint caller,
                                      std::uint64_t flowId);
/// The key of a request leaves out the caller's port, because a caller may repeat a request from
/// another socket.
[[nodiscard]] common::RequestKey requestKey(common::ServiceId service, common::Endpoint caller,
                                            std::uint64_t requestId);

/// Frame that carries payload back to the caller of request, from the service address it was sent
/// to.
[[nodiscard]] proto::FabricFrame replyFrame(const proto::FabricFrame &request, std::string payload);

} // namespace banyanwall::wire
