#pragma once

#include "common/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <string>

namespace banyanwall::process {

/// HTTP server of /health, /metrics and /status. Runs on the control thread.
class AdminServer
{
public:
    struct Pages
    {
        /// False answers /health with 503.
        std::function<bool()> isHealthy;
        /// Prometheus text.
        std::function<std::string()> metrics;
        /// JSON.
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
