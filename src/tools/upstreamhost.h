#pragma once

#include "tools/httpport.h"
#include "tools/udpport.h"
#include "tools/upstreammodel.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <string>

namespace banyanwall::tools {

/// Runs many upstreams on their UDP endpoints in one process, with one control port.
///
/// Control targets: /counters, /runs, and with ?upstream=NAME: /cold, /stop, /restart, /drain,
/// /watch (log new work), /silence, /lie (claims to be healthy), /sick (claims to be unhealthy),
/// /truth.
class UpstreamHost
{
public:
    UpstreamHost(boost::asio::io_context &context, std::uint64_t seed);

    /// Throws boost::system::system_error when the endpoint is in use.
    void add(UpstreamSettings settings, common::Endpoint address);
    void start();
    [[nodiscard]] HttpAnswer control(const std::string &target);
    /// One line of key=value pairs.
    [[nodiscard]] std::string report() const;

private:
    struct Hosted
    {
        common::Endpoint address;
        UpstreamModel model;
        std::unique_ptr<UdpPort> port;
    };

    void listen(Hosted &hosted);
    void tick();
    static void send(Hosted &hosted, const std::vector<UpstreamModel::Outgoing> &outgoing);
    [[nodiscard]] bool apply(const std::string &command, Hosted &hosted);
    [[nodiscard]] std::string countersJson() const;

    boost::asio::io_context &m_context;
    boost::asio::steady_timer m_timer;
    std::uint64_t m_seed;
    RunLedger m_ledger;
    std::map<std::string, std::unique_ptr<Hosted>> m_upstreams;
};

} // namespace banyanwall::tools
