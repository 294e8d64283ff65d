#include "common/endpoint.h"

#include <boost/asio/ip/address_v4.hpp>

#include <charconv>

namespace banyanwall::common {

std::string toString(const Endpoint &endpoint)
{
    return boost::asio::ip::address_v4(endpoint.address).to_string() + ":"
            + std::to_string(endpoint.port);
}

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    boost::system::error_code error;
    const auto address =
            boost::asio::ip::make_address_v4(std::string(text.substr(0, colon)), error);
    std::uint16_t port = 0;
    const auto digits = text.substr(colon + 1);
    const auto *const last = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), last, port);
    if (error || parsed.ec != std::errc() || parsed.ptr != last || port == 0) {
        return std::nullopt;
    }
    return Endpoint { address.to_uint(), port };
}

} // namespace banyanwall::common
