#pragma once

#include "common/endpoint.h"
#include "tools/faultinjector.h"
#include "tools/udpport.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace banyanwall::tools {

/// Stand-in for the fabric: wraps each caller datagram in a FabricFrame and sends the frame to a
/// random instance; unwraps the frames of the instances and sends their payload to the callers. The
/// FaultInjector drops, duplicates and delays packets in both directions.
class FabricRelay
{
public:
    struct Counters
    {
        std::uint64_t fromCallers = 0;
        std::uint64_t toInstances = 0;
        std::uint64_t fromInstances = 0;
        std::uint64_t toCallers = 0;
        /// Caller datagrams dropped because no instance was known.
        std::uint64_t noInstance = 0;
        std::uint64_t malformedReplies = 0;
        /// Frames of instances that name a service which the fabric does not serve.
        std::uint64_t unknownService = 0;
        std::uint64_t sendFailures = 0;
    };

    /// services: addresses to which the callers send. reply: address to which the instances send
    /// their answers, and from which the frames to the instances are sent.
    FabricRelay(boost::asio::io_context &context, const std::vector<common::Endpoint> &services,
                common::Endpoint reply, FaultRates rates, std::uint64_t seed);

    /// Replaces the list of fabric endpoints of the instances.
    void setInstances(std::vector<common::Endpoint> instances);

    /// Counters as one line of key=value pairs.
    [[nodiscard]] std::string report() const;

private:
    void onCallerDatagram(std::string_view bytes, common::Endpoint caller,
                          common::Endpoint service);
    void onReply(std::string_view bytes);
    void sendWithFaults(UdpPort &port, const std::string &bytes, common::Endpoint receiver,
                        std::uint64_t &counter);
    void sendNow(UdpPort &port, const std::string &bytes, common::Endpoint receiver,
                 std::uint64_t &counter);

    boost::asio::io_context &m_context;
    FaultInjector m_faults;
    std::vector<common::Endpoint> m_instances;
    std::map<common::Endpoint, std::unique_ptr<UdpPort>> m_services;
    std::unique_ptr<UdpPort> m_reply;
    Counters m_counters;
};

/// Fabric endpoints of the instances in the platform's list ({"instances": [...]}), without the
/// instances that are leaving. Malformed entries are left out; a malformed list gives no endpoints.
[[nodiscard]] std::vector<common::Endpoint> fabricEndpoints(std::string_view json);

} // namespace banyanwall::tools
