#pragma once

#include "common/endpoint.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace banyanwall::tools {

/// Response to a control request.
struct HttpResponse
{
    unsigned status = 200;
    std::string body;
};

/// HTTP server by which scripts control a stand-in. Calls the handler on the thread of the
/// io_context and closes the connection after each response.
class HttpPort
{
public:
    using Handler = std::function<HttpResponse(const std::string &target)>;

    /// Throws boost::system::system_error when local is in use.
    HttpPort(boost::asio::io_context &context, common::Endpoint local, Handler handler);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

/// Fetches target over HTTP without blocking. done receives the body of a response with status 200,
/// or nothing after an error, another status or a timeout of 2 s.
void httpGet(boost::asio::io_context &context, common::Endpoint server, const std::string &target,
             std::function<void(std::optional<std::string> body)> done);

} // namespace banyanwall::tools
