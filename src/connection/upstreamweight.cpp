#include "connection/upstreamweight.h"

#include "common/hash.h"

#include <algorithm>
#include <cmath>

namespace banyanwall::connection {

namespace {

// The work of requests varies; a lower slowness occurs by chance.
constexpr double UsualSlowness = 1.25;
// A slower upstream still gets some requests.
constexpr double MaxCountedSlowness = 10.0;
// Figures of other instances are up to some seconds old; smaller differences may have passed.
constexpr double MinLaterRatio = 1.5;

double expectedCompletion(const TrackedUpstream &upstream, common::Duration usualTime)
{
    const auto slots = std::max(1.0, static_cast<double>(upstream.record.slots));
    return static_cast<double>(upstream.load.workLeft.count()) / slots
            + static_cast<double>(usualTime.count()) * upstream.load.slowness;
}

} // namespace

double weightOf(const TrackedUpstream &upstream)
{
    const auto slots = static_cast<double>(std::max(1U, upstream.record.slots));
    if (upstream.load.slowness <= UsualSlowness) {
        return slots;
    }
    const auto relativeSpeed = UsualSlowness / std::min(upstream.load.slowness, MaxCountedSlowness);
    return slots * relativeSpeed * relativeSpeed;
}

std::uint64_t rendezvousScore(std::uint64_t flowHash, const TrackedUpstream &upstream)
{
    return common::hashPair(upstream.record.serial.value(), flowHash);
}

void WeightedRanking::add(TrackedUpstream &upstream)
{
    constexpr double scoreRange = 0x1p64;
    const auto score = rendezvousScore(m_flowHash, upstream);
    const auto fraction = (static_cast<double>(score) + 0.5) / scoreRange;
    const auto weight = weightOf(upstream);
    // -log(x) >= 1 - x saves the logarithm for nearly all upstreams.
    if (m_ranked.second != nullptr && 1.0 - fraction > m_secondRank.distance * weight) {
        return;
    }
    const Rank rank { -std::log(fraction) / weight, score };
    if (m_ranked.first == nullptr || rank.isHigherThan(m_firstRank)) {
        m_ranked.second = m_ranked.first;
        m_secondRank = m_firstRank;
        m_ranked.first = &upstream;
        m_firstRank = rank;
    } else if (m_ranked.second == nullptr || rank.isHigherThan(m_secondRank)) {
        m_ranked.second = &upstream;
        m_secondRank = rank;
    }
}

TrackedUpstream *soonerOf(const RankedUpstreams &ranked, common::Duration usualTime)
{
    if (ranked.second == nullptr || usualTime <= common::Duration()) {
        return ranked.first;
    }
    const auto first = expectedCompletion(*ranked.first, usualTime);
    const auto second = expectedCompletion(*ranked.second, usualTime);
    const bool isClear = first > second * MinLaterRatio
            && first - second > static_cast<double>(usualTime.count());
    return isClear ? ranked.second : ranked.first;
}

} // namespace banyanwall::connection
