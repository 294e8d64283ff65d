#pragma once

#include "connection/admissiongate.h"
#include "connection/flowobserver.h"
#include "connection/flowpacket.h"
#include "connection/isolationdetector.h"
#include "connection/loadpicture.h"
#include "connection/openingpolicy.h"
#include "connection/outlierdetector.h"
#include "connection/upstreamchoice.h"
#include "connection/upstreamtable.h"
#include "version/directory.h"

#include <functional>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace banyanwall::connection {

/// A zone and the time since the last response of one of its upstreams.
struct RespondingZone
{
    common::ZoneId zone;
    common::Duration age {};
};

/// An open flow whose caller waits for a response; flow is a hash that identifies the flow.
struct WaitingFlow
{
    common::UpstreamSerial upstream;
    std::uint64_t flow = 0;

    bool operator==(const WaitingFlow &) const = default;
};

/// An upstream and the time since its last response to a caller.
struct RespondingUpstream
{
    common::UpstreamSerial upstream;
    common::Duration age {};
};

/// Passive health observations that one instance sends to the other instances of its zone.
struct PassiveHealthReport
{
    /// Upstreams to which callers retransmitted opening packets; one entry for each packet.
    std::vector<common::UpstreamSerial> upstreams {};
    /// Upstreams that have reset an opening packet; one entry for each packet.
    std::vector<common::UpstreamSerial> unopened {};
    /// Flows whose callers retransmitted data; each flow once.
    std::vector<WaitingFlow> waitingFlows {};
    /// Flows whose upstream received the request but has not answered for a multiple of the mean
    /// response time of the service.
    std::vector<WaitingFlow> overdueFlows {};
    /// Upstreams that became outliers; used for the log only.
    std::vector<common::UpstreamSerial> outliers {};
    /// Upstreams that were suspected and have responded.
    std::vector<common::UpstreamSerial> recovered {};
    /// Zones none of whose upstreams responds.
    std::vector<common::ZoneId> zones {};
    /// Refutations: zones of which an upstream responded recently.
    std::vector<RespondingZone> respondingZones {};
    /// Refutations: upstreams that responded recently.
    std::vector<RespondingUpstream> respondingUpstreams {};
    /// Upstreams that may have restarted.
    std::vector<AssumedRestart> assumedRestarts {};

    /// Whether the report holds nothing for other instances.
    [[nodiscard]] bool isEmpty() const
    {
        return upstreams.empty() && unopened.empty() && waitingFlows.empty() && overdueFlows.empty()
                && recovered.empty() && zones.empty() && respondingZones.empty()
                && respondingUpstreams.empty() && assumedRestarts.empty();
    }
};

/// Decides where each packet of a caller goes on a fabric whose flows carry a token. Forwarding a
/// packet of an open flow needs no state of the flow, because its token names the upstream. Not
/// thread-safe.
class FlowForwarder
{
public:
    struct Options
    {
        common::ZoneId ownZone;
        /// Different for each instance.
        std::uint64_t instance = 0;
        /// How long packets of open flows are forwarded into a zone after its withdrawal; without a
        /// value there is no limit.
        std::optional<common::Duration> openFlowsAfterWithdrawal {};
        /// Number of sets of four flows in the table that detects retransmissions; a power of two.
        std::size_t observedFlowSets = 1'024;
        UpstreamChoice choice = UpstreamChoice::ByContract;
        /// Openings are refused when room is short, and flows of a route with several services go
        /// to those with room. Only together with the choice by contract.
        bool refusesOpenings = false;
    };

    using ResponseTimeSink = std::function<void(common::Duration)>;

    FlowForwarder(const Options &options, ResponseTimeSink onResponseTime);

    /// Applies changed entries of the directory.
    void update(const version::Directory &directory, const std::vector<version::EntryKey> &changed,
                common::TimePoint now);

    void setPosition(const FleetPosition &position, common::TimePoint now);

    /// Sets the time when the store last confirmed the directory as current.
    void setConfirmedAt(common::TimePoint time);

    PacketVerdict handle(const FlowPacket &packet, common::TimePoint now);

    /// Updates the shares of admitted openings by the demand of the own zone's callers; called
    /// every 100 ms. wallTime is that of now.
    void updateAdmission(const std::vector<ServiceDemand> &demands, common::WallTime wallTime,
                         common::TimePoint now);

    [[nodiscard]] const OpeningAdmission &admission() const { return m_gate.admission(); }

