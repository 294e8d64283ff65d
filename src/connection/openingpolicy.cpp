#include "connection/openingpolicy.h"

#include "common/hash.h"

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

std::uint64_t scoreOf(std::uint64_t flowHash, const TrackedUpstream &upstream)
{
    return common::hashPair(upstream.record.serial.value(), flowHash);
}

} // namespace

OpeningPolicy::OpeningPolicy(UpstreamTable &upstreams)
    : m_upstreams(upstreams)
{ }

TrackedUpstream *OpeningPolicy::choose(common::ServiceId service, std::uint64_t flowHash,
                                       std::uint32_t retransmissions, FlowToken avoidedToken,
                                       TimePoint now)
{
    collectCandidates(service, now);
    if (retransmissions > 0 && avoidedToken == FlowToken()) {
        // Another instance received the first transmission and chose the same upstream as this
        // instance would have chosen.
        const auto *first = highestRanked(m_candidates.healthy, flowHash, 0, avoidedToken);
        avoidedToken = first == nullptr ? FlowToken() : first->token;
    }
    auto *chosen = highestRanked(m_candidates.healthy, flowHash, retransmissions, avoidedToken);
    if (chosen != nullptr && retransmissions == 0) {
        chosen = fasterOf(chosen, highestRanked(m_candidates.healthy, flowHash, 0, chosen->token),
                          now);
    }
    if (chosen == nullptr) {
        chosen = highestRanked(m_candidates.suspected, flowHash, retransmissions, avoidedToken);
    }
    if (chosen != nullptr) {
        recordOpening(*chosen, now);
    }
    return chosen;
}

void OpeningPolicy::setPosition(const FleetPosition &position, TimePoint now)
{
    m_position = position;
    m_coldAdmission.setFleet(position.instance, position.members, now);
}

void OpeningPolicy::collectCandidates(common::ServiceId service, TimePoint now)
{
    m_candidates.healthy.clear();
    m_candidates.suspected.clear();
    m_expired.clear();
    const auto add = [&](TrackedUpstream *upstream) {
        if (!isWithinColdLimit(*upstream, now)) {
            return;
        }
        const bool isHealthy = !upstream->isOutlier && upstream->health.mayOpenFlow(now)
                && m_upstreams.zoneHealth(upstream->record.zone).mayOpenFlow(now);
        (isHealthy ? m_candidates.healthy : m_candidates.suspected).push_back(upstream);
    };
    for (auto *upstream : m_upstreams.ofService(service)) {
        if (!mayTakeFlows(*upstream, now)) {
            continue;
        }
        if (!upstream->isRegistered) {
            m_expired.push_back(upstream);
        } else {
            add(upstream);
        }
    }
    // When more entries have expired than are registered, their upstreams most likely still run and
    // have lost the store.
    const auto registered = m_candidates.healthy.size() + m_candidates.suspected.size();
    if (m_expired.size() > registered) {
        std::ranges::for_each(m_expired, add);
    }
}

bool OpeningPolicy::mayTakeFlows(const TrackedUpstream &upstream, TimePoint now) const
{
    if (upstream.record.draining || m_upstreams.isWithdrawn(upstream.record.zone)) {
        return false;
    }
    return upstream.isRegistered || now - upstream.removedAt < ExpiryGracePeriod;
}

bool OpeningPolicy::isWithinColdLimit(const TrackedUpstream &upstream, TimePoint now)
{
    if (!upstream.isCold(now)) {
        return true;
    }
    const auto *rules = m_upstreams.serviceRules(upstream.record.service);
    return rules != nullptr
            && m_coldAdmission.admits(upstream.record.serial, rules->coldOpensPerSecond, now);
}

void OpeningPolicy::recordOpening(TrackedUpstream &upstream, TimePoint now)
{
    upstream.health.onFlowOpened(now);
    m_upstreams.zoneHealth(upstream.record.zone).onFlowOpened(now);
    if (upstream.isCold(now)) {
        m_coldAdmission.recordOpening(upstream.record.serial, now);
    }
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
        const std::pair rank { isPreferred, scoreOf(flowHash, *upstream) };
        if (highest == nullptr || rank > highestRank) {
            highest = upstream;
            highestRank = rank;
        }
    }
    return highest;
}

} // namespace banyanwall::connection
