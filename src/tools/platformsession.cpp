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

// Values are at most 1 MB, in base64 and with room for a transaction around them.
constexpr std::uint64_t MaximumRequestBytes = 2ULL * 1024 * 1024;
// A watcher that is this far behind is disconnected and resumes by revision.
constexpr std::size_t MaximumQueuedLines = 10'000;

} // namespace

PlatformSession::PlatformSession(PlatformServer &server, boost::asio::ip::tcp::socket socket)
    : m_server(&server)
    , m_socket(std::move(socket))
    , m_delay(m_socket.get_executor())
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
    m_delay.cancel();
    beast::error_code ignored;
    // NOLINTNEXTLINE(bugprone-unused-return-value): the error is in ignored.
    m_socket.close(ignored);
}

void PlatformSession::read()
{
    m_parser.emplace();
    m_parser->body_limit(MaximumRequestBytes);
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
        const auto ruling = m_server->rule(isGet, target, request.body());
        if (ruling.lost) {
            close();
        } else if (!watch || ruling.answer.status != 200) {
            answer(watch ? ruling.answer : ApiAnswer { 400, "{\"error\":\"bad watch request\"}" });
        } else {
            startWatch(*watch);
        }
        return;
    }
    const auto ruling = m_server->rule(isGet, target, request.body());
    m_delay.expires_after(ruling.delay);
    m_delay.async_wait([self = shared_from_this(), ruling](const beast::error_code &error) {
        if (error || self->m_server == nullptr) {
            return;
        }
        if (ruling.lost) {
            self->close();
        } else {
            self->answer(ruling.answer);
        }
    });
}

void PlatformSession::answer(const ApiAnswer &answer)
{
    m_answer = { static_cast<http::status>(answer.status), m_parser->get().version() };
    m_answer.set(http::field::content_type, "application/json");
    m_answer.keep_alive(m_parser->get().keep_alive());
    m_answer.body() = answer.body;
    m_answer.prepare_payload();
    http::async_write(m_socket, m_answer,
                      [self = shared_from_this()](beast::error_code error, std::size_t) {
                          if (error || self->m_answer.need_eof()) {
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
    m_writing = true;
    http::async_write_header(m_socket, *m_serializer,
                             [self = shared_from_this()](beast::error_code error, std::size_t) {
                                 self->m_writing = false;
                                 if (error) {
                                     self->close();
                                 } else {
                                     self->writeNext();
                                 }
                             });
    waitForEnd();
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
    if (m_silent) {
        return;
    }
    m_lines.push_back(std::move(line));
    if (m_lines.size() > MaximumQueuedLines) {
        close();
    } else {
        writeNext();
    }
}

void PlatformSession::writeNext()
{
    if (m_writing || m_lines.empty() || m_server == nullptr) {
        return;
    }
    m_writing = true;
    boost::asio::async_write(m_socket, http::make_chunk(boost::asio::buffer(m_lines.front())),
                             [self = shared_from_this()](beast::error_code error, std::size_t) {
                                 self->m_writing = false;
                                 if (error) {
                                     self->close();
                                     return;
                                 }
                                 self->m_lines.pop_front();
                                 self->writeNext();
                             });
}

void PlatformSession::waitForEnd()
{
    // A watcher sends nothing more; the read ends when it disconnects.
    m_socket.async_wait(boost::asio::ip::tcp::socket::wait_read,
                        [self = shared_from_this()](beast::error_code) { self->close(); });
}

} // namespace banyanwall::tools