    /// Services that began or ceased to refuse openings since the last call.
    [[nodiscard]] std::vector<AdmissionChange> takeAdmissionChanges()
    {
        return m_gate.admission().takeChanges();
    }

    /// The last opening that was reset for want of room.
    [[nodiscard]] const OpeningRefused &lastRefusal() const { return m_lastRefusal; }

    /// Sets the time up to which all packets that had arrived have been handled. A busy instance
    /// reads packets late.
    void setPacketsReadUpTo(common::TimePoint time) { m_packetsReadUpTo = time; }

    /// Finds opening packets that were reset, overdue requests and upstreams that are outliers;
    /// called every 100 ms or more often.
    void findOutliers(common::TimePoint now);

    /// Finds out whether this instance is isolated; called every 100 ms or more often.
    void findIsolation(const ZoneContact &contact, common::TimePoint now)
    {
        m_isolation.update(m_upstreams, contact, now);
    }

    /// Whether this instance reaches no upstream that may take flows, so that the fabric had better
    /// send its packets to instances of other zones.
    [[nodiscard]] bool isIsolated() const { return m_isolation.isIsolated(); }

    /// Returns the last packet of each flow that is to be reset now. Callers wait longer before
    /// each further retransmission, so a flow is reset as soon as its upstream is found
    /// unresponsive and not only at the caller's next retransmission.
    [[nodiscard]] std::vector<FlowPacket> takeFlowsToReset(common::TimePoint now);

    /// Returns the observations since the last call, for the other instances of the zone.
    [[nodiscard]] PassiveHealthReport takeHealthReport(common::TimePoint now);
    /// Returns the upstreams that this instance assumes to have restarted, for an instance that
    /// asks for the directory.
    [[nodiscard]] PassiveHealthReport restartReport(common::TimePoint now);

    /// Returns the restarts that reports of other instances made known since the last call.
    [[nodiscard]] std::vector<AssumedRestart> takeLearnedRestarts()
    {
        return std::exchange(m_learnedRestarts, {});
    }

    /// Applies the report of another instance and returns refutations of it, to be sent back.
    [[nodiscard]] PassiveHealthReport onPeerHealthReport(const PassiveHealthReport &report,
                                                         common::TimePoint now);

    /// Updates the load of all upstreams; called every 100 ms.
    void refreshLoad(common::TimePoint now);

    /// Returns a report of the load for the other instances of the zone, when one is due.
    [[nodiscard]] std::optional<LoadReport> takeLoadReport(common::TimePoint now)
    {
        return m_load.takeReport(now);
    }

    /// sender identifies the instance that sent the report; zero when it is not known.
    void onPeerLoadReport(const LoadReport &report, common::TimePoint now, std::uint64_t sender = 0)
    {
        m_load.onPeerReport(report, now, sender);
    }

    [[nodiscard]] const LoadPicture &load() const { return m_load; }

    [[nodiscard]] LoadPicture &load() { return m_load; }

    /// Removes expired state; called about once a second.
    void removeExpired(common::TimePoint now);

    [[nodiscard]] const UpstreamTable &upstreams() const { return m_upstreams; }

    [[nodiscard]] UpstreamTable &upstreams() { return m_upstreams; }

private:
    struct Route
    {
        version::RouteRecord record;
        /// Time that requests usually take, of the last update of admission; zero while unknown.
        common::Duration usualTime {};
    };

    [[nodiscard]] bool usesAdmission() const
    {
        return m_options.refusesOpenings && m_options.choice == UpstreamChoice::ByContract;
    }

