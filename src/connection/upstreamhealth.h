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
    explicit UpstreamHealth(double probeSpread);

    /// The upstream has answered a caller.
    void onHeard(common::TimePoint now);
    /// A caller repeated the packet that opens a flow. A live upstream without room does not answer
    /// it either.
    void onOpeningRepeated(common::TimePoint now);
    /// A caller repeated data on an open flow. flow tells flows apart.
    void onDataRepeated(std::uint64_t flow, common::TimePoint now);
    /// Another instance saw a repeated packet; postpones the next probe, which that one has made.
    void onPeerReport(common::TimePoint now);
    /// A caller of another instance repeated data on an open flow.
    void onPeerDataRepeated(std::uint64_t flow, common::TimePoint now);
    /// Another instance heard the upstream at this time.
    void onPeerHeard(common::TimePoint heardAt);
    /// Other instances are told of data repeated here.
    void onReported(common::TimePoint now);

    /// Nothing comes back: new flows go elsewhere, but for one flow after each probe interval,
    /// which tells whether the upstream is back.
    [[nodiscard]] bool isSuspected(common::TimePoint now) const;
    /// At least one caller waits in vain.
    [[nodiscard]] bool hasEvidence(common::TimePoint now) const;
    /// Several flows wait in vain: their callers do better to open new flows.
    [[nodiscard]] bool isSilent(common::TimePoint now) const;
    /// The same by the evidence of all instances of the zone, none of which has heard the upstream
    /// and objected.
    [[nodiscard]] bool isUncontestedSilent(common::TimePoint now) const;
    /// Time since the upstream was heard, when a report of another instance is to be answered with
    /// it.
    [[nodiscard]] std::optional<common::Duration> objection(common::TimePoint now) const;
    [[nodiscard]] bool mayOpen(common::TimePoint now) const;
    /// The next probe need not wait for its time.
    void expediteProbe(common::TimePoint now);
    /// A new flow goes to the upstream; spends the probe when it is suspected.
    void onOpened(common::TimePoint now);

private:
    void noteRepeat(common::TimePoint now);
    void clear();
    void postponeProbe(common::TimePoint now);

    /// Repeated data packets since the upstream was last heard.
    struct Waiting
    {
        std::uint64_t lastFlow = 0;
        std::uint32_t repeats = 0;
        /// Changes of flow among them.
        std::uint32_t flows = 0;

        void add(std::uint64_t flow);
    };

    [[nodiscard]] bool isSilentFor(const Waiting &waiting, common::Duration time,
                                   common::TimePoint now) const;

    common::TimePoint m_lastHeard;
    common::TimePoint m_firstRepeated;
    common::TimePoint m_lastRepeated;
    common::TimePoint m_nextProbe;
    /// When data repeated here was first reported.
    common::TimePoint m_firstReport;
    double m_probeSpread = 0.0;
    /// Repeated packets since the upstream was last heard.
    std::uint32_t m_repeats = 0;
    /// Seen by this instance, and by all instances of the zone.
    Waiting m_ownWaiting;
    Waiting m_allWaiting;
};

} // namespace banyanwall::connection
