#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Payloads on which the callers and the upstreams agree, so that a caller recognises an answer
/// that is mixed, incomplete or from another service.
namespace banyanwall::tools {

/// Payload of a request: the service that is meant ("customer/service") and the size of the answer
/// in bytes.
struct RequestPayload
{
    std::string service;
    std::size_t answerBytes = 0;
};

[[nodiscard]] std::string encodeRequest(const RequestPayload &request);
[[nodiscard]] std::optional<RequestPayload> decodeRequest(std::string_view payload);

/// The one right answer to a request; the same from each upstream of the service.
[[nodiscard]] std::string answerTo(std::string_view service, std::uint64_t requestId,
                                   std::size_t bytes);

/// Echo of a feed packet, with the full name of the upstream ("customer/service/upstream").
[[nodiscard]] std::string encodeEcho(std::string_view upstream, std::string_view payload);

struct Echo
{
    std::string_view upstream;
    std::string_view payload;
};

[[nodiscard]] std::optional<Echo> decodeEcho(std::string_view bytes);

} // namespace banyanwall::tools
