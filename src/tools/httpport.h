#pragma once

#include "common/endpoint.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace banyanwall::tools {

/// Answer of a control request.
struct HttpAnswer
{
    unsigned status = 200;
    std::string body;
};

/// A small HTTP server for the control of a stand-in. Calls the handler on the thread of the
/// io_context and closes the connection after each answer.
class HttpPort
{
public:
    using Handler = std::function<HttpAnswer(const std::string &target)>;

    HttpPort(boost::asio::io_context &context, common::Endpoint local, Handler handler);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

/// Fetches target over HTTP without blocking. done gets the body of a 200 answer, or nothing after
/// an error or after 2 s.
void httpGet(boost::asio::io_context &context, common::Endpoint server, const std::string &target,
             std::function<void(std::optional<std::string> body)> done);

} // namespace banyanwall::tools
