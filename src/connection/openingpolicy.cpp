#include "connection/openingpolicy.h"

#include "common/hash.h"

#include <algorithm>

namespace banyanwall::connection {

using common::FlowToken;
using common::TimePoint;

namespace {

// An upstream whose entry lapsed during an outage of the store registers again within two seconds
// of the store's return.
constexpr std::chrono::milliseconds LapseGrace { 2'000 };
// Work differs from request to request; a smaller ratio would be chance.
constexpr double MuchSlower = 1.5;

std::uint64_t scoreOf(std::uint64_t flowHash, const KnownUpstream &upstream)
{
    return common::hashPair(upstream.record.serial.value(), flowHash);
}

} // namespace

OpeningPolicy::OpeningPolicy(UpstreamTable &upstreams)
    : m_upstreams(upstreams)
{ }

KnownUpstream *OpeningPolicy::choose(common::ServiceId service, std::uint64_t flowHash,
                                     std::uint32_t copy, FlowToken avoided, TimePoint now)
{
    collect(service, now);
    if (copy > 0 && avoided == FlowToken()) {
        // Another instance took the first packet; it chose as this one would have done.
        const auto *first = bestOf(m_candidates.healthy, flowHash, 0, avoided);
        avoided = first == nullptr ? FlowToken() : first->token;
    }
    auto *chosen = bestOf(m_candidates.healthy, flowHash, copy, avoided);
    if (chosen != nullptr && copy == 0) {
        chosen = fasterOf(chosen, bestOf(m_candidates.healthy, flowHash, 0, chosen->token), now);
    }
    if (chosen == nullptr) {
        chosen = bestOf(m_candidates.suspected, flowHash, copy, avoided);
    }
    if (chosen != nullptr) {
        noteOpened(*chosen, now);
    }
    return chosen;
}

void OpeningPolicy::setPosition(const FleetPosition &position, TimePoint now)
{
    m_position = position;
    m_coldAdmission.setFleet(position.instance, position.members, now);
}

void OpeningPolicy::collect(common::ServiceId service, TimePoint now)
{
    m_candidates.healthy.clear();
    m_candidates.suspected.clear();
    m_lapsed.clear();
    const auto add = [&](KnownUpstream *upstream) {
        const bool answers = !upstream->isOutlier && upstream->health.mayOpen(now)
                && m_upstreams.zoneHealth(upstream->record.zone).mayOpen(now);
        (answers ? m_candidates.healthy : m_candidates.suspected).push_back(upstream);
    };
    for (auto *upstream : m_upstreams.ofService(service)) {
        if (!mayTakeFlows(*upstream, now)) {
            continue;
        }
        if (!upstream->isRegistered) {
            m_lapsed.push_back(upstream);
        } else if (!upstream->isCold(now) || admitsCold(*upstream, now)) {
            add(upstream);
        }
    }
    // Many entries that go at once are those of live upstreams that lost the store.
    const auto registered = m_candidates.healthy.size() + m_candidates.suspected.size();
    if (m_lapsed.size() > registered) {
        std::ranges::for_each(m_lapsed, add);
    }
}

bool OpeningPolicy::mayTakeFlows(const KnownUpstream &upstream, TimePoint now) const
{
    if (upstream.record.draining || m_upstreams.isWithdrawn(upstream.record.zone)) {
        return false;
    }
    return upstream.isRegistered || now - upstream.removedAt < LapseGrace;
}

bool OpeningPolicy::admitsCold(const KnownUpstream &upstream, TimePoint now)
{
    const auto *rules = m_upstreams.serviceRules(upstream.record.service);
    return rules != nullptr
            && m_coldAdmission.admits(upstream.record.serial, rules->coldOpensPerSecond, now);
}

void OpeningPolicy::noteOpened(KnownUpstream &upstream, TimePoint now)
{
    upstream.health.onOpened(now);
    m_upstreams.zoneHealth(upstream.record.zone).onOpened(now);
    if (upstream.isCold(now)) {
        m_coldAdmission.noteOpened(upstream.record.serial, now);
    }
}

KnownUpstream *OpeningPolicy::fasterOf(KnownUpstream *first, KnownUpstream *second,
                                       TimePoint now) const
{
    if (second == nullptr || second == first) {
        return first;
    }
    auto &service = m_upstreams.serviceAnswerTime(first->record.service);
    const auto usual = service.mean();
    const auto firstTime = first->answerTime.estimate(usual, now);
    const auto secondTime = second->answerTime.estimate(usual, now);
    return firstTime > secondTime * MuchSlower ? second : first;
}

KnownUpstream *OpeningPolicy::bestOf(const UpstreamTable::Group &group, std::uint64_t flowHash,
                                     std::uint32_t copy, FlowToken avoided) const
{
    KnownUpstream *best = nullptr;
    std::pair<bool, std::uint64_t> bestRank;
    const bool isOnlyOne = group.size() == 1;
    for (auto *upstream : group) {
        if (upstream->token == avoided && !isOnlyOne) {
            continue;
        }
        // A copy prefers the own zone, which is reached even when zones are cut off.
        const bool isPreferred = copy > 0 && upstream->record.zone == m_position.zone;
        const std::pair rank { isPreferred, scoreOf(flowHash, *upstream) };
        if (best == nullptr || rank > bestRank) {
            best = upstream;
            bestRank = rank;
        }
    }
    return best;
}

} // namespace banyanwall::connection
