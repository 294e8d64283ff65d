#pragma once

#include "process/adminserver.h"
#include "process/cataloguesync.h"
#include "process/flowwatch.h"
#include "process/membershipdriver.h"
#include "process/ownedupstreams.h"
#include "process/packethandler.h"
#include "process/requesthandler.h"
#include "process/settings.h"
#include "process/settledplanner.h"
#include "process/storesession.h"
#include "process/udpfrontend.h"
#include "process/upstreamconditions.h"
#include "process/zonereturn.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <memory>

namespace banyanwall::process {

/// One instance: owns all parts and connects them. Control state lives on the thread that calls
/// run(); packets are handled by the workers of UdpFrontend and by the thread of PeerTransport.
class Node : private ControlSink
{
public:
    /// Relays, heartbeats and the fabric still reach a leaving instance for this long.
    static constexpr std::chrono::milliseconds ShortestLeave { 3'000 };

    explicit Node(Settings settings);
    ~Node() override;
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /// Runs until a graceful shutdown after SIGTERM or SIGINT has ended. Throws when an endpoint
    /// cannot be bound.
    void run();

private:
    using Step = std::function<void()>;

    struct Timer
    {
        boost::asio::steady_timer timer;
        std::chrono::milliseconds interval;
        Step step;
    };

    void onCallerRequest(wire::proto::RequestRelay request) override;
    void onDispatchResult(wire::proto::UpstreamMessage message) override;
    void onHealthReport(common::UpstreamId upstream, wire::proto::HealthReport report) override;
    void onIncarnationRejected(common::UpstreamId upstream,
                               common::Incarnation incarnation) override;

    /// Runs step on the control thread; dropped when too many wait.
    void post(Step step);
    void onPeerMessage(wire::VerifiedMessage verified);
    void dispatch(const wire::VerifiedMessage &verified);
    void dispatchControl(const wire::VerifiedMessage &verified, request::Moment moment);
    void onHeartbeat(const wire::VerifiedMessage &verified, common::TimePoint now);
    void onHandoverRequest(common::InstanceId sender, const wire::proto::OverrideDigest &digest,
                           common::TimePoint now);
    void onHandover(const wire::proto::OverrideHandover &handover, common::TimePoint now);
    void onStoreRead(const std::optional<std::vector<StoreEntry>> &entries);
    void onStoreEntry(const StoreEntry &entry);
    void onInstanceRecord(const StoreEntry &entry, common::TimePoint now);
    void onMembersChanged(const MembershipDriver::Change &change, common::TimePoint now);
    void fenceRequestsOf(const connection::Member &gone,
                         const std::shared_ptr<const connection::OwnerSelector> &former,
                         request::Moment moment);
    void refreshOwnedUpstreams(common::TimePoint now);

    void every(std::chrono::milliseconds interval, Step step);
    void arm(Timer &timer);
    void startTimers();
    void tickRequests();
    void tickFreshness();
    void tickHeartbeats();
    void tickProbes();
    void tickSettling();
    void reportIdleBuckets();
    void tickSilentFlows();
    void tickMembersOfZone();
    [[nodiscard]] wire::proto::Heartbeat preparedHeartbeat();
    void planSettledMaps();
    void planZoneReturn();
    /// Asks for handovers that are overdue.
    void sendHandoverRequests();
    std::size_t sendHandovers(std::size_t maxRecords);

    void beginShutdown();
    void continueShutdown();
    void finish();

    [[nodiscard]] std::string status() const;
    [[nodiscard]] bool isJoined() const;

    Settings m_settings;
    common::InstanceId m_self;
    common::ZoneId m_zone;
    common::Incarnation m_incarnation;
    boost::asio::io_context m_context;
    Metrics m_metrics;
    ServiceDirectory m_directory;
    connection::FlowRouter m_router;
    FlowWatch m_watch;
    request::Coordinator m_coordinator;
    request::LeaseGuard m_guard;
    RolloutTracker m_rollouts;
    DocumentApplier m_applier;
    SettledPlanner m_planner;
    ZoneReturn m_zoneReturn;
    RequestPlacement m_placement;
    UdpFrontend m_udp;
    PeerTransport m_transport;
    PacketHandler m_packets;
    OwnedUpstreams m_owned;
    UpstreamConditions m_conditions;
    RequestHandler m_requests;
    MembershipDriver m_membership;
    CatalogueSync m_catalogue;
    StoreClient m_storeClient;
    StoreSession m_store;
    AdminServer m_admin;
    boost::asio::signal_set m_signals;
    std::vector<std::unique_ptr<Timer>> m_timers;
    std::atomic<std::size_t> m_pendingSteps { 0 };
    common::TimePoint m_started;
    common::TimePoint m_lastDeath;
    std::map<common::InstanceId, common::WallTime> m_leavingSince;
    std::vector<common::ZoneId> m_silentZones;
    std::vector<common::InstanceId> m_suspected;
    common::Incarnation m_seenIncarnation;
    /// Last report of idle buckets that the planner got; a repetition says nothing new.
    std::map<common::ServiceId, std::string> m_sentReports;
    bool m_planning = false;
    bool m_planningZones = false;
    bool m_zoneWithdrawn = false;
    common::RosterVersion m_ownedFor;
    std::optional<common::TimePoint> m_shutdownSince;
    bool m_finishing = false;
};

} // namespace banyanwall::process
