#pragma once

#include "common/time.h"

#include <cstdint>
#include <optional>

namespace banyanwall::connection {

/// Evidence whether one upstream answers. It comes from packets of callers: a repeated packet shows
/// that nothing came back, an acknowledgement of new data shows that the upstream lives. Not
/// thread-safe.
class UpstreamHealth
{
public:
    UpstreamHealth() = default;
    /// probeSpread from 0 to 1 makes instances and upstreams probe at different times.
    explicit UpstreamHealth(double probeJitter);

    /// The upstream has answered a caller.
    void onResponse(common::TimePoint now);
    /// A caller repeated the packet that opens a flow. A live upstream without room does not answer
    /// it either.
    void onOpeningRetransmitted(common::TimePoint now);
    /// A caller repeated data on an open flow. flow tells flows apart.
    void onDataRetransmitted(std::uint64_t flow, common::TimePoint now);
    /// Another instance saw a repeated packet; postpones the next probe, which that one has made.
    void onPeerOpeningRetransmitted(common::TimePoint now);
    /// A caller of another instance repeated data on an open flow.
    void onPeerDataRetransmitted(std::uint64_t flow, common::TimePoint now);
    /// Another instance heard the upstream at this time.
    void onPeerResponse(common::TimePoint respondedAt);
    /// Other instances are told of data repeated here.
    void onReportSent(common::TimePoint now);

    /// Nothing comes back: new flows go elsewhere, but for one flow after each probe interval,
    /// which tells whether the upstream is back.
    [[nodiscard]] bool isSuspected(common::TimePoint now) const;
    /// At least one caller waits in vain.
    [[nodiscard]] bool hasRecentRetransmissions(common::TimePoint now) const;
    /// Several flows wait in vain: their callers do better to open new flows.
    [[nodiscard]] bool isUnresponsive(common::TimePoint now) const;
    /// The same by the evidence of all instances of the zone, none of which has heard the upstream
    /// and objected.
    [[nodiscard]] bool isUnresponsiveUnrefuted(common::TimePoint now) const;
    /// Time since the upstream was heard, when a report of another instance is to be answered with
    /// it.
    [[nodiscard]] std::optional<common::Duration> refutation(common::TimePoint now) const;
    [[nodiscard]] bool mayOpenFlow(common::TimePoint now) const;
    /// The next probe need not wait for its time.
    void expediteProbe(common::TimePoint now);
    /// A new flow goes to the upstream; spends the probe when it is suspected.
    void onFlowOpened(common::TimePoint now);

private:
    void recordRetransmission(common::TimePoint now);
    void clear();
    void postponeProbe(common::TimePoint now);

    /// Repeated data packets since the upstream was last heard.
    struct DataRetransmissions
    {
        std::uint64_t lastFlow = 0;
        std::uint32_t packets = 0;
        /// Changes of flow among them.
        std::uint32_t flowChanges = 0;

        void add(std::uint64_t flow);
    };

    [[nodiscard]] bool isUnresponsiveBy(const DataRetransmissions &retransmissions,
                                        common::Duration minDuration, common::TimePoint now) const;

    common::TimePoint m_lastResponse;
    common::TimePoint m_firstRetransmission;
    common::TimePoint m_lastRetransmission;
    common::TimePoint m_nextProbe;
    /// When data repeated here was first reported.
    common::TimePoint m_firstReport;
    double m_probeJitter = 0.0;
    /// Repeated packets since the upstream was last heard.
    std::uint32_t m_retransmissionCount = 0;
    /// Seen by this instance, and by all instances of the zone.
    DataRetransmissions m_ownRetransmissions;
    DataRetransmissions m_zoneRetransmissions;
};

} // namespace banyanwall::connection
