#include "tools/httpport.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <chrono>

namespace banyanwall::tools {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::chrono::seconds ExchangeTimeout { 2 };

tcp::endpoint toAsio(common::Endpoint endpoint)
{
    return { boost::asio::ip::address_v4(endpoint.address), endpoint.port };
}

/// One connection accepted by the server: reads one request and writes the response.
struct ServerSession : std::enable_shared_from_this<ServerSession>
{
    ServerSession(tcp::socket socket, HttpPort::Handler &requestHandler)
        : stream(std::move(socket))
        , handler(requestHandler)
    { }

    void start()
    {
        stream.expires_after(ExchangeTimeout);
        http::async_read(stream, buffer, request,
                         [self = shared_from_this()](error_code error, std::size_t) {
                             if (!error) {
                                 self->respond();
                             }
                         });
    }

    void respond()
    {
        const auto result = handler(std::string(request.target()));
        response.result(result.status);
        response.set(http::field::content_type, "application/json");
        response.keep_alive(false);
        response.body() = result.body;
        response.prepare_payload();
        http::async_write(stream, response, [self = shared_from_this()](error_code, std::size_t) {
            error_code ignored;
            self->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        });
    }

    beast::tcp_stream stream;
    HttpPort::Handler &handler;
    beast::flat_buffer buffer;
    http::request<http::string_body> request;
    http::response<http::string_body> response;
};

/// One request of the client and its response.
struct ClientSession : std::enable_shared_from_this<ClientSession>
{
    ClientSession(boost::asio::io_context &context,
                  std::function<void(std::optional<std::string>)> callback)
        : stream(context)
        , done(std::move(callback))
    { }

    void start(common::Endpoint server, const std::string &target)
    {
        request.method(http::verb::get);
        request.target(target);
        request.version(11);
        request.set(http::field::host, common::toString(server));
        stream.expires_after(ExchangeTimeout);
        stream.async_connect(toAsio(server), [self = shared_from_this()](error_code error) {
            error ? self->done(std::nullopt) : self->write();
        });
    }

    void write()
    {
        http::async_write(stream, request,
                          [self = shared_from_this()](error_code error, std::size_t) {
                              error ? self->done(std::nullopt) : self->read();
                          });
    }

    void read()
    {
        http::async_read(
                stream, buffer, response,
                [self = shared_from_this()](error_code error, std::size_t) {
                    const bool isUsable = !error && self->response.result() == http::status::ok;
                    self->done(isUsable ? std::optional(self->response.body()) : std::nullopt);
                });
    }

    beast::tcp_stream stream;
    std::function<void(std::optional<std::string>)> done;
    beast::flat_buffer buffer;
    http::request<http::empty_body> request;
    http::response<http::string_body> response;
};

} // namespace

struct HttpPort::State : std::enable_shared_from_this<State>
{
    State(boost::asio::io_context &context, common::Endpoint local, Handler requestHandler)
        : acceptor(context, toAsio(local))
        , handler(std::move(requestHandler))
    { }

    void accept()
    {
        acceptor.async_accept([self = shared_from_this()](error_code error, tcp::socket socket) {
            if (error == boost::asio::error::operation_aborted) {
                return;
            }
            if (!error) {
                std::make_shared<ServerSession>(std::move(socket), self->handler)->start();
            }
            self->accept();
        });
    }

    tcp::acceptor acceptor;
    Handler handler;
};

HttpPort::HttpPort(boost::asio::io_context &context, common::Endpoint local, Handler handler)
    : m_state(std::make_shared<State>(context, local, std::move(handler)))
{
    m_state->accept();
}

void httpGet(boost::asio::io_context &context, common::Endpoint server, const std::string &target,
             std::function<void(std::optional<std::string>)> done)
{
    std::make_shared<ClientSession>(context, std::move(done))->start(server, target);
}

} // namespace banyanwall::tools
