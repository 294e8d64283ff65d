#include "connection/flowforwarder.h"

#include "common/hash.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace banyanwall::connection {

using common::Reason;
using common::TimePoint;

namespace {

// News pass from the store to all instances well within this time while the fleet is healthy.
constexpr std::chrono::seconds CurrentNewsAge { 3 };
// An upstream whose entry lapsed while the store was away is back within two seconds of its return.
constexpr std::chrono::milliseconds UnknownTokenWait { 2'200 };
// News that are confirmed less often than this leave a gap in which entries may have lapsed.
constexpr std::chrono::milliseconds LongestConfirmationGap { 1'500 };
constexpr std::chrono::seconds UnknownTokenMemory { 10 };
// An upstream writes its record when it starts, and news travel well within this time.
constexpr std::chrono::milliseconds RecordDelay { 1'000 };
// Answers that take this many times the usual are rare behind upstreams that work: the work of
// requests varies by half of its mean.
constexpr double TimesTheUsual = 6.0;
// Callers repeat lost packets after 200 ms; an answer that took one repetition is not overdue.
constexpr std::chrono::milliseconds ShortestOverdue { 300 };
constexpr std::chrono::milliseconds ScanInterval { 200 };
// One peer alone may be stopping, or be cut off as well.
constexpr std::uint32_t EnoughPeers = 2;
// The smallest instances of today get 14 requests a second.
constexpr std::chrono::milliseconds OwnSilence { 500 };
// A report of so many flows fits into one datagram.
constexpr std::size_t MaxReportedFlows = 60;
// Flows that wait at the same time; a small instance has a few hundred in all.
constexpr std::size_t MaxRepeated = 256;
// Callers repeat data at most this long after the time before while their time budget lasts.
constexpr std::chrono::milliseconds RepeatedMemory { 1'600 };
// Bounds the memory that forged tokens can take.
constexpr std::size_t MaxUnknownTokens = 1'024;

std::uint64_t flowHashOf(const FlowPacket &packet)
{
    const std::hash<common::Endpoint> hash;
    return common::hashPair(hash(packet.caller), hash(packet.service));
}

} // namespace

FlowForwarder::FlowForwarder(const Options &options, AnswerTimeSink onAnswerTime)
    : m_options(options)
    , m_onAnswerTime(std::move(onAnswerTime))
    , m_upstreams(options.instance)
    , m_policy(m_upstreams)
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
    m_upstreams.setHasPeers(position.zonePeers >= EnoughPeers);
}

void FlowForwarder::setAssuredAt(TimePoint time)
{
    if (time - m_assuredAt > LongestConfirmationGap) {
        m_confirmedSince = time;
    }
    m_assuredAt = time;
    if (m_coldAssumedAt && time - *m_coldAssumedAt > RecordDelay) {
        m_coldAssumedAt.reset();
        m_upstreams.forgetAssumedCold();
    }
}

PacketVerdict FlowForwarder::handle(const FlowPacket &packet, TimePoint now)
{
    if (!packet.opens && isEndedByWithdrawal(packet, now)) {
        return DropPacket { Reason::ZoneWithdrawn };
    }
    const auto seen = m_observer.observe(packet, now);
    noteEvidence(packet, seen, now);
    if (packet.opens) {
        return open(packet, seen, now);
    }
    return forward(packet, seen, now);
}

void FlowForwarder::forgetOld(TimePoint now)
{
    m_upstreams.forgetOld(now);
    m_policy.forgetOld(now);
    std::erase_if(m_unknownTokens,
                  [&](const auto &item) { return now - item.second > UnknownTokenMemory; });
}

bool FlowForwarder::isEndedByWithdrawal(const FlowPacket &packet, TimePoint now)
{
    const auto *upstream = m_upstreams.find(packet.token);
    if (!m_options.openFlowsAfterWithdrawal || upstream == nullptr) {
        return false;
    }
    const auto since = m_upstreams.withdrawnAt(upstream->record.zone);
    return since && now - *since >= *m_options.openFlowsAfterWithdrawal;
}

PacketVerdict FlowForwarder::open(const FlowPacket &packet, const FlowObservation &seen,
                                  TimePoint now)
{
    const auto *route = routeOf(packet);
    if (route == nullptr) {
        // Without current news the route may be one that was just added.
        if (isCurrent(now)) {
            return ResetFlow { Reason::UnknownService };
        }
        return DropPacket { Reason::UnknownService };
    }
    const auto hash = flowHashOf(packet);
    auto *upstream = m_policy.choose(serviceOf(*route, hash), hash, packet.acknowledgement,
                                     seen.upstream, now);
    if (upstream == nullptr) {
        return ResetFlow { Reason::NoUpstream };
    }
    m_observer.noteOpening(packet, upstream->token, now);
    return ForwardPacket { upstream->record.endpoint, upstream->record.serial, upstream->token,
                           upstream->record.zone };
}

PacketVerdict FlowForwarder::forward(const FlowPacket &packet, const FlowObservation &seen,
                                     TimePoint now)
{
    if (packet.token == common::FlowToken()) {
        return DropPacket { Reason::UnknownFlow };
    }
    auto *upstream = m_upstreams.find(packet.token);
    if (upstream == nullptr) {
        return handleUnknown(packet, now);
    }
    // A caller with time left opens a new flow; other requests may run and are not broken off.
    if (mayRunAgain(packet) && packet.payloadBytes > 0
        && shouldClose(*upstream, seen.isRepeated, now)) {
        return ResetFlow { Reason::UpstreamSilent };
    }
    return ForwardPacket { upstream->record.endpoint, upstream->record.serial, packet.token,
                           upstream->record.zone, packet.payloadBytes > 0 && !seen.isRepeated };
}

PacketVerdict FlowForwarder::handleUnknown(const FlowPacket &packet, TimePoint now)
{
    if (m_unknownTokens.size() >= MaxUnknownTokens) {
        return DropPacket { Reason::UnknownFlow };
    }
    const auto firstSeen = m_unknownTokens.try_emplace(packet.token, now).first->second;
    const auto unknownSince = std::max(firstSeen, m_confirmedSince);
    const bool wouldBeKnown =
            now - unknownSince >= UnknownTokenWait && m_assuredAt > unknownSince && isCurrent(now);
    if (wouldBeKnown && mayRunAgain(packet) && !packet.resets) {
        return ResetFlow { Reason::UpstreamLost };
    }
    return DropPacket { Reason::UnknownFlow };
}

void FlowForwarder::noteEvidence(const FlowPacket &packet, const FlowObservation &seen,
                                 TimePoint now)
{
    auto *upstream = m_upstreams.find(seen.upstream);
    if (upstream == nullptr) {
        return;
    }
    if (seen.isHeard) {
        noteHeard(*upstream, now);
    }
    if (seen.answerTime) {
        m_upstreams.zoneHealth(upstream->record.zone).onAnswered(now);
        m_upstreams.serviceAnswerTime(upstream->record.service).add(*seen.answerTime, now);
        upstream->answerTime.add(*seen.answerTime, now);
        m_onAnswerTime(*seen.answerTime);
    }
    if (seen.isRepeated) {
        noteRepeated(*upstream, packet, now);
    }
}

void FlowForwarder::noteHeard(KnownUpstream &upstream, TimePoint now)
{
    if (m_upstreams.zoneHealth(upstream.record.zone).isUnreachable(now)) {
        m_upstreams.expediteProbes(upstream.record.zone, now);
    }
    if (upstream.health.isSuspected(now)) {
        m_reports.recovered.push_back(upstream.record.serial);
        noteRecovered(upstream, now);
    }
    upstream.health.onHeard(now);
    m_upstreams.noteHeard(upstream.record.zone, now);
    m_lastHeardAt = now;
}

void FlowForwarder::noteRecovered(KnownUpstream &upstream, TimePoint now)
{
    if (now - m_assuredAt > RecordDelay) {
        m_coldAssumedAt = now;
        m_upstreams.assumeCold(upstream, now);
    }
}

void FlowForwarder::noteRepeated(KnownUpstream &upstream, const FlowPacket &packet, TimePoint now)
{
    if (packet.opens) {
        m_reports.upstreams.push_back(upstream.record.serial);
        upstream.health.onOpeningRepeated(now);
    } else {
        noteWaiting(upstream, packet, now);
        upstream.health.onDataRepeated(flowHashOf(packet), now);
    }
    noteZoneRepeat(upstream, now);
}

void FlowForwarder::noteWaiting(const KnownUpstream &upstream, const FlowPacket &packet,
                                TimePoint now)
{
    const WaitingFlow waiting { upstream.record.serial, flowHashOf(packet) };
    auto &flows = m_reports.waitingFlows;
    if (flows.size() < MaxReportedFlows && std::ranges::find(flows, waiting) == flows.end()) {
        flows.push_back(waiting);
    }
    if (!mayRunAgain(packet)) {
        return;
    }
    std::erase_if(m_repeated, [&](const Repeated &other) {
        return other.packet.caller == packet.caller && other.packet.service == packet.service;
    });
    if (m_repeated.size() < MaxRepeated) {
        m_repeated.push_back({ packet, now });
    }
}

void FlowForwarder::findOutliers(TimePoint now)
{
    if (now < m_nextScan) {
        return;
    }
    m_nextScan = now + ScanInterval;
    noteOverdue(now);
    m_outliers.forgetOld(now);
    std::vector<common::FlowToken> outliers;
    for (const auto service : m_outliers.services()) {
        const auto groupSize = m_upstreams.ofService(service).size();
        std::ranges::copy(m_outliers.judge(service, groupSize, now), std::back_inserter(outliers));
    }
    std::ranges::copy(m_upstreams.setOutliers(outliers), std::back_inserter(m_reports.outliers));
}

void FlowForwarder::noteOverdue(TimePoint now)
{
    m_observer.visitWaiting(now - ShortestOverdue,
                            [&](common::FlowToken token, std::uint64_t flow, TimePoint since) {
                                const auto *upstream = m_upstreams.find(token);
                                if (upstream == nullptr) {
                                    return false;
                                }
                                const auto &record = upstream->record;
                                const auto usual =
                                        m_upstreams.serviceAnswerTime(record.service).mean();
                                const std::chrono::duration<double, std::micro> waited =
                                        now - since;
                                if (waited.count() < usual * TimesTheUsual) {
                                    return false;
                                }
                                m_outliers.noteOverdue(record.service, token, flow, now);
                                if (m_reports.overdueFlows.size() < MaxReportedFlows) {
                                    m_reports.overdueFlows.push_back({ record.serial, flow });
                                }
                                return true;
                            });
}

std::vector<FlowPacket> FlowForwarder::takeHopeless(TimePoint now)
{
    std::vector<FlowPacket> hopeless;
    std::erase_if(m_repeated, [&](const Repeated &repeated) {
        auto *upstream = m_upstreams.find(repeated.packet.token);
        const bool isOver = now - repeated.at > RepeatedMemory || upstream == nullptr
                || !m_observer.isWaiting(repeated.packet);
        if (isOver || !shouldClose(*upstream, true, now)) {
            return isOver;
        }
        hopeless.push_back(repeated.packet);
        return true;
    });
    return hopeless;
}

bool FlowForwarder::mayRunAgain(const FlowPacket &packet) const
{
    const auto *route = routeOf(packet);
    return route != nullptr && route->record.repeatable;
}

void FlowForwarder::noteZoneRepeat(const KnownUpstream &upstream, TimePoint now)
{
    if (upstream.record.zone == m_options.ownZone) {
        return;
    }
    m_upstreams.zoneHealth(upstream.record.zone).onRepeated(upstream.token, now);
}

SilenceReports FlowForwarder::takeReports(TimePoint now)
{
    auto reports = std::exchange(m_reports, {});
    reports.zones = m_upstreams.zonesToReport(now);
    for (const auto &waiting : reports.waitingFlows) {
        if (auto *upstream = findSerial(waiting.upstream)) {
            upstream->health.onReported(now);
        }
    }
    return reports;
}

SilenceReports FlowForwarder::onPeerReports(const SilenceReports &reports, TimePoint now)
{
    takePeerEvidence(reports, now);
    SilenceReports objections;
    objectToUpstreams(reports, objections, now);
    objectToZones(reports, objections, now);
    return objections;
}

void FlowForwarder::takePeerEvidence(const SilenceReports &reports, TimePoint now)
{
    for (const auto serial : reports.upstreams) {
        if (auto *upstream = findSerial(serial)) {
            upstream->health.onPeerReport(now);
            noteZoneRepeat(*upstream, now);
        }
    }
    for (const auto &overdue : reports.overdueFlows) {
        if (const auto *upstream = findSerial(overdue.upstream)) {
            m_outliers.noteOverdue(upstream->record.service, upstream->token, overdue.flow, now);
        }
    }
    for (const auto serial : reports.recovered) {
        if (auto *upstream = findSerial(serial)) {
            upstream->health.onPeerHeard(now);
            noteRecovered(*upstream, now);
        }
    }
    for (const auto &heard : reports.heardUpstreams) {
        if (auto *upstream = findSerial(heard.upstream)) {
            upstream->health.onPeerHeard(now - heard.age);
        }
    }
    for (const auto &heard : reports.heardZones) {
        m_upstreams.zoneHealth(heard.zone).onPeerHeard(now - heard.age);
    }
}

void FlowForwarder::objectToUpstreams(const SilenceReports &reports, SilenceReports &objections,
                                      TimePoint now)
{
    for (const auto &waiting : reports.waitingFlows) {
        auto *upstream = findSerial(waiting.upstream);
        if (upstream == nullptr) {
            continue;
        }
        if (const auto age = upstream->health.objection(now)) {
            objections.heardUpstreams.push_back({ waiting.upstream, *age });
        } else {
            upstream->health.onPeerDataRepeated(waiting.flow, now);
            noteZoneRepeat(*upstream, now);
        }
    }
}

void FlowForwarder::objectToZones(const SilenceReports &reports, SilenceReports &objections,
                                  TimePoint now)
{
    for (const auto zone : reports.zones) {
        auto &health = m_upstreams.zoneHealth(zone);
        if (const auto age = health.objection(now)) {
            objections.heardZones.push_back({ zone, *age });
        } else {
            health.onPeerReport(now);
        }
    }
}

KnownUpstream *FlowForwarder::findSerial(common::UpstreamSerial serial)
{
    auto *upstream = m_upstreams.find(tokenOf(serial));
    return upstream != nullptr && upstream->record.serial == serial ? upstream : nullptr;
}

bool FlowForwarder::shouldClose(KnownUpstream &upstream, bool isRepeated, TimePoint now)
{
    const auto &zone = m_upstreams.zoneHealth(upstream.record.zone);
    if (!isRepeated) {
        // Single upstreams may be reached although the rest of their zone is not.
        return zone.isConfirmedUnreachable(now) && upstream.health.hasEvidence(now);
    }
    // An instance that hears nobody learns nothing about a single upstream.
    const bool isReached = now - m_lastHeardAt < OwnSilence;
    const bool isSilent = upstream.health.isSilent(now) || upstream.health.isUncontestedSilent(now);
    return (isReached && isSilent) || zone.isUncontested(now);
}

bool FlowForwarder::isCurrent(TimePoint now) const
{
    return now - m_assuredAt < CurrentNewsAge;
}

const FlowForwarder::Route *FlowForwarder::routeOf(const FlowPacket &packet) const
{
    const auto found = m_routes.find(packet.service);
    return found == m_routes.end() ? nullptr : &found->second;
}

common::ServiceId FlowForwarder::serviceOf(const Route &route, std::uint64_t flowHash)
{
    // Another part of the hash than the one that ranks the upstreams.
    auto position = common::mixBits(flowHash) % route.totalWeight;
    for (const auto &share : route.record.shares) {
        if (position < share.weight) {
            return share.service;
        }
        position -= share.weight;
    }
    return route.record.shares.back().service;
}

void FlowForwarder::updateRoutes(const version::RulesRecord &rules)
{
    m_routes.clear();
    for (const auto &record : rules.routes) {
        const auto total = std::accumulate(
                record.shares.begin(), record.shares.end(), 0U,
                [](std::uint32_t sum, const auto &share) { return sum + share.weight; });
        if (total > 0) {
            m_routes.emplace(record.address, Route { record, total });
        }
    }
}

} // namespace banyanwall::connection
