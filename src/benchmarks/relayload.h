#pragma once

#include "common/endpoint.h"
#include "tools/udpport.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace banyanwall::benchmarks {

struct RelayLoadSettings
{
    /// Fabric side of the relay under test.
    common::Endpoint target;
    /// Own endpoint that receives the answers.
    common::Endpoint fabric;
    /// Own endpoint of the simulated upstream.
    common::Endpoint upstream;
    common::Endpoint serviceAddress;
    std::uint32_t flows = 1000;
    /// Number of packets in flight.
    std::uint32_t window = 64;
    std::size_t payloadBytes = 64;
    /// The relay under test forwards datagrams unchanged (baseline), so that the upstream side
    /// answers with the same bytes.
    bool isBare = false;
};

/// Simulates the fabric, callers and the upstream of one relay. Keeps a window of packets in flight
/// and counts the answers that arrive.
class RelayLoad
{
public:
    RelayLoad(boost::asio::io_context &context, const RelayLoadSettings &settings);

    /// Sends an opening packet for each flow that is not open yet, up to a window of them. Returns
    /// the number of packets sent.
    std::uint32_t openMissing();
    /// Sends a full window of packets. Also called to replace lost packets.
    void fillWindow();

    /// Stops sending; answers in flight are still counted.
    void stop() { m_isRunning = false; }

    [[nodiscard]] std::uint64_t answers() const { return m_answers; }

private:
    void onUpstreamPacket(std::string_view bytes, common::Endpoint sender);
    void onAnswer(std::string_view bytes);
    void sendNext();
    [[nodiscard]] std::string frameOf(std::uint64_t flowId, bool isOpening) const;

    RelayLoadSettings m_settings;
    std::string m_payload;
    std::vector<bool> m_open;
    std::uint64_t m_next = 0;
    std::uint64_t m_answers = 0;
    bool m_isRunning = true;
    tools::UdpPort m_fabricPort;
    tools::UdpPort m_upstreamPort;
};

} // namespace banyanwall::benchmarks
