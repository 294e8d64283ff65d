#include "process/clocks.h"
#include "process/logging.h"
#include "process/node.h"

#include "common/hash.h"
#include "version/rollout.h"

#include <algorithm>

namespace banyanwall::process {

using common::InstanceId;
using common::TimePoint;
using wire::proto::PeerMessage;

namespace {

constexpr std::chrono::milliseconds MembershipStateInterval { 100 };
constexpr std::chrono::milliseconds MaintenanceInterval { 1'000 };
constexpr std::chrono::milliseconds ShutdownInterval { 100 };
// An instance without live peers joins alone this long after its start.
constexpr common::Duration JoinAloneTimeout = std::chrono::seconds(3);
// Per MaintenanceInterval. 12 bytes per record: background handover stays under 1 KB/s.
constexpr std::size_t MaxHandoverRecords = 64;
// Per MaintenanceInterval. A request is about 60 bytes: requests for overdue handovers stay under
// 4 KB/s.
constexpr std::size_t MaxHandoverRequests = 64;
// Per ShutdownInterval. A leaving instance may hand over faster, because no other traffic needs its
// bandwidth.
constexpr std::size_t MaxLeavingHandoverRecords = 1'024;
// A member counts as present when it acknowledged a heartbeat sent within this time.
constexpr common::Duration MaxAcknowledgementAge = std::chrono::milliseconds(1'500);
// Instances of each zone that watch the store. The other instances get the changes from peers
// (docs/design.md, section 4).
constexpr std::size_t WatchersPerZone = 2;
constexpr std::uint64_t WatcherSeed = 0x776174636865;

std::chrono::milliseconds milliseconds(common::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

} // namespace

void Node::addPeriodicTimer(std::chrono::milliseconds interval, Task task)
{
    m_timers.push_back(std::make_unique<Timer>(
            Timer { boost::asio::steady_timer(m_context), interval, std::move(task) }));
    armTimer(*m_timers.back());
}

void Node::armTimer(Timer &timer)
{
    timer.timer.expires_after(timer.interval);
    timer.timer.async_wait([this, &timer](const boost::system::error_code &error) {
        if (!error) {
            timer.task();
            armTimer(timer);
        }
    });
}

void Node::startTimers()
{
    addPeriodicTimer(milliseconds(request::Coordinator::TickInterval), [this] { tickRequests(); });
    addPeriodicTimer(MembershipStateInterval, [this] { tickMembershipState(); });
    addPeriodicTimer(milliseconds(Membership::HeartbeatInterval), [this] { tickHeartbeats(); });
    addPeriodicTimer(milliseconds(OwnedUpstreams::ProbeInterval), [this] { tickProbes(); });
    addPeriodicTimer(MaintenanceInterval, [this] { tickMaintenance(); });
    addPeriodicTimer(MaintenanceInterval, [this] { tickUnresponsiveFlows(); });
    addPeriodicTimer(ShutdownInterval, [this] { continueShutdown(); });
}

bool Node::isJoined() const
{
    const auto &membership = m_membership.membership();
    if (!m_catalogue.isComplete()) {
        return false;
    }
    const auto now = monotonicNow();
    const bool hasCurrentPeers = !membership.livePeers().empty() && !membership.isStale(now);
    return hasCurrentPeers
            || (membership.livePeers().empty() && now - m_startedAt >= JoinAloneTimeout);
}

void Node::tickRequests()
{
    const auto moment = currentMoment();
    m_coordinator.setPermit(m_guard.permit(moment));
    m_requests.onTick(moment);
}

void Node::tickMembershipState()
{
    const auto now = monotonicNow();
    const auto &membership = m_membership.membership();
    m_placement.setViewConfirmed(membership.isViewConfirmed(now));
    m_packets.setFreshUntil(isJoined() ? membership.freshUntil() : TimePoint {});
    auto unreachable = membership.unreachableZones(now);
    if (unreachable != m_unreachableZones) {
        m_unreachableZones = unreachable;
        LogEvent(LogLevel::Warning, "silent_zones").with("count", unreachable.size());
        m_router.setUnreachableZones(std::move(unreachable));
    }
    std::vector<InstanceId> suspected;
    for (const auto &[id, member] : membership.members()) {
        if (member.state == wire::proto::MemberRecord::SUSPECTED) {
            suspected.push_back(id);
        }
    }
    if (suspected != m_suspected) {
        m_suspected = suspected;
        m_router.setSuspected(std::move(suspected));
    }
    if (membership.incarnation() != m_handledIncarnation) {
        m_handledIncarnation = membership.incarnation();
        LogEvent(LogLevel::Warning, "suspicion_refuted")
                .with("incarnation", m_handledIncarnation.value());
        m_router.onRejoined(now);
    }
    m_applier.advance(membership.livePeers(), now);
}

wire::proto::Heartbeat Node::makeHeartbeat()
{
    wire::proto::Heartbeat heartbeat;
    heartbeat.set_catalogue_digest(m_catalogue.catalogue().digest());
    heartbeat.set_store_reachable(m_store.isReachable());
    for (const auto &acknowledgement : m_rollouts.takeAcknowledgements()) {
        *heartbeat.add_acknowledged() = acknowledgement;
    }
    for (const auto &[id, member] : m_membership.membership().members()) {
        if (member.state == wire::proto::MemberRecord::SUSPECTED) {
            heartbeat.add_suspected(id.value());
        }
    }
    return heartbeat;
}

void Node::tickHeartbeats()
{
    const auto now = monotonicNow();
    m_membership.tick(makeHeartbeat(), now);
    const auto &membership = m_membership.membership();
    const auto oldest = now - MaxAcknowledgementAge;
    m_guard.setStoreReachable(m_store.isReachable());
    m_guard.onAcknowledgements(membership.acknowledgedSince(oldest),
                               static_cast<std::uint32_t>(membership.livePeers().size()), oldest);
}

void Node::tickProbes()
{
    const auto now = monotonicNow();
    refreshOwnedUpstreams(now);
    const auto changes = m_owned.probe(now);
    if (changes.empty()) {
        return;
    }
    PeerMessage message;
    for (const auto &state : changes) {
        m_upstreamStates.onState(state);
        *message.mutable_upstream_states()->add_states() = state;
    }
    for (const auto peer : m_membership.membership().livePeers()) {
        m_transport.toPeer(peer, message);
    }
}

void Node::refreshOwnedUpstreams(TimePoint now)
{
    // Every new roster changes the sum of the versions. It starts at 1, because zero marks a change
    // of members.
    std::uint64_t rosterVersionSum = 1;
    common::Duration longestRequest {};
    for (const auto &[customer, state] : m_applier.customers()) {
        rosterVersionSum += state.rosterVersion.value();
    }
    if (m_appliedRosterVersionSum == common::RosterVersion(rosterVersionSum)) {
        return;
    }
    m_appliedRosterVersionSum = common::RosterVersion(rosterVersionSum);
    for (const auto &[service, roster] : m_directory.view()->services) {
        longestRequest = std::max<common::Duration>(longestRequest, roster->longestRequest);
    }
    const bool allHoldersLive =
            m_lastDepartureAt == TimePoint {} || now - m_lastDepartureAt > longestRequest;
    const auto gained = m_owned.update(*m_membership.members(), allHoldersLive, now);
    if (!gained.empty()) {
        LogEvent(LogLevel::Info, "upstreams_owned")
                .with("gained", gained.size())
                .with("owned", m_owned.count());
    }
    m_upstreamStates.resetFlowsOfWithdrawnUpstreams();
    updateWatcherAndZoneState();
}

void Node::updateWatcherAndZoneState()
{
    // The WatchersPerZone members of the zone with the highest rank watch the store.
    std::vector<std::uint64_t> ranks;
    const auto rankOf = [](InstanceId id) { return common::hashPair(WatcherSeed, id.value()); };
    for (const auto &member : m_membership.members()->members()) {
        if (member.zone == m_zone && !member.leaving) {
            ranks.push_back(rankOf(member.id));
        }
    }
    const auto own = rankOf(m_self);
    const auto higher = std::ranges::count_if(ranks, [own](auto rank) { return rank > own; });
    m_store.setWatching(static_cast<std::size_t>(higher) < WatchersPerZone && !m_shutdownSince);

    const bool isWithdrawn = m_applier.isZoneWithdrawn(m_settings.zone);
    if (isWithdrawn == m_isZoneWithdrawn || m_shutdownSince) {
        return;
    }
    m_isZoneWithdrawn = isWithdrawn;
    LogEvent(LogLevel::Info, "zone_state").with("withdrawn", isWithdrawn);
    m_store.setLeaving(isWithdrawn);
    if (isWithdrawn) {
        m_membership.leave(monotonicNow());
    } else {
        m_membership.rejoin(monotonicNow());
        // rejoin() raises the incarnation. tickMembershipState() must not treat this as a refuted
        // suspicion, because all instances apply the return as a change of members.
        m_handledIncarnation = m_membership.membership().incarnation();
    }
}

void Node::tickMaintenance()
{
    reportIdleBuckets();
    planSettledMaps();
    planZoneReturn();
    sendHandovers(MaxHandoverRecords);
    sendHandoverRequests();
    m_placement.removeExpired(wallNow());
    m_metrics.sampleImbalance();
}

void Node::reportIdleBuckets()
{
    std::map<common::ServiceId, wire::proto::IdleBuckets> reports;
    // An empty report replaces the last report of a service that has no idle buckets any more.
    for (const auto &[service, sent] : m_sentIdleReports) {
        reports[service].set_service(service.value());
    }
    for (const auto &report : m_router.idleBuckets(monotonicNow())) {
        auto &idle = reports[report.service];
        idle.set_service(report.service.value());
        idle.set_settled_revision(report.revision.value());
        idle.set_roster_version(report.rosterVersion.value());
        for (const auto bucket : report.buckets) {
            idle.add_buckets(bucket.value());
        }
        for (const auto bucket : report.clean) {
            idle.add_clean(bucket.value());
        }
    }
    const auto view = m_directory.view();
    for (auto &[service, idle] : reports) {
        const auto roster = view->services.find(service);
        auto bytes = idle.SerializeAsString();
        if (roster == view->services.end() || m_sentIdleReports[service] == bytes) {
            continue;
        }
        m_sentIdleReports[service] = std::move(bytes);
        const auto planner = m_membership.members()->planner(roster->second->customer);
        if (planner == m_self) {
            m_planner.onIdleBuckets(m_self, idle);
        } else if (planner) {
            PeerMessage message;
            *message.mutable_idle_buckets() = std::move(idle);
            m_transport.toPeer(*planner, message);
        }
    }
}

void Node::planSettledMaps()
{
    if (m_isSettledMapWritePending || !isJoined() || !m_store.hasRead()) {
        return;
    }
    for (const auto &[customer, state] : m_applier.customers()) {
        const auto id = common::idFromName<common::CustomerId>(customer);
        if (m_membership.members()->planner(id) != m_self) {
            continue;
        }
        const auto next = m_planner.plan(state, m_unreachableZones);
        if (!next) {
            continue;
        }
        const auto key = DocumentApplier::settledSubject(customer);
        const auto value = next->SerializeAsString();
        const auto isExpected = [expectedRevision =
                                         state.settled.revision()](const std::string &current) {
            wire::proto::SettledMap stored;
            return current.empty()
                    ? expectedRevision == 0
                    : stored.ParseFromString(current) && stored.revision() == expectedRevision;
        };
        m_isSettledMapWritePending = true;
        m_store.replace(key, value, isExpected, [this, key, value](bool written) {
            m_isSettledMapWritePending = false;
            LogEvent(LogLevel::Info, "settled_map").with("key", key).with("written", written);
            if (written) {
                m_catalogue.onStoreValue(key, value, monotonicNow());
            }
        });
        return;
    }
}

void Node::planZoneReturn()
{
    const auto id = common::idFromName<common::CustomerId>(version::ZonesKey);
    if (m_isZoneStatesWritePending || !isJoined() || !m_store.hasRead()
        || m_membership.members()->planner(id) != m_self) {
        return;
    }
    const auto next = m_zoneReturn.next(m_applier.zones(), monotonicNow());
    if (!next) {
        return;
    }
    const std::string key(version::ZonesKey);
    const auto value = version::formatZoneStates(*next);
    const auto isExpected = [expectedVersion = next->version - 1](const std::string &current) {
        const auto stored = version::parseZoneStates(current);
        return common::isOk(stored) && common::valueOf(stored).version == expectedVersion;
    };
    m_isZoneStatesWritePending = true;
    m_store.replace(key, value, isExpected, [this, key, value](bool written) {
        m_isZoneStatesWritePending = false;
        LogEvent(LogLevel::Info, "zone_return_step").with("written", written);
        if (written) {
            m_catalogue.onStoreValue(key, value, monotonicNow());
        }
    });
}

void Node::sendHandoverRequests()
{
    for (const auto &request : m_router.takeHandoverRequests(MaxHandoverRequests, monotonicNow())) {
        PeerMessage message;
        auto &digest = *message.mutable_digest();
        digest.set_service(request.service.value());
        digest.set_bucket(request.bucket.value());
        digest.set_count(request.count);
        digest.set_hash(request.hash);
        m_transport.toPeer(request.receiver, message);
    }
}

std::size_t Node::sendHandovers(std::size_t maxRecords)
{
    const auto batches = m_router.takeHandovers(maxRecords, monotonicNow());
    for (const auto &batch : batches) {
        PeerMessage message;
        auto &handover = *message.mutable_handover();
        handover.set_service(batch.service.value());
        handover.set_bucket(batch.bucket.value());
        handover.set_complete(batch.complete);
        for (const auto &record : batch.records) {
            handover.add_flows(record.flow.value());
            handover.add_upstreams(record.upstream.value());
        }
        for (const auto upstream : batch.recentUpstreams) {
            handover.add_recent_upstreams(upstream.value());
        }
        m_transport.toPeer(batch.receiver, message);
    }
    return batches.size();
}

void Node::tickUnresponsiveFlows()
{
    m_upstreamStates.resetUnresponsiveFlows(monotonicNow());
}

void Node::beginShutdown()
{
    if (m_shutdownSince) {
        return;
    }
    const auto now = monotonicNow();
    m_shutdownSince = now;
    LogEvent(LogLevel::Info, "shutdown_started")
            .with("requests_in_progress", m_coordinator.inProgress());
    m_membership.leave(now);
    m_store.setLeaving(true);
    m_coordinator.beginShutdown();
}

void Node::continueShutdown()
{
    if (!m_shutdownSince || m_isFinishing) {
        return;
    }
    const bool isHandedOver = sendHandovers(MaxLeavingHandoverRecords) == 0;
    const auto elapsed = monotonicNow() - *m_shutdownSince;
    common::Duration longestRequest {};
    for (const auto &[service, roster] : m_directory.view()->services) {
        longestRequest = std::max<common::Duration>(longestRequest, roster->longestRequest);
    }
    const bool isFinished = m_coordinator.inProgress() == 0 && isHandedOver;
    if (elapsed < MinShutdownTime || (!isFinished && elapsed < longestRequest + MinShutdownTime)) {
        return;
    }
    m_isFinishing = true;
    LogEvent(LogLevel::Info, "shutdown_finished")
            .with("requests_in_progress", m_coordinator.inProgress());
    finish();
}

void Node::finish()
{
    m_membership.announceDeparture();
    m_store.revoke([this] { m_context.stop(); });
}

} // namespace banyanwall::process
