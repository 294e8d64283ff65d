#pragma once

#include "process/adminserver.h"
#include "process/cataloguesync.h"
#include "process/membershipdriver.h"
#include "process/ownedupstreams.h"
#include "process/packethandler.h"
#include "process/requesthandler.h"
#include "process/settings.h"
#include "process/settledplanner.h"
#include "process/storesession.h"
#include "process/udpfrontend.h"
#include "process/unansweredflowtable.h"
#include "process/upstreamstatehandler.h"
#include "process/zonereturn.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <memory>

namespace banyanwall::process {

/// One instance: owns all parts and connects them. Control state is used only by the thread that
/// calls run(). The workers of UdpFrontend and the thread of PeerTransport handle packets.
class Node : private ControlSink
{
public:
    /// Minimum time from the start of a shutdown to the exit. Relays, heartbeats and packets from
    /// the fabric still reach a leaving instance for this long.
    static constexpr std::chrono::milliseconds MinShutdownTime { 3'000 };

    explicit Node(Settings settings);
    ~Node() override;
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /// Returns when the graceful shutdown that SIGTERM or SIGINT starts is complete. Throws when an
    /// endpoint cannot be bound.
    void run();

private:
    using Task = std::function<void()>;

    struct Timer
    {
        boost::asio::steady_timer timer;
        std::chrono::milliseconds interval;
        Task task;
    };

    void onCallerRequest(wire::proto::RequestRelay request) override;
    void onDispatchResult(wire::proto::UpstreamMessage message) override;
    void onHealthReport(common::UpstreamId upstream, wire::proto::HealthReport report) override;
    void onIncarnationRejected(common::UpstreamId upstream,
                               common::Incarnation incarnation) override;

    /// Runs task on the control thread. Drops it when MaxPendingTasks tasks are waiting.
    void post(Task task);
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
    /// Informs the coordinator that departed may have dispatched the requests that it coordinated
    /// in the view formerMembers, and until when it may do so.
    void fenceRequestsOf(const connection::Member &departed,
                         const std::shared_ptr<const connection::OwnerSelector> &formerMembers,
                         request::Moment moment);
    void refreshOwnedUpstreams(common::TimePoint now);

    void addPeriodicTimer(std::chrono::milliseconds interval, Task task);
    void armTimer(Timer &timer);
    void startTimers();
    void tickRequests();
    void tickMembershipState();
    void tickHeartbeats();
    void tickProbes();
    void tickMaintenance();
    void reportIdleBuckets();
    void tickUnresponsiveFlows();
    void updateWatcherAndZoneState();
    [[nodiscard]] wire::proto::Heartbeat makeHeartbeat();
    void planSettledMaps();
    void planZoneReturn();
    /// Requests overdue handovers from the former bucket owners.
    void sendHandoverRequests();
    /// Sends up to maxRecords overrides of pending handovers. Returns the number of messages.
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
    UnansweredFlowTable m_unansweredFlows;
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
    UpstreamStateHandler m_upstreamStates;
    RequestHandler m_requests;
    MembershipDriver m_membership;
    CatalogueSync m_catalogue;
    StoreClient m_storeClient;
    StoreSession m_store;
    AdminServer m_admin;
    boost::asio::signal_set m_signals;
    std::vector<std::unique_ptr<Timer>> m_timers;
    std::atomic<std::size_t> m_pendingTasks { 0 };
    common::TimePoint m_startedAt;
    common::TimePoint m_lastDepartureAt;
    std::map<common::InstanceId, common::WallTime> m_leavingSince;
    std::vector<common::ZoneId> m_unreachableZones;
    std::vector<common::InstanceId> m_suspected;
    /// Own incarnation that tickMembershipState() has handled last. Membership raises the
    /// incarnation to refute a suspicion.
    common::Incarnation m_handledIncarnation;
    /// Encoded idle buckets last sent to the planner. An unchanged report is not sent again.
    std::map<common::ServiceId, std::string> m_sentIdleReports;
    bool m_isSettledMapWritePending = false;
    bool m_isZoneStatesWritePending = false;
    bool m_isZoneWithdrawn = false;
    /// Sum of the roster versions that m_owned was updated for; zero after a change of members.
    common::RosterVersion m_appliedRosterVersionSum;
    std::optional<common::TimePoint> m_shutdownSince;
    bool m_isFinishing = false;
};

} // namespace banyanwall::process
