#include "process/adminserver.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <memory>

namespace banyanwall::process {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

constexpr std::chrono::seconds RequestTimeout { 5 };
// The pages take no request body.
constexpr std::uint64_t MaxBodyBytes = 1'024;

http::response<http::string_body> makeResponse(const AdminServer::Pages &pages,
                                               const http::request<http::string_body> &request)
{
    http::response<http::string_body> response { http::status::ok, request.version() };
    response.keep_alive(false);
    response.set(http::field::content_type, "text/plain; charset=utf-8");
    if (request.method() != http::verb::get) {
        response.result(http::status::method_not_allowed);
    } else if (request.target() == "/health") {
        const bool isHealthy = pages.isHealthy();
        response.result(isHealthy ? http::status::ok : http::status::service_unavailable);
        response.body() = isHealthy ? "ok\n" : "unavailable\n";
    } else if (request.target() == "/metrics") {
        response.set(http::field::content_type, "text/plain; version=0.0.4; charset=utf-8");
        response.body() = pages.metrics();
    } else if (request.target() == "/status") {
        response.set(http::field::content_type, "application/json");
        response.body() = pages.status();
    } else {
        response.result(http::status::not_found);
    }
    response.prepare_payload();
    return response;
}

} // namespace

/// One connection: reads a request, writes the response and closes.
class AdminServer::Session : public std::enable_shared_from_this<AdminServer::Session>
{
public:
    Session(tcp::socket socket, const Pages &pages)
        : m_stream(std::move(socket))
        , m_pages(pages)
    {
        m_parser.body_limit(MaxBodyBytes);
    }

    void run()
    {
        m_stream.expires_after(RequestTimeout);
        http::async_read(m_stream, m_buffer, m_parser,
                         [self = shared_from_this()](beast::error_code error, std::size_t) {
                             if (!error) {
                                 self->sendResponse();
                             }
                         });
    }

private:
    void sendResponse()
    {
        m_response = makeResponse(m_pages, m_parser.get());
        http::async_write(m_stream, m_response,
                          [self = shared_from_this()](beast::error_code, std::size_t) {
                              beast::error_code ignored;
                              self->m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
                          });
    }

    beast::tcp_stream m_stream;
    const Pages &m_pages;
    beast::flat_buffer m_buffer;
    http::request_parser<http::string_body> m_parser;
    http::response<http::string_body> m_response;
};

AdminServer::AdminServer(boost::asio::io_context &context, common::Endpoint listen, Pages pages)
    : m_acceptor(context, { boost::asio::ip::address_v4(listen.address), listen.port })
    , m_pages(std::move(pages))
{
    accept();
}

void AdminServer::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            std::make_shared<Session>(std::move(socket), m_pages)->run();
        }
        accept();
    });
}

} // namespace banyanwall::process
