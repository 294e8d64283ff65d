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

/// Codecs of the datagrams that instances exchange with the fabric, callers and upstreams. Each
/// decoder rejects input that is oversized, truncated, malformed, of another format version or
/// without a body, and returns the reason.
namespace banyanwall::wire {

inline constexpr std::uint32_t FormatVersion = 1;
/// Maximum size of a datagram that a decoder accepts; a UDP payload over IPv4 cannot be larger.
inline constexpr std::size_t MaxDatagramBytes = 65507;

/// A message, or the reason why it was rejected.
template<typename Message>
using Decoded = std::variant<Message, common::Reason>;

[[nodiscard]] Decoded<proto::FabricFrame> decodeFabricFrame(std::string_view bytes);
[[nodiscard]] Decoded<proto::CallerMessage> decodeCallerMessage(std::string_view bytes);
[[nodiscard]] Decoded<proto::UpstreamMessage> decodeUpstreamMessage(std::string_view bytes);

/// Sets the version field and returns the encoded message.
[[nodiscard]] std::string encode(proto::FabricFrame frame);
[[nodiscard]] std::string encode(proto::CallerMessage message);
[[nodiscard]] std::string encode(proto::UpstreamMessage message);

[[nodiscard]] common::Endpoint callerOf(const proto::FabricFrame &frame);
[[nodiscard]] common::Endpoint serviceAddressOf(const proto::FabricFrame &frame);

/// Returns the key of a flow: a hash of service, caller endpoint and the caller's flow id.
[[nodiscard]] common::FlowKey flowKey(common::ServiceId service, common::Endpoint caller,
                                      std::uint64_t flowId);
/// Returns the key of a request: a hash of service, caller address and the caller's request id. The
/// caller's port is left out, because a caller may retransmit a request from another socket.
[[nodiscard]] common::RequestKey requestKey(common::ServiceId service, common::Endpoint caller,
                                            std::uint64_t requestId);

/// Returns a frame that carries payload to the caller of request. Its service address is the one to
/// which the request was sent.
[[nodiscard]] proto::FabricFrame replyFrame(const proto::FabricFrame &request, std::string payload);

} // namespace banyanwall::wire
