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

constexpr std::chrono::milliseconds FreshnessInterval { 100 };
constexpr std::chrono::milliseconds SettleInterval { 1'000 };
constexpr std::chrono::milliseconds ShutdownInterval { 100 };
// An instance that has heard nobody joins alone after this time.
constexpr common::Duration JoinAlone = std::chrono::seconds(3);
// 12 bytes a record: background handover stays under 1 KB/s.
constexpr std::size_t HandoverRecords = 64;
// A request is about 60 bytes; requests for overdue handovers stay under 4 KB/s.
constexpr std::size_t HandoverRequests = 64;
// A leaving instance hands over faster, because nothing else waits for its bandwidth.
constexpr std::size_t LeavingHandoverRecords = 1'024;
// Age of the heartbeats whose acknowledgements count as present.
constexpr common::Duration AcknowledgementWindow = std::chrono::milliseconds(1'500);
// Instances of a zone that watch the store; docs/design.md, section 4.
constexpr std::size_t WatchersOfZone = 2;
constexpr std::uint64_t WatcherSeed = 0x776174636865;

std::chrono::milliseconds milliseconds(common::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

} // namespace

void Node::every(std::chrono::milliseconds interval, Step step)
{
    m_timers.push_back(std::make_unique<Timer>(
            Timer { boost::asio::steady_timer(m_context), interval, std::move(step) }));
    arm(*m_timers.back());
}

void Node::arm(Timer &timer)
{
    timer.timer.expires_after(timer.interval);
    timer.timer.async_wait([this, &timer](const boost::system::error_code &error) {
        if (!error) {
            timer.step();
            arm(timer);
        }
    });
}

void Node::startTimers()
{
    every(milliseconds(request::Coordinator::TickInterval), [this] { tickRequests(); });
    every(FreshnessInterval, [this] { tickFreshness(); });
    every(milliseconds(Membership::HeartbeatInterval), [this] { tickHeartbeats(); });
    every(milliseconds(OwnedUpstreams::ProbeInterval), [this] { tickProbes(); });
    every(SettleInterval, [this] { tickSettling(); });
    every(SettleInterval, [this] { tickSilentFlows(); });
    every(ShutdownInterval, [this] { continueShutdown(); });
}

bool Node::isJoined() const
{
    const auto &membership = m_membership.membership();
    if (!m_catalogue.isComplete()) {
        return false;
    }
    const auto now = monotonicNow();
    const bool heardPeers = !membership.livePeers().empty() && !membership.isStale(now);
    return heardPeers || (membership.livePeers().empty() && now - m_started >= JoinAlone);
}

void Node::tickRequests()
{
    const auto moment = currentMoment();
    m_coordinator.setPermit(m_guard.permit(moment));
    m_requests.onTick(moment);
}

void Node::tickFreshness()
{
    const auto now = monotonicNow();
    const auto &membership = m_membership.membership();
    m_placement.setViewConfirmed(membership.isViewConfirmed(now));
    m_packets.setFreshUntil(isJoined() ? membership.freshUntil() : TimePoint {});
    auto silent = membership.unreachableZones(now);
    if (silent != m_silentZones) {
        m_silentZones = silent;
        LogEvent(LogLevel::Warning, "silent_zones").with("count", silent.size());
        m_router.setUnreachableZones(std::move(silent));
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
    if (membership.incarnation() != m_seenIncarnation) {
        m_seenIncarnation = membership.incarnation();
        LogEvent(LogLevel::Warning, "suspicion_refuted")
                .with("incarnation", m_seenIncarnation.value());
        m_router.onRejoined(now);
    }
    m_applier.advance(membership.livePeers(), now);
}

wire::proto::Heartbeat Node::preparedHeartbeat()
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
    m_membership.tick(preparedHeartbeat(), now);
    const auto &membership = m_membership.membership();
    const auto oldest = now - AcknowledgementWindow;
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
        m_conditions.onState(state);
        *message.mutable_upstream_states()->add_states() = state;
    }
    for (const auto peer : m_membership.membership().livePeers()) {
        m_transport.toPeer(peer, message);
    }
}

void Node::refreshOwnedUpstreams(TimePoint now)
{
    // A sum over versions changes with every roster; zero stands for a change of members.
    std::uint64_t rosters = 1;
    common::Duration longest {};
    for (const auto &[customer, state] : m_applier.customers()) {
        rosters += state.rosterVersion.value();
    }
    if (m_ownedFor == common::RosterVersion(rosters)) {
        return;
    }
    m_ownedFor = common::RosterVersion(rosters);
    for (const auto &[service, roster] : m_directory.view()->services) {
        longest = std::max<common::Duration>(longest, roster->longestRequest);
    }
    const bool peersComplete = m_lastDeath == TimePoint {} || now - m_lastDeath > longest;
    const auto gained = m_owned.update(*m_membership.members(), peersComplete, now);
    if (!gained.empty()) {
        LogEvent(LogLevel::Info, "upstreams_owned")
                .with("gained", gained.size())
                .with("owned", m_owned.count());
    }
    m_conditions.closeWithdrawn();
    tickMembersOfZone();
}

void Node::tickMembersOfZone()
{
    // The store's watchers of a zone are those of the highest rank.
    std::vector<std::uint64_t> ranks;
    const auto rankOf = [](InstanceId id) { return common::hashPair(WatcherSeed, id.value()); };
    for (const auto &member : m_membership.members()->members()) {
        if (member.zone == m_zone && !member.leaving) {
            ranks.push_back(rankOf(member.id));
        }
    }
    const auto own = rankOf(m_self);
    const auto higher = std::ranges::count_if(ranks, [own](auto rank) { return rank > own; });
    m_store.setWatching(static_cast<std::size_t>(higher) < WatchersOfZone && !m_shutdownSince);

    const bool withdrawn = m_applier.isZoneWithdrawn(m_settings.zone);
    if (withdrawn == m_zoneWithdrawn || m_shutdownSince) {
        return;
    }
    m_zoneWithdrawn = withdrawn;
    LogEvent(LogLevel::Info, "zone_state").with("withdrawn", withdrawn);
    m_store.setLeaving(withdrawn);
    if (withdrawn) {
        m_membership.leave(monotonicNow());
    } else {
        m_membership.rejoin(monotonicNow());
        // The return is a change of members, not a gap that the others do not know of.
        m_seenIncarnation = m_membership.membership().incarnation();
    }
}

void Node::tickSettling()
{
    reportIdleBuckets();
    planSettledMaps();
    planZoneReturn();
    sendHandovers(HandoverRecords);
    sendHandoverRequests();
    m_placement.forget(wallNow());
    m_metrics.sampleImbalance();
}

void Node::reportIdleBuckets()
{
    std::map<common::ServiceId, wire::proto::IdleBuckets> reports;
    // A service without idle buckets gets an empty report, which replaces the former one.
    for (const auto &[service, former] : m_sentReports) {
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
        if (roster == view->services.end() || m_sentReports[service] == bytes) {
            continue;
        }
        m_sentReports[service] = std::move(bytes);
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
    if (m_planning || !isJoined() || !m_store.hasRead()) {
        return;
    }
    for (const auto &[customer, state] : m_applier.customers()) {
        const auto id = common::idFromName<common::CustomerId>(customer);
        if (m_membership.members()->planner(id) != m_self) {
            continue;
        }
        const auto next = m_planner.plan(state, m_silentZones);
        if (!next) {
            continue;
        }
        const auto key = DocumentApplier::settledSubject(customer);
        const auto value = next->SerializeAsString();
        const auto isExpected = [base = state.settled.revision()](const std::string &current) {
            wire::proto::SettledMap known;
            return current.empty() ? base == 0
                                   : known.ParseFromString(current) && known.revision() == base;
        };
        m_planning = true;
        m_store.replace(key, value, isExpected, [this, key, value](bool written) {
            m_planning = false;
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
    if (m_planningZones || !isJoined() || !m_store.hasRead()
        || m_membership.members()->planner(id) != m_self) {
        return;
    }
    const auto next = m_zoneReturn.next(m_applier.zones(), monotonicNow());
    if (!next) {
        return;
    }
    const std::string key(version::ZonesKey);
    const auto value = version::formatZoneStates(*next);
    const auto isExpected = [base = next->version - 1](const std::string &current) {
        const auto known = version::parseZoneStates(current);
        return common::isOk(known) && common::valueOf(known).version == base;
    };
    m_planningZones = true;
    m_store.replace(key, value, isExpected, [this, key, value](bool written) {
        m_planningZones = false;
        LogEvent(LogLevel::Info, "zone_return_step").with("written", written);
        if (written) {
            m_catalogue.onStoreValue(key, value, monotonicNow());
        }
    });
}

void Node::sendHandoverRequests()
{
    for (const auto &request : m_router.takeHandoverRequests(HandoverRequests, monotonicNow())) {
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

void Node::tickSilentFlows()
{
    m_conditions.closeSilent(monotonicNow());
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
    if (!m_shutdownSince || m_finishing) {
        return;
    }
    const bool handedOver = sendHandovers(LeavingHandoverRecords) == 0;
    const auto elapsed = monotonicNow() - *m_shutdownSince;
    common::Duration longest {};
    for (const auto &[service, roster] : m_directory.view()->services) {
        longest = std::max<common::Duration>(longest, roster->longestRequest);
    }
    const bool finished = m_coordinator.inProgress() == 0 && handedOver;
    if (elapsed < ShortestLeave || (!finished && elapsed < longest + ShortestLeave)) {
        return;
    }
    m_finishing = true;
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
