#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Payload formats that the callers and the upstreams share. A caller detects from the payload
/// whether an answer is mixed with another one, incomplete or from another service.
namespace banyanwall::tools {

/// Payload of a request: the service that the caller addresses ("customer/service") and the size of
/// the answer in bytes.
struct RequestPayload
{
    std::string service;
    std::size_t answerBytes = 0;
};

[[nodiscard]] std::string encodeRequest(const RequestPayload &request);
/// Empty when the payload is malformed or requests more than 1 MiB.
[[nodiscard]] std::optional<RequestPayload> decodeRequest(std::string_view payload);

/// Expected answer to a request. Each upstream of the service gives the same answer.
[[nodiscard]] std::string expectedAnswer(std::string_view service, std::uint64_t requestId,
                                         std::size_t bytes);

/// Echo of a feed packet: the full name of the upstream ("customer/service/upstream") and the
/// payload of the packet.
[[nodiscard]] std::string encodeEcho(std::string_view upstream, std::string_view payload);

struct Echo
{
    std::string_view upstream;
    std::string_view payload;
};

/// Empty when the payload is malformed. The result refers to bytes.
[[nodiscard]] std::optional<Echo> decodeEcho(std::string_view bytes);

} // namespace banyanwall::tools
