#pragma once

#include "common/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace banyanwall::process {

/// How an HTTP exchange ended.
struct HttpResult
{
    /// 0 when no whole answer arrived.
    unsigned status = 0;
    std::string body;
    /// The request may have reached the server, whatever happened to the answer.
    bool sent = false;
    /// Text of the network error when there is no answer.
    std::string error;
};

/// One HTTP request over its own connection. The handler is called once, from the io_context,
/// unless the exchange is cancelled.
class HttpExchange : public std::enable_shared_from_this<HttpExchange>
{
public:
    using Handler = std::function<void(HttpResult)>;
    using ChunkHandler = std::function<void(std::string)>;

    HttpExchange(boost::asio::io_context &context, common::Endpoint server);

    /// Posts a JSON body. timeout covers the whole exchange.
    void start(const std::string &target, std::string body, std::chrono::milliseconds timeout,
               Handler handler);
    void startGet(const std::string &target, std::chrono::milliseconds timeout, Handler handler);
    /// Posts a JSON body whose answer is a stream: each part goes to onChunk as it arrives. silence
    /// is the longest time between two parts. The handler is called when the stream ends.
    void startStream(const std::string &target, std::string body, std::chrono::milliseconds silence,
                     ChunkHandler onChunk, Handler handler);
    /// Closes the connection; no handler is called any more.
    void cancel();

private:
    void connect(boost::beast::http::verb method, const std::string &target, std::string body);
    void write();
    void readAnswer();
    void readChunk();
    void finish(const std::string &error);

    boost::beast::tcp_stream m_stream;
    common::Endpoint m_server;
    std::chrono::milliseconds m_timeout {};
    boost::beast::http::request<boost::beast::http::string_body> m_request;
    boost::beast::http::response_parser<boost::beast::http::string_body> m_parser;
    boost::beast::flat_buffer m_buffer;
    bool m_sent = false;
    Handler m_handler;
    ChunkHandler m_onChunk;
};

} // namespace banyanwall::process
