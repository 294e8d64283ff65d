#include "process/httpexchange.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <limits>

namespace banyanwall::process {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

namespace {

// A range response may contain many values of up to 1 MB each.
constexpr std::uint64_t MaxResponseBytes = 64ULL * 1024 * 1024;

} // namespace

HttpExchange::HttpExchange(boost::asio::io_context &context, common::Endpoint server)
    : m_stream(context)
    , m_server(server)
{
    m_parser.body_limit(MaxResponseBytes);
}

void HttpExchange::start(const std::string &target, std::string body,
                         std::chrono::milliseconds timeout, Handler handler)
{
    m_timeout = timeout;
    m_handler = std::move(handler);
    m_stream.expires_after(timeout);
    connect(http::verb::post, target, std::move(body));
}

void HttpExchange::startGet(const std::string &target, std::chrono::milliseconds timeout,
                            Handler handler)
{
    m_timeout = timeout;
    m_handler = std::move(handler);
    m_stream.expires_after(timeout);
    connect(http::verb::get, target, {});
}

void HttpExchange::startStream(const std::string &target, std::string body,
                               std::chrono::milliseconds chunkTimeout, ChunkHandler onChunk,
                               Handler handler)
{
    m_onChunk = std::move(onChunk);
    m_parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    start(target, std::move(body), chunkTimeout, std::move(handler));
}

void HttpExchange::cancel()
{
    m_handler = nullptr;
    m_onChunk = nullptr;
    m_stream.cancel();
    beast::error_code ignored;
    // NOLINTNEXTLINE(bugprone-unused-return-value): the error is in ignored.
    m_stream.socket().close(ignored);
}

void HttpExchange::connect(http::verb method, const std::string &target, std::string body)
{
    m_request = { method, target, 11 };
    m_request.set(http::field::host, common::toString(m_server));
    if (method == http::verb::post) {
        m_request.set(http::field::content_type, "application/json");
    }
    m_request.set(http::field::connection, "close");
    m_request.body() = std::move(body);
    m_request.prepare_payload();
    const tcp::endpoint server(boost::asio::ip::address_v4(m_server.address), m_server.port);
    m_stream.async_connect(server, [self = shared_from_this()](beast::error_code error) {
        if (error) {
            self->finish("connect: " + error.message());
        } else {
            self->write();
        }
    });
}

void HttpExchange::write()
{
    if (!m_handler) {
        return;
    }
    m_mayHaveReachedServer = true;
    http::async_write(m_stream, m_request,
                      [self = shared_from_this()](beast::error_code error, std::size_t) {
                          if (error) {
                              self->finish("send: " + error.message());
                          } else if (self->m_onChunk) {
                              self->readChunk();
                          } else {
                              self->readResponse();
                          }
                      });
}

void HttpExchange::readResponse()
{
    http::async_read(m_stream, m_buffer, m_parser,
                     [self = shared_from_this()](beast::error_code error, std::size_t) {
                         self->finish(error ? "receive: " + error.message() : "");
                     });
}

void HttpExchange::readChunk()
{
    m_stream.expires_after(m_timeout);
    http::async_read_some(m_stream, m_buffer, m_parser,
                          [self = shared_from_this()](beast::error_code error, std::size_t) {
                              auto &body = self->m_parser.get().body();
                              const bool accepted = self->m_parser.is_header_done()
                                      && self->m_parser.get().result() == http::status::ok;
                              if (accepted && !body.empty() && self->m_onChunk) {
                                  // A copy, because the handler may cancel this exchange and so
                                  // reset m_onChunk.
                                  const auto onChunk = self->m_onChunk;
                                  onChunk(std::exchange(body, {}));
                              }
                              if (!self->m_onChunk) {
                                  return;
                              }
                              if (error || self->m_parser.is_done()) {
                                  self->finish(error ? "receive: " + error.message() : "");
                              } else {
                                  self->readChunk();
                              }
                          });
}

void HttpExchange::finish(const std::string &error)
{
    if (!m_handler) {
        return;
    }
    HttpResult result;
    result.mayHaveReachedServer = m_mayHaveReachedServer;
    result.error = error;
    if (error.empty()) {
        result.status = m_parser.get().result_int();
        result.body = std::move(m_parser.get().body());
        result.headers = std::move(m_parser.get().base());
    }
    const auto handler = std::exchange(m_handler, nullptr);
    m_onChunk = nullptr;
    m_stream.close();
    handler(std::move(result));
}

} // namespace banyanwall::process
