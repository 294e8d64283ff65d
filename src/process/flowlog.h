#pragma once

#include "connection/flowforwarder.h"
#include "connection/flowpacket.h"
#include "process/eventlog.h"
#include "process/packetformat.h"

#include <chrono>
#include <cstdint>
#include <span>
#include <string_view>

namespace banyanwall::process {

/// Logs what the packet path decides, one line a decision, at bounded rates. Not thread-safe.
class FlowLog
{
public:
    /// What the instance knew when it decided.
    struct Knowledge
    {
        common::StoreRevision revision;
        /// Time since the store confirmed the revision.
        std::chrono::milliseconds age {};
    };

    explicit FlowLog(const PacketFormat &format);

    /// An opening packet, or the first packet of a request, goes to an upstream. Other packets are
    /// no decisions and leave no line.
    void forwarded(const connection::FlowPacket &packet, const connection::ForwardPacket &forward,
                   std::span<const std::uint8_t> bytes, const Knowledge &knowledge,
                   common::TimePoint now);
    /// event is flow_reset or packet_dropped.
    void refused(std::string_view event, const connection::FlowPacket &packet,
                 common::Reason reason, std::span<const std::uint8_t> bytes,
                 const Knowledge &knowledge, common::TimePoint now);
    /// Bytes that are no packet or no message.
    void malformed(std::string_view event, common::Endpoint from, std::size_t bytes,
                   common::TimePoint now);
    /// Evidence that goes to other instances.
    void reported(const connection::PassiveHealthReport &reports, common::TimePoint now);

private:
    const PacketFormat &m_format;
    EventLog m_refusals;
    /// Decisions on flows that are served; apart, so that they do not displace refusals.
    EventLog m_served;
};

} // namespace banyanwall::process
