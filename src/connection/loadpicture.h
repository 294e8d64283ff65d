#pragma once

#include "common/ids.h"
#include "common/time.h"
#include "connection/loadreport.h"
#include "connection/requestcost.h"
#include "connection/requestsinprogress.h"
#include "connection/servicedemand.h"
#include "connection/upstreamevidence.h"
#include "connection/upstreamtable.h"
#include "connection/zonedelays.h"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace banyanwall::connection {

/// Mean load of the upstreams of a service.
struct ServiceLoad
{
    common::ServiceId service;
    double meanSlowness = 1.0;
    std::size_t slowUpstreams = 0;
};

/// An upstream became slow, or usual again.
struct SlownessChange
{
    common::UpstreamSerial upstream;
    double slowness = 1.0;
    bool isSlow = false;
};

/// Learns from the requests of this instance's callers, and from reports of the other instances of
/// its zone, how long requests take, which upstreams are slow, how much work each upstream has
/// left, and how much work callers bring. Without observations, upstreams count as usual. Not
/// thread-safe.
class LoadPicture
{
public:
    explicit LoadPicture(UpstreamTable &upstreams);

    /// Sets the number of instances of the own zone, this one included.
    void setZoneInstances(std::uint32_t count);

    /// An upstream replied to an opening packet, without any work, after this time.
    void onFlowOpened(const TrackedUpstream &upstream, common::Duration handshakeTime);
    /// A request was sent to an upstream for the first time; flow is a hash of the flow.
    void onRequest(const RequestKind &kind, const TrackedUpstream &upstream, std::uint64_t flow,
                   common::TimePoint now);
    /// The caller got the first part of the answer. responseTime must not hold retransmissions or
    /// pauses of the caller.
    void onAnswer(const RequestKind &kind, const TrackedUpstream &upstream, std::uint64_t flow,
                  common::Duration responseTime, common::TimePoint now);
    /// The flow has ended, or its request was answered after an unknown time.
    void onFlowEnded(std::uint64_t flow, common::TimePoint now);

    /// Writes TrackedUpstream::load of all upstreams and drops expired state; called every 100 ms.
    void refresh(common::TimePoint now);

    /// sender identifies the instance that sent the report; zero when it is not known.
    void onPeerReport(const LoadReport &report, common::TimePoint now, std::uint64_t sender = 0);
    /// Returns a report to be sent to each other instance of the zone; empty when none is due
    /// within the limits of ReportBudget.
    [[nodiscard]] std::optional<LoadReport> takeReport(common::TimePoint now);

    /// Usual time from an instance to an upstream of the zone and back through the caller, without
    /// any work; zero while unknown.
    [[nodiscard]] common::Duration zoneDelay(common::ZoneId zone) const
    {
        return m_zoneDelays.of(zone);
    }

    /// Mean time of requests of a kind at a usual upstream without the delay to its zone, or of all
    /// requests of its route when the kind is not known; zero while unknown.
    [[nodiscard]] common::Duration usualTime(const RequestKind &kind) const;
    /// Work that the callers of the own zone bring, through all instances of the zone. While no
    /// reports arrive, all instances count like this one.
    [[nodiscard]] std::vector<ServiceDemand> demands(common::TimePoint now) const;

    /// Services with observations; as of the last refresh.
    [[nodiscard]] std::vector<ServiceLoad> serviceLoads() const;

    /// Returns the upstreams that became slow or usual since the last call.
    [[nodiscard]] std::vector<SlownessChange> takeSlownessChanges()
    {
        return std::exchange(m_changes, {});
    }

private:
    struct Observed
    {
        common::Incarnation incarnation;
        UpstreamEvidence evidence;
        /// Work left at requests of other instances, in microseconds.
        double peerWork = 0.0;
        /// Work left at own requests that were not reported, in microseconds.
        double unreportedWork = 0.0;
        bool isSlow = false;
    };

    struct KnownKind
    {
        RequestCost cost;
        common::TimePoint lastSample;
    };

    struct Service
    {
        /// Logarithm of the present response times of the service relative to the usual times of
        /// the kinds: a median over the answers to own callers.
        double shift = 0.0;
        /// Number of answers while the whole service was slower than usual.
        std::uint32_t crowdedAnswers = 0;
        /// Mean usual time of a request in microseconds; zero while unknown.
        double meanTime = 0.0;
        /// Work that own callers have brought until the last refresh, in microseconds; decays.
        double ownWork = 0.0;
        /// Work that own callers have brought since then, in microseconds.
        double newWork = 0.0;
        /// Busy slots in reports of other instances; decays like m_peerReports.
        double peerSlots = 0.0;
        ServiceLoad load;
    };

    struct Row
    {
        ReportedUpstream reported;
        double value = 0.0;
    };

    /// Finds out whether this process was paused, so that times that include the pause say nothing
    /// about upstreams.
    void noticePause(common::TimePoint now);
    [[nodiscard]] const RequestCost *costOf(const RequestKind &kind) const;
    void addSample(const RequestKind &kind, common::Duration responseTime, common::TimePoint now);
    /// Empty observations when the upstream has restarted since the last ones.
    [[nodiscard]] Observed &observedOf(const TrackedUpstream &upstream);
    void decay(common::Duration elapsed);
    /// Between half and one and a half times m_demandInterval, so that instances that started at
    /// the same time do not use their report bytes at the same time.
    [[nodiscard]] common::Duration variedInterval() const;
    /// Time within which each instance that runs has reported its demand.
    [[nodiscard]] common::Duration reportWindow() const;
    /// Number of other instances in the zone that bring demand.
    [[nodiscard]] std::size_t otherInstances(common::TimePoint now) const;
    void refreshSlowness(common::ServiceId service, const UpstreamTable::Group &group);
    void refreshWork(common::TimePoint now);
    /// Returns false when the request has ended unseen.
    [[nodiscard]] bool addWork(const RequestInProgress &request, common::TimePoint now);
    void recordSlowness(const TrackedUpstream &upstream, Observed &observed);
    void addDemands(LoadReport &report) const;
    void addUpstreams(LoadReport &report) const;
    [[nodiscard]] std::vector<Row> rowsToReport() const;
    [[nodiscard]] double valueOfWork(const Observed &observed,
                                     const version::UpstreamRecord &record) const;
    void markReported(const LoadReport &report);

    UpstreamTable &m_upstreams;
    std::uint32_t m_zoneInstances = 1;
    std::unordered_map<RequestKind, KnownKind> m_kinds;
    RequestsInProgress m_requests;
    std::unordered_map<common::FlowToken, Observed> m_observed;
    std::map<common::ServiceId, Service> m_services;
    ZoneDelays m_zoneDelays;
    /// Number of reports with demands; old ones count less.
    double m_peerReports = 0.0;
    /// When each other instance last reported its demand. The list of members holds instances that
    /// have left.
    std::unordered_map<std::uint64_t, common::TimePoint> m_reporters;
    /// Start of the observation of m_reporters.
    common::TimePoint m_countingSince;
    /// Mean time between two own reports of demand.
    common::Duration m_demandInterval {};
    /// Flow of the last request; different at each instance.
    std::uint64_t m_lastFlow = 0;
    common::TimePoint m_refreshedAt;
    /// End of the last pause of this process.
    common::TimePoint m_resumedAt;
    ReportBudget m_budget;
    common::TimePoint m_nextDemandAt;
    std::vector<SlownessChange> m_changes;
    /// Members only to reuse their memory.
    std::vector<double> m_logs;
    std::vector<double> m_sortedLogs;
};

} // namespace banyanwall::connection
