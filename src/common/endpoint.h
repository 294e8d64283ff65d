#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace banyanwall::common {

/// IPv4 address and port, both in host byte order.
struct Endpoint
{
    std::uint32_t address = 0;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
};

/// Returns the endpoint as "a.b.c.d:port".
[[nodiscard]] std::string toString(const Endpoint &endpoint);

/// Parses "a.b.c.d:port". Empty if the text has any other form or the port is 0.
[[nodiscard]] std::optional<Endpoint> parseEndpoint(std::string_view text);

} // namespace banyanwall::common

template<>
struct std::hash<banyanwall::common::Endpoint>
{
    std::size_t operator()(const banyanwall::common::Endpoint &endpoint) const noexcept
    {
        return std::hash<std::uint64_t> {}((std::uint64_t { endpoint.address } << 16U)
                                           | endpoint.port);
    }
};
