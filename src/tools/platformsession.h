#pragma once

#include "tools/platformserver.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace banyanwall::tools {

/// One connection to the stand-in: either a sequence of calls or one watch.
class PlatformSession : public std::enable_shared_from_this<PlatformSession>
{
public:
    PlatformSession(PlatformServer &server, boost::asio::ip::tcp::socket socket);

    void start();
    /// Closes the connection and removes the session from the server.
    void close();
    /// Sends the watcher the events since the last call.
    void notify();
    /// Sends a progress notification if the watcher requested them.
    void sendProgress();

    /// Sends nothing more on the connection, which stays open.
    void stall() { m_isStalled = true; }

private:
    void read();
    void onRequest();
    void respond(const ApiResponse &response);
    void startWatch(const WatchRequest &request);
    void send(std::string line);
    void writeNext();
    void waitForDisconnect();

    PlatformServer *m_server;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_delayTimer;
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> m_parser;
    boost::beast::http::response<boost::beast::http::string_body> m_response;
    boost::beast::http::response<boost::beast::http::empty_body> m_watchHeader;
    std::optional<boost::beast::http::response_serializer<boost::beast::http::empty_body>>
            m_serializer;
    WatchRequest m_watch;
    bool m_isStalled = false;
    bool m_isWriting = false;
    std::deque<std::string> m_queuedLines;
};

} // namespace banyanwall::tools
