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
    /// Own endpoint that plays the upstream.
    common::Endpoint upstream;
    common::Endpoint serviceAddress;
    std::uint32_t flows = 1000;
    /// Packets on the way at the same time.
    std::uint32_t window = 64;
    std::size_t payloadBytes = 64;
    /// The target forwards datagrams unchanged; the upstream side answers in kind.
    bool bare = false;
};

/// Plays fabric, callers and upstream around one relay: keeps a window of feed packets on the way
/// and counts the answers that come back.
class RelayLoad
{
public:
    RelayLoad(boost::asio::io_context &context, const RelayLoadSettings &settings);

    /// Opens every flow once more that is not open yet. Returns the number of missing ones.
    std::uint32_t openMissing();
    /// Sends a full window of packets. Also replaces packets that were lost.
    void fillWindow();

    /// Ends the sending; answers on the way are still counted.
    void stop() { m_running = false; }

    [[nodiscard]] std::uint64_t answers() const { return m_answers; }

private:
    void onUpstreamPacket(std::string_view bytes, common::Endpoint sender);
    void onAnswer(std::string_view bytes);
    void sendNext();
    [[nodiscard]] std::string frameOf(std::uint64_t flowId, bool open) const;

    RelayLoadSettings m_settings;
    std::string m_payload;
    std::vector<bool> m_open;
    std::uint64_t m_next = 0;
    std::uint64_t m_answers = 0;
    bool m_running = true;
    tools::UdpPort m_fabricPort;
    tools::UdpPort m_upstreamPort;
};

} // namespace banyanwall::benchmarks
