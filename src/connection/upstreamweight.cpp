#include "connection/upstreamweight.h"

#include <algorithm>

namespace banyanwall::connection {

namespace {

// Figures of other instances are up to some seconds old; smaller differences may have passed.
constexpr double MinLaterRatio = 1.5;
// Less of the usual time makes no difference to callers.
constexpr double MinLaterPart = 0.5;

double expectedCompletion(const TrackedUpstream &upstream, common::Duration usualTime)
{
    const auto slots = std::max(1.0, static_cast<double>(upstream.record.slots));
    return static_cast<double>(upstream.load.workLeft.count()) / slots
            + static_cast<double>(usualTime.count()) * upstream.load.slowness;
}

} // namespace

void WeightedRanking::addRank(TrackedUpstream &upstream, const Rank &rank)
{
    if (rank.isHigherThan(m_firstRank)) {
        m_ranked.second = m_ranked.first;
        m_secondRank = m_firstRank;
        m_ranked.first = &upstream;
        m_firstRank = rank;
    } else if (rank.isHigherThan(m_secondRank)) {
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
            && first - second > static_cast<double>(usualTime.count()) * MinLaterPart;
    return isClear ? ranked.second : ranked.first;
}

} // namespace banyanwall::connection
