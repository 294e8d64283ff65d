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

/// Runs many upstreams in one process, each on its own UDP endpoint, with one control port.
///
/// Control targets: /counters, /runs, and with ?upstream=NAME
/// - /cold: turns cold without a new incarnation
/// - /stop: closes the socket and drops all flows and requests
/// - /restart: starts cold under a new incarnation
/// - /drain: refuses new flows and requests
/// - /watch: logs each new flow and request
/// - /silence: stops answering the packets of the existing flows
/// - /lie: health reports always claim that the upstream is healthy and idle
/// - /sick: health reports always claim that the upstream is unhealthy
/// - /truth: health reports contain the actual state again
class UpstreamHost
{
public:
    UpstreamHost(boost::asio::io_context &context, std::uint64_t seed);

    /// Throws boost::system::system_error when the endpoint is in use.
    void add(UpstreamSettings settings, common::Endpoint address);
    void start();
    [[nodiscard]] HttpResponse control(const std::string &target);
    /// Counters of all upstreams as one line of key=value pairs.
    [[nodiscard]] std::string report() const;

private:
    struct HostedUpstream
    {
        common::Endpoint address;
        UpstreamModel model;
        std::unique_ptr<UdpPort> port;
    };

    void listen(HostedUpstream &hosted);
    void tick();
    static void send(HostedUpstream &hosted, const std::vector<UpstreamModel::Outgoing> &outgoing);
    [[nodiscard]] bool applyCommand(const std::string &command, HostedUpstream &hosted);
    [[nodiscard]] std::string countersJson() const;

    boost::asio::io_context &m_context;
    boost::asio::steady_timer m_timer;
    std::uint64_t m_seed;
    RunLedger m_ledger;
    std::map<std::string, std::unique_ptr<HostedUpstream>> m_upstreams;
};

} // namespace banyanwall::tools
