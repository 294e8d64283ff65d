#pragma once

#include "common/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <string>

namespace banyanwall::process {

/// HTTP server of /health, /metrics and /status. Runs on the thread of the io_context, and calls
/// the functions of Pages there; not thread-safe.
class AdminServer
{
public:
    struct Pages
    {
        /// /health answers 200 on true and 503 on false.
        std::function<bool()> isHealthy;
        /// Body of /metrics: Prometheus text.
        std::function<std::string()> metrics;
        /// Body of /status: JSON.
        std::function<std::string()> status;
    };

    /// Throws boost::system::system_error when the endpoint cannot be bound.
    AdminServer(boost::asio::io_context &context, common::Endpoint listen, Pages pages);

private:
    class Session;

    void accept();

    boost::asio::ip::tcp::acceptor m_acceptor;
    Pages m_pages;
};

} // namespace banyanwall::process