    [[nodiscard]] bool isPastWithdrawalLimit(const FlowPacket &packet, common::TimePoint now);
    PacketVerdict open(const FlowPacket &packet, const FlowObservation &observation,
                       common::TimePoint now);
    PacketVerdict forward(const FlowPacket &packet, const FlowObservation &observation,
                          common::TimePoint now);
    /// Service to which the opening goes, or why it is refused.
    [[nodiscard]] AdmissionGate::Verdict admit(const Route &route, const FlowPacket &packet,
                                               const FlowObservation &observation,
                                               common::TimePoint now);
    void updateUsualTimes();
    /// Tells admission that an upstream left an opening packet without an answer.
    void recordUnansweredOpening(const FlowPacket &packet, const TrackedUpstream &upstream);
    PacketVerdict handleUnknown(const FlowPacket &packet, common::TimePoint now);
    void recordObservation(const FlowPacket &packet, const FlowObservation &observation,
                           common::TimePoint now);
    /// Tells the picture of the load that a flow was opened, or a request has begun or ended, if
    /// the contract names a response aim for it.
    void recordRequest(const FlowPacket &packet, const FlowObservation &observation,
                       const TrackedUpstream &upstream, common::TimePoint now);
    void recordResponse(TrackedUpstream &upstream, common::TimePoint flowOpenSince,
                        common::TimePoint now);
    /// Handles the first response of an upstream after a silence.
    void recordRecovery(TrackedUpstream &upstream, common::TimePoint flowOpenSince,
                        common::TimePoint now);
    /// Whether this instance got responses of other upstreams of the zone while the upstream was
    /// silent, so that the silence was not that of a path.
    [[nodiscard]] bool wasSilentAlone(const TrackedUpstream &upstream, common::TimePoint now);
    /// Whether nothing that this instance knows contradicts the report of a restart.
    [[nodiscard]] bool isRestartPossible(const AssumedRestart &restart, common::TimePoint now);
    void recordRetransmission(TrackedUpstream &upstream, const FlowPacket &packet,
                              common::TimePoint now);
    void recordWaitingFlow(const TrackedUpstream &upstream, const FlowPacket &packet,
                           common::TimePoint now);
    /// Records upstreams that have reset opening packets. Instances do not see the resets, only
    /// that the caller neither retransmits the packet nor goes on.
    void findUnopenedFlows(common::TimePoint now);
    /// Records flows whose requests are overdue.
    void findOverdueFlows(common::TimePoint now);
    [[nodiscard]] bool mayRetryRequest(const FlowPacket &packet) const;
    [[nodiscard]] TrackedUpstream *findBySerial(common::UpstreamSerial serial);
    void applyPeerObservations(const PassiveHealthReport &report, common::TimePoint now);
    void refuteUpstreams(const PassiveHealthReport &report, PassiveHealthReport &refutations,
                         common::TimePoint now);
    void refuteZones(const PassiveHealthReport &report, PassiveHealthReport &refutations,
                     common::TimePoint now);
    void recordZoneRetransmission(const TrackedUpstream &upstream, common::TimePoint now);
    /// Whether the flow is to be reset because a new flow will be answered sooner than this one.
    [[nodiscard]] bool shouldReset(TrackedUpstream &upstream, bool isRetransmission,
                                   common::TimePoint now);
    [[nodiscard]] bool isDirectoryCurrent(common::TimePoint now) const;
    [[nodiscard]] const Route *routeOf(const FlowPacket &packet) const;
    void updateRoutes(const version::RulesRecord &rules);

    Options m_options;
    ResponseTimeSink m_onResponseTime;
    UpstreamTable m_upstreams;
    LoadPicture m_load;
    OpeningPolicy m_policy;
    AdmissionGate m_gate;
    OpeningRefused m_lastRefusal;
    IsolationDetector m_isolation;
    OutlierDetector m_outliers;
    common::TimePoint m_nextOutlierScan;
    common::TimePoint m_packetsReadUpTo;
    /// Upstreams that have reset opening packets since the last report of them.
    std::vector<common::UpstreamSerial> m_unopened;
    common::TimePoint m_nextUnopenedReport;
    FlowObserver m_observer;
    std::unordered_map<common::Endpoint, Route> m_routes;
    /// Services of routes whose contract names a response aim.
    std::unordered_set<common::ServiceId> m_servicesWithAim;
    /// Tokens that no known upstream has, with the time of the first packet.
    std::unordered_map<common::FlowToken, common::TimePoint> m_unknownTokens;
    common::TimePoint m_confirmedAt;
    /// Start of the period in which the store has confirmed the directory without a gap.
    common::TimePoint m_confirmedSince;
    /// When any upstream last responded to a caller.
    common::TimePoint m_lastResponseAt;
    /// When an upstream last responded after none had for a while.
    common::TimePoint m_silentUntil;
    PassiveHealthReport m_report;
    /// Assumed restarts from reports of other instances, until takeLearnedRestarts().
    std::vector<AssumedRestart> m_learnedRestarts;

    struct Retransmission
    {
        FlowPacket packet;
        common::TimePoint at;
    };

    /// Last retransmitted data packet of each waiting flow whose request may be retried.
    std::vector<Retransmission> m_retransmissions;
};

} // namespace banyanwall::connection
