#include "tools/platformsession.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>

namespace banyanwall::tools {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

// Enough for a transaction with one value of the maximum size, 1 MB, in base64.
constexpr std::uint64_t MaxRequestBytes = 2ULL * 1024 * 1024;
// The server disconnects a watcher with more queued lines. The watcher reconnects and resumes from
// its last revision.
constexpr std::size_t MaxQueuedLines = 10'000;

} // namespace

PlatformSession::PlatformSession(PlatformServer &server, boost::asio::ip::tcp::socket socket)
    : m_server(&server)
    , m_socket(std::move(socket))
    , m_delayTimer(m_socket.get_executor())
{ }

void PlatformSession::start()
{
    read();
}

void PlatformSession::close()
{
    if (m_server == nullptr) {
        return;
    }
    const auto self = shared_from_this();
    m_server->m_sessions.erase(self);
    m_server->m_watches.erase(self);
    m_server = nullptr;
    m_delayTimer.cancel();
    beast::error_code ignored;
    // NOLINTNEXTLINE(bugprone-unused-return-value): the error is in ignored.
    m_socket.close(ignored);
}

void PlatformSession::read()
{
    m_parser.emplace();
    m_parser->body_limit(MaxRequestBytes);
    http::async_read(m_socket, m_buffer, *m_parser,
                     [self = shared_from_this()](beast::error_code error, std::size_t) {
                         if (error) {
                             self->close();
                         } else if (self->m_server != nullptr) {
                             self->onRequest();
                         }
                     });
}

void PlatformSession::onRequest()
{
    const auto &request = m_parser->get();
    const std::string target(request.target());
    const bool isGet = request.method() == http::verb::get;
    if (target == "/v3/watch") {
        const auto watch = PlatformApi::parseWatch(request.body());
        const auto result = m_server->handleCall(isGet, target, request.body());
        if (result.isLost) {
            close();
        } else if (!watch || result.response.status != 200) {
            respond(watch ? result.response
                          : ApiResponse { 400, "{\"error\":\"bad watch request\"}" });
        } else {
            startWatch(*watch);
        }
        return;
    }
    const auto result = m_server->handleCall(isGet, target, request.body());
    m_delayTimer.expires_after(result.delay);
    m_delayTimer.async_wait([self = shared_from_this(), result](const beast::error_code &error) {
        if (error || self->m_server == nullptr) {
            return;
        }
        if (result.isLost) {
            self->close();
        } else {
            self->respond(result.response);
        }
    });
}

void PlatformSession::respond(const ApiResponse &response)
{
    m_response = { static_cast<http::status>(response.status), m_parser->get().version() };
    m_response.set(http::field::content_type, "application/json");
    m_response.keep_alive(m_parser->get().keep_alive());
    m_response.body() = response.body;
    m_response.prepare_payload();
    http::async_write(m_socket, m_response,
                      [self = shared_from_this()](beast::error_code error, std::size_t) {
                          if (error || self->m_response.need_eof()) {
                              self->close();
                          } else if (self->m_server != nullptr) {
                              self->read();
                          }
                      });
}

void PlatformSession::startWatch(const WatchRequest &request)
{
    m_watch = request;
    if (m_watch.fromRevision == 0) {
        m_watch.fromRevision = m_server->m_store.revision() + 1;
    }
    m_server->m_watches.insert(shared_from_this());
    m_watchHeader = { http::status::ok, 11 };
    m_watchHeader.set(http::field::content_type, "application/json");
    m_watchHeader.chunked(true);
    m_serializer.emplace(m_watchHeader);
    m_isWriting = true;
    http::async_write_header(m_socket, *m_serializer,
                             [self = shared_from_this()](beast::error_code error, std::size_t) {
                                 self->m_isWriting = false;
                                 if (error) {
                                     self->close();
                                 } else {
                                     self->writeNext();
                                 }
                             });
    waitForDisconnect();
    if (m_watch.fromRevision < m_server->m_store.oldestRevision()) {
        send(m_server->m_api.watchCompacted());
        return;
    }
    send(m_server->m_api.watchCreated());
    notify();
}

void PlatformSession::notify()
{
    const auto events = m_server->m_store.eventsSince(m_watch.fromRevision, m_watch.range);
    m_watch.fromRevision = std::max(m_watch.fromRevision, m_server->m_store.revision() + 1);
    if (!events.empty()) {
        send(m_server->m_api.watchEvents(events));
    }
}

void PlatformSession::sendProgress()
{
    if (m_watch.progressNotify) {
        send(m_server->m_api.watchProgress());
    }
}

void PlatformSession::send(std::string line)
{
    if (m_isStalled) {
        return;
    }
    m_queuedLines.push_back(std::move(line));
    if (m_queuedLines.size() > MaxQueuedLines) {
        close();
    } else {
        writeNext();
    }
}

void PlatformSession::writeNext()
{
    if (m_isWriting || m_queuedLines.empty() || m_server == nullptr) {
        return;
    }
    m_isWriting = true;
    boost::asio::async_write(m_socket, http::make_chunk(boost::asio::buffer(m_queuedLines.front())),
                             [self = shared_from_this()](beast::error_code error, std::size_t) {
                                 self->m_isWriting = false;
                                 if (error) {
                                     self->close();
                                     return;
                                 }
                                 self->m_queuedLines.pop_front();
                                 self->writeNext();
                             });
}

void PlatformSession::waitForDisconnect()
{
    // The watcher sends no more data, so that the socket becomes readable only by a disconnect.
    m_socket.async_wait(boost::asio::ip::tcp::socket::wait_read,
                        [self = shared_from_this()](beast::error_code) { self->close(); });
}

} // namespace banyanwall::tools
