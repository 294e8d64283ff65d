#pragma once

#include "common/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/fields.hpp>
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
    /// HTTP status code; 0 when no complete response arrived.
    unsigned status = 0;
    boost::beast::http::fields headers;
    std::string body;
    /// The request may have reached the server, whether or not a response arrived.
    bool mayHaveReachedServer = false;
    /// Text of the network error when no complete response arrived.
    std::string error;
};

/// One HTTP request over a connection of its own. The handler is called once, on a thread of the
/// io_context, unless the exchange is cancelled.
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
    /// Posts a JSON body and passes each chunk of the streamed response to onChunk as it arrives.
    /// chunkTimeout is the longest time between two chunks. The handler is called when the stream
    /// ends.
    void startStream(const std::string &target, std::string body,
                     std::chrono::milliseconds chunkTimeout, ChunkHandler onChunk, Handler handler);
    /// Closes the connection. No handler is called after that.
    void cancel();

private:
    void connect(boost::beast::http::verb method, const std::string &target, std::string body);
    void write();
    void readResponse();
    void readChunk();
    void finish(const std::string &error);

    boost::beast::tcp_stream m_stream;
    common::Endpoint m_server;
    std::chrono::milliseconds m_timeout {};
    boost::beast::http::request<boost::beast::http::string_body> m_request;
    boost::beast::http::response_parser<boost::beast::http::string_body> m_parser;
    boost::beast::flat_buffer m_buffer;
    bool m_mayHaveReachedServer = false;
    Handler m_handler;
    ChunkHandler m_onChunk;
};

} // namespace banyanwall::process
