#pragma once

#include "common/time.h"

#include <cstdint>
#include <optional>

namespace banyanwall::connection {

/// Passive health check of one upstream. It observes the packets of callers: a retransmission shows
/// that the caller got no response, an acknowledgement of new data shows that the upstream
/// responds. Not thread-safe.
class UpstreamHealth
{
public:
    UpstreamHealth() = default;
    /// probeJitter, from 0 to 1, makes instances and upstreams probe at different times.
    explicit UpstreamHealth(double probeJitter);

    /// The upstream responded to a caller.
    void onResponse(common::TimePoint now);
    /// A caller retransmitted an opening packet. This is no proof of a fault: a working upstream
    /// without free slots leaves opening packets unanswered as well.
    void onOpeningRetransmitted(common::TimePoint now);
    /// The upstream reset an opening packet, because it does not run or takes no flows. Counts like
    /// a retransmitted one.
    void onOpeningReset(common::TimePoint now);
    /// The upstream reset an opening packet of another instance.
    void onPeerOpeningReset(common::TimePoint now);
    /// A caller retransmitted data on an open flow. flow identifies the flow.
    void onDataRetransmitted(std::uint64_t flow, common::TimePoint now);
    /// Another instance saw a retransmitted opening packet. This counts as a probe, so the next
    /// probe of this instance is postponed.
    void onPeerOpeningRetransmitted(common::TimePoint now);
    /// A caller of another instance retransmitted data on an open flow.
    void onPeerDataRetransmitted(std::uint64_t flow, common::TimePoint now);
    /// The upstream responded to a caller of another instance at the given time.
    void onPeerResponse(common::TimePoint respondedAt);
    /// This instance reported retransmitted data to the other instances.
    void onReportSent(common::TimePoint now);

    /// The upstream does not respond. New flows go to other upstreams, except for one flow per
    /// probe interval, which tests whether the upstream responds again.
    [[nodiscard]] bool isSuspected(common::TimePoint now) const;
    /// A caller retransmitted a packet, and the upstream has not responded since; weaker than
    /// isSuspected().
    [[nodiscard]] bool isSilent(common::TimePoint now) const;

    /// When a caller first retransmitted a packet that the upstream has not responded to since.
    [[nodiscard]] common::TimePoint silentSince() const { return m_firstRetransmission; }

    /// When the upstream last responded to a caller of this instance.
    [[nodiscard]] common::TimePoint lastResponse() const { return m_lastResponse; }

    /// A caller retransmitted a packet recently and the upstream has not responded since.
    [[nodiscard]] bool hasRecentRetransmissions(common::TimePoint now) const;
    /// Several flows wait without a response, so that their callers should open new flows. Based on
    /// packets that this instance saw.
    [[nodiscard]] bool isUnresponsive(common::TimePoint now) const;
    /// As isUnresponsive(), but based on the packets that all instances of the own zone saw, and
    /// only after the other instances had time to refute the report of this instance.
    [[nodiscard]] bool isUnresponsiveToZone(common::TimePoint now) const;
    /// Time since the last response if it refutes the report of another instance; otherwise empty.
    [[nodiscard]] std::optional<common::Duration> refutation(common::TimePoint now) const;
    [[nodiscard]] bool mayOpenFlow(common::TimePoint now) const;
    /// Moves the next probe forward to within the next 400 ms.
    void expediteProbe(common::TimePoint now);
    /// A new flow goes to the upstream. If the upstream is suspected, this flow is the probe.
    void onFlowOpened(common::TimePoint now);

private:
    void recordRetransmission(common::TimePoint now);
    void clear();
    void postponeProbe(common::TimePoint now);

    /// Retransmitted data packets since the last response.
    struct DataRetransmissions
    {
        std::uint64_t lastFlow = 0;
        std::uint32_t packets = 0;
        /// How many times the flow differed from that of the previous packet; the first packet
        /// counts as one change.
        std::uint32_t flowChanges = 0;

        void add(std::uint64_t flow);
    };

    [[nodiscard]] bool isUnresponsiveBy(const DataRetransmissions &retransmissions,
                                        common::Duration minDuration, common::TimePoint now) const;

    common::TimePoint m_lastResponse;
    common::TimePoint m_firstRetransmission;
    common::TimePoint m_lastRetransmission;
    common::TimePoint m_nextProbe;
    /// When this instance first reported retransmitted data after the last response.
    common::TimePoint m_firstReport;
    double m_probeJitter = 0.0;
    /// Retransmitted packets since the last response.
    std::uint32_t m_retransmissionCount = 0;
    /// Packets that this instance saw.
    DataRetransmissions m_ownRetransmissions;
    /// Packets that all instances of the own zone saw, this one included.
    DataRetransmissions m_zoneRetransmissions;
};

} // namespace banyanwall::connection
