#include "connection/openingpolicy.h"

#include "common/hash.h"
#include "connection/upstreamweight.h"

#include <algorithm>

namespace banyanwall::connection {

using common::FlowToken;
using common::TimePoint;

namespace {

// An upstream whose entry expired during a store outage registers again within two seconds of the
// store's return.
constexpr std::chrono::milliseconds ExpiryGracePeriod { 2'000 };
// The work of requests varies; a smaller ratio of response times occurs by chance.
constexpr double MinSlowerRatio = 1.5;
// A mean over some seconds is near its value after this time.
constexpr std::chrono::seconds DemandLearningTime { 2 };
// Less is no demand: about one short request in ten seconds.
constexpr double MinDemand = 0.001;
// Makes the division between zones independent of the ranking of upstreams.
constexpr std::uint64_t ZoneDivisionSeed = 0x7a6f6e65726f6f6dULL;

/// Position of a flow in the division between zones, from 0 to 1; the same at all instances.
double divisionPosition(std::uint64_t flowHash)
{
    constexpr double hashRange = 0x1p64;
    return static_cast<double>(common::hashPair(ZoneDivisionSeed, flowHash)) / hashRange;
}

} // namespace

OpeningPolicy::OpeningPolicy(UpstreamTable &upstreams)
    : m_upstreams(upstreams)
{ }

TrackedUpstream *OpeningPolicy::choose(const Opening &opening, TimePoint now)
{
    auto *chosen = choiceInOwnZone(opening, now);
    if (chosen == nullptr) {
        chosen = choiceInAllZones(opening, now);
    }
    if (chosen != nullptr) {
        recordOpening(*chosen, now);
    }
    return chosen;
}

TrackedUpstream *OpeningPolicy::choiceInOwnZone(const Opening &opening, TimePoint now)
{
    const auto busySlots = demandOf(opening.service, now);
    if (!opening.responseAim || opening.retransmissions > 0 || !busySlots) {
        return nullptr;
    }
    collectCandidates(opening, Scope::OwnZone, now);
    // Whether upstreams without an entry may be used depends on those of all zones.
    if (m_candidates.healthy.empty() || !m_expired.empty()) {
        return nullptr;
    }
    const ZoneDemand demand { busySlots, *opening.responseAim, opening.usualTime };
    const auto &pool = candidatesOf(m_position.zone, now).healthy;
    return hasRoomFor(pool, demand) ? highestWeighted(opening, true) : nullptr;
}

TrackedUpstream *OpeningPolicy::choiceInAllZones(const Opening &opening, TimePoint now)
{
    collectCandidates(opening, Scope::AllZones, now);
    auto avoidedToken = opening.avoidedToken;
    if (opening.retransmissions > 0 && avoidedToken == FlowToken()) {
        // Another instance received the first transmission and chose the same upstream as this
        // instance would have chosen.
        const auto *first = opening.responseAim
                ? choiceByLoad(opening, now)
                : highestRanked(m_candidates.healthy, opening.flowHash, 0, avoidedToken);
        avoidedToken = first == nullptr ? FlowToken() : first->token;
    }
    auto *chosen = opening.retransmissions == 0
            ? firstChoice(opening, now)
            : highestRanked(m_candidates.healthy, opening.flowHash, opening.retransmissions,
                            avoidedToken);
    if (chosen == nullptr) {
        chosen = highestRanked(m_candidates.suspected, opening.flowHash, opening.retransmissions,
                               avoidedToken);
    }
    return chosen;
}

void OpeningPolicy::setPosition(const FleetPosition &position, TimePoint now)
{
    m_position = position;
    m_coldAdmission.setFleet(position.instance, position.members, now);
}

inline OpeningPolicy::ZoneCandidates &OpeningPolicy::candidatesOf(common::ZoneId zone,
                                                                  TimePoint now)
{
    const auto found = std::ranges::find(m_candidates.zones, zone, &ZoneCandidates::zone);
    return found != m_candidates.zones.end() ? *found : addZone(zone, now);
}

inline void OpeningPolicy::addCandidate(TrackedUpstream &upstream, ZoneCandidates &zone,
                                        const Opening &opening, TimePoint now)
{
    const bool isCold = upstream.isCold(now);
    if (isCold && !isWithinColdLimit(upstream, now)) {
        return;
    }
    if (upstream.isOutlier || !zone.mayOpenFlow || !upstream.health.mayOpenFlow(now)) {
        m_candidates.suspected.push_back(&upstream);
        return;
    }
    m_candidates.healthy.push_back(&upstream);
    if (opening.responseAim) {
        const auto maxSlots =
                isCold ? coldSlots(upstream, opening.usualTime) : UpstreamPool::Unlimited;
        zone.healthy.add(upstream.record.slots, upstream.load.slowness, maxSlots);
    }
}

void OpeningPolicy::setDemands(const std::vector<ServiceDemand> &demands, TimePoint now)
{
    std::vector<KnownDemand> known;
    for (const auto &demand : demands) {
        const auto former = std::ranges::find(m_demands, demand.service,
                                              [](const auto &item) { return item.demand.service; });
        auto since = former == m_demands.end() ? std::nullopt : former->since;
        if (demand.busySlots < MinDemand) {
            since.reset();
        } else if (!since) {
            since = now;
        }
        known.push_back({ demand, since });
    }
    m_demands = std::move(known);
}

void OpeningPolicy::collectCandidates(const Opening &opening, Scope scope, TimePoint now)
{
    m_candidates.healthy.clear();
    m_candidates.suspected.clear();
    m_candidates.zones.clear();
    m_expired.clear();
    for (auto *upstream : m_upstreams.ofService(opening.service)) {
        if (scope == Scope::OwnZone && upstream->record.zone != m_position.zone) {
            continue;
        }
        auto &zone = candidatesOf(upstream->record.zone, now);
        if (upstream->record.draining || zone.isWithdrawn) {
            continue;
        }
        if (upstream->isRegistered) {
            addCandidate(*upstream, zone, opening, now);
        } else if (now - upstream->removedAt < ExpiryGracePeriod) {
            m_expired.push_back(upstream);
        }
    }
    // When more entries have expired than are registered, their upstreams most likely still run and
    // have lost the store.
    const auto registered = m_candidates.healthy.size() + m_candidates.suspected.size();
    if (m_expired.size() > registered) {
        for (auto *upstream : m_expired) {
            addCandidate(*upstream, candidatesOf(upstream->record.zone, now), opening, now);
        }
    }
}

OpeningPolicy::ZoneCandidates &OpeningPolicy::addZone(common::ZoneId zone, TimePoint now)
{
    return m_candidates.zones.emplace_back(ZoneCandidates {
            zone, m_upstreams.isWithdrawn(zone), m_upstreams.zoneHealth(zone).mayOpenFlow(now) });
}

bool OpeningPolicy::isWithinColdLimit(const TrackedUpstream &upstream, TimePoint now)
{
    const auto *rules = m_upstreams.serviceRules(upstream.record.service);
    return rules != nullptr
            && m_coldAdmission.admits(upstream.record.serial, rules->coldOpensPerSecond, now);
}

double OpeningPolicy::coldSlots(const TrackedUpstream &upstream, common::Duration usualTime) const
{
    const auto *rules = m_upstreams.serviceRules(upstream.record.service);
    const std::chrono::duration<double> time = usualTime;
    return rules == nullptr ? 0.0 : rules->coldOpensPerSecond * time.count();
}

void OpeningPolicy::recordOpening(TrackedUpstream &upstream, TimePoint now)
{
    upstream.health.onFlowOpened(now);
    m_upstreams.zoneHealth(upstream.record.zone).onFlowOpened(now);
    if (upstream.isCold(now)) {
        m_coldAdmission.recordOpening(upstream.record.serial, now);
    }
}

TrackedUpstream *OpeningPolicy::firstChoice(const Opening &opening, TimePoint now) const
{
    return opening.responseAim ? choiceByLoad(opening, now) : choiceByHash(opening.flowHash, now);
}

TrackedUpstream *OpeningPolicy::choiceByHash(std::uint64_t flowHash, TimePoint now) const
{
    auto *first = highestRanked(m_candidates.healthy, flowHash, 0, {});
    if (first == nullptr) {
        return nullptr;
    }
    return fasterOf(first, highestRanked(m_candidates.healthy, flowHash, 0, first->token), now);
}

TrackedUpstream *OpeningPolicy::choiceByLoad(const Opening &opening, TimePoint now) const
{
    return highestWeighted(opening, staysInOwnZone(opening, now));
}

TrackedUpstream *OpeningPolicy::highestWeighted(const Opening &opening, bool isInOwnZone) const
{
    WeightedRanking ranking(opening.flowHash);
    for (auto *upstream : m_candidates.healthy) {
        if ((upstream->record.zone == m_position.zone) == isInOwnZone) {
            ranking.add(*upstream);
        }
    }
    return soonerOf(ranking.ranked(), opening.usualTime);
}

bool OpeningPolicy::staysInOwnZone(const Opening &opening, TimePoint now) const
{
    UpstreamPool own;
    UpstreamPool others;
    std::uint32_t otherZones = 0;
    for (const auto &zone : m_candidates.zones) {
        if (zone.zone == m_position.zone) {
            own = zone.healthy;
        } else if (zone.healthy.upstreams > 0) {
            others.add(zone.healthy);
            ++otherZones;
        }
    }
    if (own.upstreams == 0 || otherZones == 0) {
        return own.upstreams > 0;
    }
    const ZoneDemand demand { .busySlots = demandOf(opening.service, now),
                              .responseAim = *opening.responseAim,
                              .usualTime = opening.usualTime };
    return divisionPosition(opening.flowHash) < ownZoneShare(own, others, otherZones, demand);
}

std::optional<double> OpeningPolicy::demandOf(common::ServiceId service, TimePoint now) const
{
    const auto known = std::ranges::find(m_demands, service,
                                         [](const auto &item) { return item.demand.service; });
    const bool isKnown =
            known != m_demands.end() && known->since && now - *known->since >= DemandLearningTime;
    return isKnown ? std::optional(known->demand.busySlots) : std::nullopt;
}

TrackedUpstream *OpeningPolicy::fasterOf(TrackedUpstream *first, TrackedUpstream *second,
                                         TimePoint now) const
{
    if (second == nullptr || second == first) {
        return first;
    }
    auto &service = m_upstreams.serviceResponseTime(first->record.service);
    const auto serviceMean = service.mean();
    const auto firstTime = first->responseTime.estimate(serviceMean, now);
    const auto secondTime = second->responseTime.estimate(serviceMean, now);
    return firstTime > secondTime * MinSlowerRatio ? second : first;
}

TrackedUpstream *OpeningPolicy::highestRanked(const UpstreamTable::Group &group,
                                              std::uint64_t flowHash, std::uint32_t retransmissions,
                                              FlowToken avoidedToken) const
{
    TrackedUpstream *highest = nullptr;
    std::pair<bool, std::uint64_t> highestRank;
    const bool isOnlyOne = group.size() == 1;
    for (auto *upstream : group) {
        if (upstream->token == avoidedToken && !isOnlyOne) {
            continue;
        }
        // A retransmission prefers the own zone, which this instance reaches even when other zones
        // are cut off.
        const bool isPreferred = retransmissions > 0 && upstream->record.zone == m_position.zone;
        const std::pair rank { isPreferred, rendezvousScore(flowHash, *upstream) };
        if (highest == nullptr || rank > highestRank) {
            highest = upstream;
            highestRank = rank;
        }
    }
    return highest;
}

} // namespace banyanwall::connection
