#pragma once

#include "connection/flowobserver.h"
#include "connection/flowpacket.h"
#include "connection/openingpolicy.h"
#include "connection/outlierdetector.h"
#include "connection/upstreamtable.h"
#include "version/directory.h"

#include <functional>
#include <optional>
#include <unordered_map>

namespace banyanwall::connection {

/// A zone and the time since one of its upstreams answered.
struct RespondingZone
{
    common::ZoneId zone;
    common::Duration age {};
};

/// An open flow whose caller repeated data.
struct WaitingFlow
{
    common::UpstreamSerial upstream;
    std::uint64_t flow = 0;

    bool operator==(const WaitingFlow &) const = default;
};

/// An upstream and the time since it answered a caller.
struct RespondingUpstream
{
    common::UpstreamSerial upstream;
    common::Duration age {};
};

/// Evidence of one instance for the other instances of its zone.
struct PassiveHealthReport
{
    /// Callers repeated opening packets to these upstreams.
    std::vector<common::UpstreamSerial> upstreams {};
    std::vector<WaitingFlow> waitingFlows {};
    /// Flows whose requests wait for much longer than usual, though they arrived.
    std::vector<WaitingFlow> overdueFlows {};
    /// Upstreams that became outliers; for the log only.
    std::vector<common::UpstreamSerial> outliers {};
    /// These upstreams were suspected and have answered.
    std::vector<common::UpstreamSerial> recovered {};
    /// No upstream of these zones answers.
    std::vector<common::ZoneId> zones {};
    /// Zones whose upstreams have answered lately.
    std::vector<RespondingZone> respondingZones {};
    /// Upstreams that have answered lately.
    std::vector<RespondingUpstream> respondingUpstreams {};

    [[nodiscard]] bool isEmpty() const
    {
        return upstreams.empty() && waitingFlows.empty() && overdueFlows.empty() && outliers.empty()
                && recovered.empty() && zones.empty() && respondingZones.empty()
                && respondingUpstreams.empty();
    }
};

/// Decides where each packet of a caller goes on a fabric whose flows carry a token. An open flow
/// needs no state here: its token names the upstream. Not thread-safe.
class FlowForwarder
{
public:
    struct Options
    {
        common::ZoneId ownZone;
        /// Different for each instance.
        std::uint64_t instance = 0;
        /// How long packets of open flows go into a withdrawn zone; empty for as long as the flows
        /// live.
        std::optional<common::Duration> openFlowsAfterWithdrawal {};
        /// Sets of the memory that tells repeated packets; a power of two.
        std::size_t observedFlowSets = 1'024;
    };

    using ResponseTimeSink = std::function<void(common::Duration)>;

    FlowForwarder(const Options &options, ResponseTimeSink onResponseTime);

    /// Takes over entries of the directory that changed.
    void update(const version::Directory &directory, const std::vector<version::EntryKey> &changed,
                common::TimePoint now);

    void setPosition(const FleetPosition &position, common::TimePoint now);

    /// When the store last confirmed that the directory is current.
    void setConfirmedAt(common::TimePoint time);

    PacketVerdict handle(const FlowPacket &packet, common::TimePoint now);

    /// Looks for requests that wait too long and for the upstreams behind which they do; called
    /// every 100 ms or more often.
    void findOutliers(common::TimePoint now);

    /// Packets whose flows are to be reset now: their callers wait in vain and repeat more and more
    /// rarely, and the verdict on their upstream has come since they last did.
    [[nodiscard]] std::vector<FlowPacket> takeFlowsToReset(common::TimePoint now);

    /// What this instance found since the last call, for other instances of its zone.
    [[nodiscard]] PassiveHealthReport takeHealthReport(common::TimePoint now);
    /// Takes the evidence of another instance and returns the objections to it.
    [[nodiscard]] PassiveHealthReport onPeerHealthReport(const PassiveHealthReport &report,
                                                         common::TimePoint now);

    /// Forgets what is too old to matter; called about once a second.
    void removeExpired(common::TimePoint now);

    [[nodiscard]] const UpstreamTable &upstreams() const { return m_upstreams; }

    [[nodiscard]] UpstreamTable &upstreams() { return m_upstreams; }

private:
    struct Route
    {
        version::RouteRecord record;
        std::uint32_t totalWeight = 0;
    };

    [[nodiscard]] bool isPastWithdrawalLimit(const FlowPacket &packet, common::TimePoint now);
    PacketVerdict open(const FlowPacket &packet, const FlowObservation &observation,
                       common::TimePoint now);
    PacketVerdict forward(const FlowPacket &packet, const FlowObservation &observation,
                          common::TimePoint now);
    PacketVerdict handleUnknown(const FlowPacket &packet, common::TimePoint now);
    void recordObservation(const FlowPacket &packet, const FlowObservation &observation,
                           common::TimePoint now);
    void recordResponse(TrackedUpstream &upstream, common::TimePoint now);
    /// The upstream was silent for a while and answers again.
    void recordRecovery(TrackedUpstream &upstream, common::TimePoint now);
    void recordRetransmission(TrackedUpstream &upstream, const FlowPacket &packet,
                              common::TimePoint now);
    void recordWaitingFlow(const TrackedUpstream &upstream, const FlowPacket &packet,
                           common::TimePoint now);
    /// Notes flows of a service whose requests are overdue.
    void findOverdueFlows(common::TimePoint now);
    [[nodiscard]] bool mayRetryRequest(const FlowPacket &packet) const;
    [[nodiscard]] TrackedUpstream *findBySerial(common::UpstreamSerial serial);
    void applyPeerObservations(const PassiveHealthReport &report, common::TimePoint now);
    void refuteUpstreams(const PassiveHealthReport &report, PassiveHealthReport &refutations,
                         common::TimePoint now);
    void refuteZones(const PassiveHealthReport &report, PassiveHealthReport &refutations,
                     common::TimePoint now);
    void recordZoneRetransmission(const TrackedUpstream &upstream, common::TimePoint now);
    /// Whether a caller does better to open a new flow than to wait for this one.
    [[nodiscard]] bool shouldReset(TrackedUpstream &upstream, bool isRetransmission,
                                   common::TimePoint now);
    [[nodiscard]] bool isDirectoryCurrent(common::TimePoint now) const;
    [[nodiscard]] const Route *routeOf(const FlowPacket &packet) const;
    [[nodiscard]] static common::ServiceId serviceOf(const Route &route, std::uint64_t flowHash);
    void updateRoutes(const version::RulesRecord &rules);

    Options m_options;
    ResponseTimeSink m_onResponseTime;
    UpstreamTable m_upstreams;
    OpeningPolicy m_policy;
    OutlierDetector m_outliers;
    common::TimePoint m_nextOutlierScan;
    FlowObserver m_observer;
    std::unordered_map<common::Endpoint, Route> m_routes;
    /// When packets with a token that no upstream has were first seen.
    std::unordered_map<common::FlowToken, common::TimePoint> m_unknownTokens;
    common::TimePoint m_confirmedAt;
    /// Since when the store has confirmed the directory without a gap.
    common::TimePoint m_confirmedSince;
    /// When an upstream was last assumed to have started again.
    std::optional<common::TimePoint> m_coldAssumedAt;
    /// When any upstream last answered a caller.
    common::TimePoint m_lastResponseAt;
    PassiveHealthReport m_report;

    struct Retransmission
    {
        FlowPacket packet;
        common::TimePoint at;
    };

    /// Newest repeated data packet of each flow that waits, if its request may run again.
    std::vector<Retransmission> m_retransmissions;
};

} // namespace banyanwall::connection
