#pragma once

#include "connection/flowforwarder.h"
#include "connection/flowpacket.h"
#include "process/packetformat.h"
#include "process/ratelimitedlog.h"

#include <chrono>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace banyanwall::process {

/// Logs the decisions of the packet path, one line per decision, at limited rates. Not thread-safe.
class FlowLog
{
public:
    /// State of the instance's directory at a decision.
    struct DirectoryState
    {
        common::StoreRevision revision;
        /// Time since the store last confirmed the revision as current.
        std::chrono::milliseconds age {};
    };

    explicit FlowLog(const PacketFormat &format);

    /// Logs an opening packet, or the first packet of a request, that is sent to an upstream. Other
    /// packets follow an earlier decision and are not logged.
    void logForwarded(const connection::FlowPacket &packet,
                      const connection::ForwardPacket &forward, std::span<const std::uint8_t> bytes,
                      const DirectoryState &directory, common::TimePoint now);
    /// Logs a reset or dropped packet; event is flow_reset or packet_dropped.
    void logRefused(std::string_view event, const connection::FlowPacket &packet,
                    common::Reason reason, std::span<const std::uint8_t> bytes,
                    const DirectoryState &directory, common::TimePoint now);
    /// Logs a refused opening with the figures that decided.
    void logNoRoom(const connection::FlowPacket &packet, const connection::OpeningRefused &refused,
                   common::TimePoint now);
    /// Logs that a service began or ceased to refuse openings; always written.
    static void logAdmissionChange(const connection::AdmissionChange &change);
    /// Logs a datagram that could not be decoded as a packet or a peer's message.
    void logMalformed(std::string_view event, common::Endpoint from, std::size_t bytes,
                      common::TimePoint now);
    /// Logs passive health observations that are sent to other instances.
    void logReports(const connection::PassiveHealthReport &reports, common::TimePoint now);
    /// Logs upstreams that became slow, or usual again.
    void logSlowness(const std::vector<connection::SlownessChange> &changes, common::TimePoint now);

private:
    const PacketFormat &m_format;
    /// Resets, dropped packets, malformed datagrams and health reports.
    RateLimitedLog m_refusalLog;
    /// Opened flows and forwarded requests. Has a rate limit of its own, so that these events do
    /// not displace refusals.
    RateLimitedLog m_servedLog;
    RateLimitedLog m_loadLog;
};

} // namespace banyanwall::process
