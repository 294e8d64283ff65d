#pragma once

#include "common/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace banyanwall::tests {

/// HTTP server on a free loopback port that serves one request per connection. The handler gets the
/// body and a function that sends the response, at once or later.
class HttpResponder
{
public:
    using Reply = std::function<void(unsigned status, std::string body)>;
    /// Fields that the next responses get in addition, by name.
    using Headers = std::map<std::string, std::string>;
    using Handler = std::function<void(const std::string &body, const Reply &reply)>;

    HttpResponder(boost::asio::io_context &context, Handler handler)
        : m_acceptor(context, { boost::asio::ip::address_v4::loopback(), 0 })
        , m_handler(std::move(handler))
    {
        accept();
    }

    void setHeaders(Headers headers) { m_headers = std::move(headers); }

    [[nodiscard]] common::Endpoint address() const
    {
        return { m_acceptor.local_endpoint().address().to_v4().to_uint(),
                 m_acceptor.local_endpoint().port() };
    }

private:
    struct Connection
    {
        explicit Connection(boost::asio::ip::tcp::socket accepted)
            : socket(std::move(accepted))
        { }

        boost::asio::ip::tcp::socket socket;
        boost::beast::flat_buffer buffer;
        boost::beast::http::request<boost::beast::http::string_body> request;
        boost::beast::http::response<boost::beast::http::string_body> response;
    };

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code error, auto socket) {
            if (error) {
                return;
            }
            serve(std::make_shared<Connection>(std::move(socket)));
            accept();
        });
    }

    void serve(const std::shared_ptr<Connection> &connection)
    {
        boost::beast::http::async_read(
                connection->socket, connection->buffer, connection->request,
                [this, connection](boost::system::error_code error, std::size_t) {
                    if (!error) {
                        m_handler(connection->request.body(),
                                  [this, connection](unsigned status, std::string body) {
                                      sendResponse(connection, status, std::move(body));
                                  });
                    }
                });
    }

    void sendResponse(const std::shared_ptr<Connection> &connection, unsigned status,
                      std::string body) const
    {
        for (const auto &[name, value] : m_headers) {
            connection->response.set(name, value);
        }
        connection->response.result(status);
        connection->response.body() = std::move(body);
        connection->response.prepare_payload();
        boost::beast::http::async_write(connection->socket, connection->response,
                                        [connection](boost::system::error_code, std::size_t) {});
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    Handler m_handler;
    Headers m_headers;
};

} // namespace banyanwall::tests
