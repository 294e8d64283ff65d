#include "connection/flowforwarder.h"

#include "common/hash.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace banyanwall::connection {

using common::Reason;
using common::TimePoint;

namespace {

// Without a fault, updates of the store reach all instances well within this time.
constexpr std::chrono::seconds MaxDirectoryAge { 3 };
// An upstream whose entry expired during a store outage registers again within two seconds of the
// store's return.
constexpr std::chrono::milliseconds UnknownTokenTimeout { 2'200 };
// During a longer gap between two confirmations by the store, entries may have expired.
constexpr std::chrono::milliseconds MaxConfirmationGap { 1'500 };
constexpr std::chrono::seconds UnknownTokenRetention { 10 };
// The work of requests varies by half of its mean, so a working upstream rarely takes this many
// times the mean response time.
constexpr double OverdueFactor = 6.0;
// Callers retransmit lost packets after 200 ms; a response after one retransmission is not overdue.
constexpr std::chrono::milliseconds MinOverdueTime { 300 };
constexpr std::chrono::milliseconds OutlierScanInterval { 200 };
// Callers retransmit an opening packet after 200 ms, unless it was reset. The margin covers delays
// on the way to this instance.
constexpr std::chrono::milliseconds MaxOpeningTime { 250 };
// While many upstreams reset openings, each instance of a zone has some to report all the time.
constexpr std::chrono::milliseconds UnopenedReportInterval { 500 };
// A single peer may be stopping, or may be cut off together with this instance.
constexpr std::uint32_t MinRefutingPeers = 2;
// Without any response for this long, this instance itself may be cut off. The smallest instances
// get 14 requests a second.
constexpr std::chrono::milliseconds IsolationTimeout { 500 };
// A report of this many flows fits into one datagram.
constexpr std::size_t MaxReportedFlows = 60;
// A report of this many restarts fits into one datagram.
constexpr std::size_t MaxReportedRestarts = 60;
// Bounds the flows that wait at the same time; a small instance has a few hundred flows in all.
constexpr std::size_t MaxRetransmissions = 256;
// While the caller's time budget lasts, it retransmits data at most this long after the previous
// transmission.
constexpr std::chrono::milliseconds RetransmissionRetention { 1'600 };
// Bounds the memory that forged tokens can take.
constexpr std::size_t MaxUnknownTokens = 1'024;

std::uint64_t flowHashOf(const FlowPacket &packet)
{
    const std::hash<common::Endpoint> hash;
    return common::hashPair(hash(packet.caller), hash(packet.service));
}

} // namespace

FlowForwarder::FlowForwarder(const Options &options, ResponseTimeSink onResponseTime)
    : m_options(options)
    , m_onResponseTime(std::move(onResponseTime))
    , m_upstreams(options.instance)
    , m_load(m_upstreams)
    , m_policy(m_upstreams)
    , m_gate(m_upstreams)
    , m_isolation(options.ownZone)
    , m_observer(options.observedFlowSets)
{ }

void FlowForwarder::update(const version::Directory &directory,
                           const std::vector<version::EntryKey> &changed, TimePoint now)
{
    m_upstreams.update(directory, changed, now);
    const bool rulesChanged = std::ranges::any_of(changed, [](const version::EntryKey &key) {
        return key.kind == version::EntryKind::Rules;
    });
    if (const auto *rules = directory.rules(); rules != nullptr && rulesChanged) {
        updateRoutes(*rules);
    }
}

void FlowForwarder::setPosition(const FleetPosition &position, TimePoint now)
{
    m_policy.setPosition(position, now);
    m_gate.setPosition(position);
    m_upstreams.setHasPeers(position.zonePeers >= MinRefutingPeers);
    m_load.setZoneInstances(position.zonePeers + 1);
}

void FlowForwarder::setConfirmedAt(TimePoint time)
{
    if (time - m_confirmedAt > MaxConfirmationGap) {
        m_confirmedSince = time;
    }
    m_confirmedAt = time;
    m_upstreams.confirmRecords(time);
}

PacketVerdict FlowForwarder::handle(const FlowPacket &packet, TimePoint now)
{
    if (!packet.opens && isPastWithdrawalLimit(packet, now)) {
        return DropPacket { Reason::ZoneWithdrawn };
    }
    const auto observation = m_observer.observe(packet, now);
    recordObservation(packet, observation, now);
    if (packet.opens) {
        return open(packet, observation, now);
    }
    return forward(packet, observation, now);
}

void FlowForwarder::removeExpired(TimePoint now)
{
    m_upstreams.removeExpired(now);
    m_policy.removeExpired(now);
    std::erase_if(m_unknownTokens,
                  [&](const auto &item) { return now - item.second > UnknownTokenRetention; });
}

void FlowForwarder::refreshLoad(TimePoint now)
{
    m_load.refresh(now);
    m_policy.setDemands(m_load.demands(now), now);
}

bool FlowForwarder::isPastWithdrawalLimit(const FlowPacket &packet, TimePoint now)
{
    const auto *upstream = m_upstreams.find(packet.token);
    if (!m_options.openFlowsAfterWithdrawal || upstream == nullptr) {
        return false;
    }
    const auto since = m_upstreams.withdrawnAt(upstream->record.zone);
    return since && now - *since >= *m_options.openFlowsAfterWithdrawal;
}

PacketVerdict FlowForwarder::open(const FlowPacket &packet, const FlowObservation &observation,
                                  TimePoint now)
{
    const auto *route = routeOf(packet);
    if (route == nullptr) {
        // While the directory is not current, the service may be missing because it is new.
        if (isDirectoryCurrent(now)) {
            return ResetFlow { Reason::UnknownService };
        }
        return DropPacket { Reason::UnknownService };
    }
    const auto hash = flowHashOf(packet);
    const bool isByContract = m_options.choice == UpstreamChoice::ByContract;
    const auto admitted = admit(*route, packet, observation, now);
    if (const auto *refused = std::get_if<OpeningRefused>(&admitted)) {
        m_lastRefusal = *refused;
        return ResetFlow { Reason::NoRoom };
    }
    const Opening opening { .service = std::get<common::ServiceId>(admitted),
                            .flowHash = hash,
                            .retransmissions = packet.acknowledgement,
                            .avoidedToken = observation.upstream,
                            .responseAim =
                                    isByContract ? route->record.terms.responseAim : std::nullopt,
                            .usualTime = m_load.usualTime({ packet.service }) };
    auto *upstream = m_policy.choose(opening, now);
    if (upstream == nullptr) {
        return ResetFlow { Reason::NoUpstream };
    }
    m_observer.recordOpening(packet, upstream->token, now);
    return ForwardPacket { upstream->record.endpoint, upstream->record.serial, upstream->token,
                           upstream->record.zone };
}

AdmissionGate::Verdict FlowForwarder::admit(const Route &route, const FlowPacket &packet,
                                            const FlowObservation &observation, TimePoint now)
{
    const auto hash = flowHashOf(packet);
    if (!usesAdmission()) {
        return ServiceSelection::byWeight(route.record.shares, hash);
    }
    const auto *previous = m_upstreams.find(observation.upstream);
    return m_gate.decide({ .route = route.record,
                           .flowHash = hash,
                           .callerAddress = packet.caller.address,
                           .previousService = previous == nullptr
                                   ? std::nullopt
                                   : std::optional(previous->record.service),
                           .isRetransmission = packet.acknowledgement > 0,
                           .usualTime = route.usualTime },
                         now);
}

void FlowForwarder::updateAdmission(const std::vector<ServiceDemand> &demands,
                                    common::WallTime wallTime, TimePoint now)
{
    if (!usesAdmission() || !m_gate.isUpdateDue(now)) {
        return;
    }
    m_gate.admission().setClock(wallTime, now);
    updateUsualTimes();
    std::vector<const version::RouteRecord *> routes;
    std::ranges::transform(m_routes, std::back_inserter(routes),
                           [](const auto &item) { return &item.second.record; });
    m_gate.update(routes, demands, now);
}

void FlowForwarder::updateUsualTimes()
{
    for (auto &[address, route] : m_routes) {
        const auto known = m_load.usualTime({ address });
        const auto service = route.record.shares.front().service;
        const auto mean = m_upstreams.serviceResponseTime(service).mean();
        route.usualTime = known > common::Duration()
                ? known
                : common::Duration(static_cast<std::int64_t>(mean));
    }
}

void FlowForwarder::recordUnansweredOpening(const FlowPacket &packet,
                                            const TrackedUpstream &upstream)
{
    const auto *route = routeOf(packet);
    if (route != nullptr && usesAdmission()) {
        m_gate.recordAnswer(route->record, upstream.record.service, route->usualTime, {});
    }
}

PacketVerdict FlowForwarder::forward(const FlowPacket &packet, const FlowObservation &observation,
                                     TimePoint now)
{
    if (packet.token == common::FlowToken()) {
        return DropPacket { Reason::UnknownFlow };
    }
    auto *upstream = m_upstreams.find(packet.token);
    if (upstream == nullptr) {
        return handleUnknown(packet, now);
    }
    // After the reset, a caller of a repeatable request opens a new flow if its time budget allows.
    // Other requests may still be running, so their flows are not reset.
    if (mayRetryRequest(packet) && packet.payloadBytes > 0
        && shouldReset(*upstream, observation.isRetransmission, now)) {
        m_load.onFlowEnded(observation.flow, now);
        return ResetFlow { Reason::UpstreamSilent };
    }
    return ForwardPacket { upstream->record.endpoint, upstream->record.serial, packet.token,
                           upstream->record.zone,
                           packet.payloadBytes > 0 && !observation.isRetransmission };
}

PacketVerdict FlowForwarder::handleUnknown(const FlowPacket &packet, TimePoint now)
{
    if (m_unknownTokens.size() >= MaxUnknownTokens) {
        return DropPacket { Reason::UnknownFlow };
    }
    const auto firstSeen = m_unknownTokens.try_emplace(packet.token, now).first->second;
    const auto unknownSince = std::max(firstSeen, m_confirmedSince);
    const bool entryHadTimeToArrive = now - unknownSince >= UnknownTokenTimeout
            && m_confirmedAt > unknownSince && isDirectoryCurrent(now);
    if (entryHadTimeToArrive && mayRetryRequest(packet) && !packet.resets) {
        return ResetFlow { Reason::UpstreamLost };
    }
    return DropPacket { Reason::UnknownFlow };
}

void FlowForwarder::recordObservation(const FlowPacket &packet, const FlowObservation &observation,
                                      TimePoint now)
{
    auto *upstream = m_upstreams.find(observation.upstream);
    if (upstream == nullptr) {
        return;
    }
    if (observation.hasResponse) {
        recordResponse(*upstream, observation.openSince, now);
    }
    if (observation.responseTime) {
        m_upstreams.zoneHealth(upstream->record.zone).onRequestAnswered(now);
        m_upstreams.serviceResponseTime(upstream->record.service)
                .addSample(*observation.responseTime, now);
        upstream->responseTime.addSample(*observation.responseTime, now);
        m_onResponseTime(*observation.responseTime);
    }
    if (observation.isRetransmission) {
        recordRetransmission(*upstream, packet, now);
    }
    if (observation.beginsRequest || observation.endsRequest
        || observation.handshakeTime > common::Duration()) {
        recordRequest(packet, observation, *upstream, now);
    }
}

void FlowForwarder::recordRequest(const FlowPacket &packet, const FlowObservation &observation,
                                  const TrackedUpstream &upstream, TimePoint now)
{
    const auto *route = routeOf(packet);
    if (route == nullptr || !route->record.terms.responseAim) {
        return;
    }
    if (observation.handshakeTime > common::Duration()) {
        m_load.onFlowOpened(upstream, observation.handshakeTime);
    }
    const RequestKind kind { packet.service, observation.sizeClass };
    if (const auto time = observation.answerTime()) {
        m_load.onAnswer(kind, upstream, observation.flow, *time, now);
    } else if (observation.endsRequest) {
        m_load.onFlowEnded(observation.flow, now);
    }
    if (observation.answeredBytes > 0 && usesAdmission()) {
        m_gate.recordAnswer(route->record, upstream.record.service, route->usualTime,
                            { observation.responseTime, observation.answeredBytes });
    }
    if (observation.beginsRequest) {
        m_load.onRequest(kind, upstream, observation.flow, now);
    }
}

void FlowForwarder::recordResponse(TrackedUpstream &upstream, TimePoint flowOpenSince,
                                   TimePoint now)
{
    if (m_upstreams.zoneHealth(upstream.record.zone).isUnreachable(now)) {
        m_upstreams.expediteProbes(upstream.record.zone, now);
    }
    if (upstream.health.isSuspected(now)) {
        m_report.recovered.push_back(upstream.record.serial);
    }
    if (upstream.health.isSilent(now)) {
        recordRecovery(upstream, flowOpenSince, now);
    }
    m_upstreams.onResponse(upstream, flowOpenSince);
    upstream.health.onResponse(now);
    m_upstreams.recordResponse(upstream.record.zone, now);
    if (now - m_lastResponseAt > IsolationTimeout) {
        m_silentUntil = now;
    }
    m_lastResponseAt = now;
}

void FlowForwarder::recordRecovery(TrackedUpstream &upstream, TimePoint flowOpenSince,
                                   TimePoint now)
{
    // A current directory shows the restarts of upstreams behind a path that has failed. An older
    // one does not, so that a single retransmission without a response counts.
    const bool isDirectoryRecent = now - m_confirmedAt <= MaxRecordDelay;
    const bool isPathSuspected = !wasSilentAlone(upstream, now);
    if (isDirectoryRecent && (isPathSuspected || !upstream.health.isSuspected(now))) {
        return;
    }
    const AssumedRestart restart { upstream.record.serial, upstream.health.silentSince(), now,
                                   isPathSuspected };
    if (m_upstreams.assumeRestart(restart) && !restart.isRefutedBy(flowOpenSince)) {
        m_report.assumedRestarts.push_back(restart);
    }
}

bool FlowForwarder::wasSilentAlone(const TrackedUpstream &upstream, TimePoint now)
{
    const auto since = upstream.health.silentSince();
    const auto &zone = m_upstreams.zoneHealth(upstream.record.zone);
    const bool wasInstanceSilent =
            now - m_lastResponseAt > IsolationTimeout || m_silentUntil > since;
    return !wasInstanceSilent && !zone.isSilent(now) && zone.silentUntil() <= since;
}

bool FlowForwarder::isRestartPossible(const AssumedRestart &restart, TimePoint now)
{
    if (restart.isShownBy(m_confirmedAt)) {
        return false;
    }
    const auto *upstream = findBySerial(restart.upstream);
    if (upstream == nullptr || now - m_confirmedAt > MaxRecordDelay) {
        return true;
    }
    const auto lastResponse = upstream->health.lastResponse();
    return lastResponse <= restart.silentSince || lastResponse >= restart.respondedAt;
}

void FlowForwarder::recordRetransmission(TrackedUpstream &upstream, const FlowPacket &packet,
                                         TimePoint now)
{
    if (packet.opens) {
        m_report.upstreams.push_back(upstream.record.serial);
        upstream.health.onOpeningRetransmitted(now);
        recordUnansweredOpening(packet, upstream);
    } else {
        recordWaitingFlow(upstream, packet, now);
        upstream.health.onDataRetransmitted(flowHashOf(packet), now);
    }
    recordZoneRetransmission(upstream, now);
}

void FlowForwarder::recordWaitingFlow(const TrackedUpstream &upstream, const FlowPacket &packet,
                                      TimePoint now)
{
    const WaitingFlow waiting { upstream.record.serial, flowHashOf(packet) };
    auto &flows = m_report.waitingFlows;
    if (flows.size() < MaxReportedFlows && std::ranges::find(flows, waiting) == flows.end()) {
        flows.push_back(waiting);
    }
    if (!mayRetryRequest(packet)) {
        return;
    }
    std::erase_if(m_retransmissions, [&](const Retransmission &other) {
        return other.packet.caller == packet.caller && other.packet.service == packet.service;
    });
    if (m_retransmissions.size() < MaxRetransmissions) {
        m_retransmissions.push_back({ packet, now });
    }
}

void FlowForwarder::findOutliers(TimePoint now)
{
    findUnopenedFlows(now);
    if (now < m_nextOutlierScan) {
        return;
    }
    m_nextOutlierScan = now + OutlierScanInterval;
    findOverdueFlows(now);
    m_outliers.removeExpired(now);
    std::vector<common::FlowToken> outliers;
    for (const auto service : m_outliers.services()) {
        const auto groupSize = m_upstreams.ofService(service).size();
        std::ranges::copy(m_outliers.evaluate(service, groupSize, now),
                          std::back_inserter(outliers));
    }
    std::ranges::copy(m_upstreams.setOutliers(outliers), std::back_inserter(m_report.outliers));
}

void FlowForwarder::findUnopenedFlows(TimePoint now)
{
    // Packets of the callers that wait in the socket may go on with their flows.
    const auto readUpTo = std::min(now, m_packetsReadUpTo);
    m_observer.visitUnopened(readUpTo - MaxOpeningTime, [&](common::FlowToken token) {
        auto *upstream = m_upstreams.find(token);
        if (upstream == nullptr || !m_servicesWithAim.contains(upstream->record.service)) {
            return;
        }
        upstream->health.onOpeningReset(now);
        if (m_unopened.size() < MaxReportedFlows) {
            m_unopened.push_back(upstream->record.serial);
        }
    });
}

void FlowForwarder::findOverdueFlows(TimePoint now)
{
    m_observer.visitWaiting(now - MinOverdueTime,
                            [&](common::FlowToken token, std::uint64_t flow, TimePoint since) {
                                const auto *upstream = m_upstreams.find(token);
                                if (upstream == nullptr) {
                                    return false;
                                }
                                const auto &record = upstream->record;
                                const auto meanResponseTime =
                                        m_upstreams.serviceResponseTime(record.service).mean();
                                const std::chrono::duration<double, std::micro> waited =
                                        now - since;
                                if (waited.count() < meanResponseTime * OverdueFactor) {
                                    return false;
                                }
                                m_outliers.recordOverdueFlow(record.service, token, flow, now);
                                if (m_report.overdueFlows.size() < MaxReportedFlows) {
                                    m_report.overdueFlows.push_back({ record.serial, flow });
                                }
                                return true;
                            });
}

std::vector<FlowPacket> FlowForwarder::takeFlowsToReset(TimePoint now)
{
    std::vector<FlowPacket> flowsToReset;
    std::erase_if(m_retransmissions, [&](const Retransmission &retransmission) {
        auto *upstream = m_upstreams.find(retransmission.packet.token);
        const bool isObsolete = now - retransmission.at > RetransmissionRetention
                || upstream == nullptr || !m_observer.isWaiting(retransmission.packet);
        if (isObsolete || !shouldReset(*upstream, true, now)) {
            return isObsolete;
        }
        m_load.onFlowEnded(FlowObserver::flowOf(retransmission.packet), now);
        flowsToReset.push_back(retransmission.packet);
        return true;
    });
    return flowsToReset;
}

bool FlowForwarder::mayRetryRequest(const FlowPacket &packet) const
{
    const auto *route = routeOf(packet);
    return route != nullptr && route->record.repeatable;
}

void FlowForwarder::recordZoneRetransmission(const TrackedUpstream &upstream, TimePoint now)
{
    if (upstream.record.zone == m_options.ownZone) {
        return;
    }
    m_upstreams.zoneHealth(upstream.record.zone).onRetransmission(upstream.token, now);
}

PassiveHealthReport FlowForwarder::takeHealthReport(TimePoint now)
{
    auto report = std::exchange(m_report, {});
    report.zones = m_upstreams.zonesToReport(now);
    if (now >= m_nextUnopenedReport && !m_unopened.empty()) {
        m_nextUnopenedReport = now + UnopenedReportInterval;
        report.unopened = std::exchange(m_unopened, {});
    }
    for (const auto &waiting : report.waitingFlows) {
        if (auto *upstream = findBySerial(waiting.upstream)) {
            upstream->health.onReportSent(now);
        }
    }
    return report;
}

PassiveHealthReport FlowForwarder::restartReport(TimePoint now)
{
    auto restarts = m_upstreams.assumedRestarts(now);
    // The latest ones stay cold for the longest time.
    std::ranges::sort(restarts, std::greater {}, &AssumedRestart::respondedAt);
    restarts.resize(std::min(restarts.size(), MaxReportedRestarts));
    return { .assumedRestarts = std::move(restarts) };
}

PassiveHealthReport FlowForwarder::onPeerHealthReport(const PassiveHealthReport &report,
                                                      TimePoint now)
{
    applyPeerObservations(report, now);
    PassiveHealthReport refutations;
    refuteUpstreams(report, refutations, now);
    refuteZones(report, refutations, now);
    return refutations;
}

void FlowForwarder::applyPeerObservations(const PassiveHealthReport &report, TimePoint now)
{
    for (const auto serial : report.upstreams) {
        if (auto *upstream = findBySerial(serial)) {
            upstream->health.onPeerOpeningRetransmitted(now);
            recordZoneRetransmission(*upstream, now);
        }
    }
    for (const auto serial : report.unopened) {
        if (auto *upstream = findBySerial(serial)) {
            upstream->health.onPeerOpeningReset(now);
        }
    }
    for (const auto &overdue : report.overdueFlows) {
        if (const auto *upstream = findBySerial(overdue.upstream)) {
            m_outliers.recordOverdueFlow(upstream->record.service, upstream->token, overdue.flow,
                                         now);
        }
    }
    for (const auto serial : report.recovered) {
        if (auto *upstream = findBySerial(serial)) {
            upstream->health.onPeerResponse(now);
        }
    }
    for (const auto &responding : report.respondingUpstreams) {
        if (auto *upstream = findBySerial(responding.upstream)) {
            upstream->health.onPeerResponse(now - responding.age);
        }
    }
    for (const auto &restart : report.assumedRestarts) {
        if (isRestartPossible(restart, now) && m_upstreams.assumeRestart(restart)) {
            m_learnedRestarts.push_back(restart);
        }
    }
    for (const auto &responding : report.respondingZones) {
        m_upstreams.zoneHealth(responding.zone).onPeerResponse(now - responding.age);
    }
}

void FlowForwarder::refuteUpstreams(const PassiveHealthReport &report,
                                    PassiveHealthReport &refutations, TimePoint now)
{
    for (const auto &waiting : report.waitingFlows) {
        auto *upstream = findBySerial(waiting.upstream);
        if (upstream == nullptr) {
            continue;
        }
        if (const auto age = upstream->health.refutation(now)) {
            refutations.respondingUpstreams.push_back({ waiting.upstream, *age });
        } else {
            upstream->health.onPeerDataRetransmitted(waiting.flow, now);
            recordZoneRetransmission(*upstream, now);
        }
    }
}

void FlowForwarder::refuteZones(const PassiveHealthReport &report, PassiveHealthReport &refutations,
                                TimePoint now)
{
    for (const auto zone : report.zones) {
        auto &health = m_upstreams.zoneHealth(zone);
        if (const auto age = health.refutation(now)) {
            refutations.respondingZones.push_back({ zone, *age });
        } else {
            health.onPeerReportedUnreachable(now);
        }
    }
}

TrackedUpstream *FlowForwarder::findBySerial(common::UpstreamSerial serial)
{
    auto *upstream = m_upstreams.find(tokenOf(serial));
    return upstream != nullptr && upstream->record.serial == serial ? upstream : nullptr;
}

bool FlowForwarder::shouldReset(TrackedUpstream &upstream, bool isRetransmission, TimePoint now)
{
    const auto &zone = m_upstreams.zoneHealth(upstream.record.zone);
    if (!isRetransmission) {
        // Some upstreams may be reachable although the rest of their zone is not. At the first
        // transmission of a packet, the flow is reset only if callers have recently retransmitted
        // packets to this upstream.
        return zone.isConfirmedUnreachable(now) && upstream.health.hasRecentRetransmissions(now);
    }
    // An instance that gets no responses at all cannot judge a single upstream.
    const bool hasRecentResponse = now - m_lastResponseAt < IsolationTimeout;
    const bool isUnresponsive =
            upstream.health.isUnresponsive(now) || upstream.health.isUnresponsiveToZone(now);
    return (hasRecentResponse && isUnresponsive) || zone.isUnrefuted(now);
}

bool FlowForwarder::isDirectoryCurrent(TimePoint now) const
{
    return now - m_confirmedAt < MaxDirectoryAge;
}

const FlowForwarder::Route *FlowForwarder::routeOf(const FlowPacket &packet) const
{
    const auto found = m_routes.find(packet.service);
    return found == m_routes.end() ? nullptr : &found->second;
}

void FlowForwarder::updateRoutes(const version::RulesRecord &rules)
{
    m_routes.clear();
    m_servicesWithAim.clear();
    for (const auto &record : rules.routes) {
        const bool hasWeight = std::ranges::any_of(
                record.shares, [](const auto &share) { return share.weight > 0; });
        if (hasWeight) {
            m_routes.emplace(record.address, Route { record });
        }
        if (record.terms.responseAim && m_options.choice == UpstreamChoice::ByContract) {
            std::ranges::transform(record.shares,
                                   std::inserter(m_servicesWithAim, m_servicesWithAim.end()),
                                   &version::ServiceShare::service);
        }
    }
    updateUsualTimes();
}

} // namespace banyanwall::connection
