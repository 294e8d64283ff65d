#pragma once

#include "common/hash.h"
#include "common/time.h"
#include "connection/upstreamtable.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>

namespace banyanwall::connection {

/// Score of an upstream for a flow in rendezvous hashing; the same at all instances.
[[nodiscard]] inline std::uint64_t rendezvousScore(std::uint64_t flowHash,
                                                   const TrackedUpstream &upstream)
{
    return common::hashPair(upstream.record.serial.value(), flowHash);
}

/// Weight of an upstream in the ranking of a flow: its slots while its response times are within
/// the usual scatter, and less by the square of its slowness beyond. Never zero, so that requests
/// show when the upstream is usual again.
[[nodiscard]] inline double weightOf(const TrackedUpstream &upstream)
{
    // The work of requests varies; a lower slowness occurs by chance.
    constexpr double usualSlowness = 1.25;
    // A slower upstream still gets some requests.
    constexpr double maxCountedSlowness = 10.0;
    const auto slots = static_cast<double>(std::max(1U, upstream.record.slots));
    const auto slowness = upstream.load.slowness;
    if (slowness <= usualSlowness) {
        return slots;
    }
    const auto relativeSpeed = usualSlowness / std::min(slowness, maxCountedSlowness);
    return slots * relativeSpeed * relativeSpeed;
}

/// The two upstreams that rank highest for a flow; null when there are fewer.
struct RankedUpstreams
{
    TrackedUpstream *first = nullptr;
    TrackedUpstream *second = nullptr;
};

/// Ranks upstreams for one flow by weighted rendezvous hashing: each upstream ranks first for a
/// share of the flows in proportion to its weight, and a change of one weight moves only flows of
/// that upstream. With equal weights, the order is that of rendezvousScore().
class WeightedRanking
{
public:
    explicit WeightedRanking(std::uint64_t flowHash)
        : m_flowHash(flowHash)
    { }

    void add(TrackedUpstream &upstream)
    {
        // A double holds the highest 53 bits of a score.
        constexpr auto droppedBits = 11;
        constexpr double scoreStep = 0x1p-53;
        const auto score = rendezvousScore(m_flowHash, upstream);
        const auto highBits = static_cast<std::int64_t>(score >> droppedBits);
        const auto fraction = static_cast<double>(highBits) * scoreStep + scoreStep / 2;
        const auto weight = weightOf(upstream);
        // -log(x) >= 1 - x saves the logarithm for nearly all upstreams.
        if (1.0 - fraction <= m_secondRank.distance * weight) {
            addRank(upstream, { -std::log(fraction) / weight, score });
        }
    }

    [[nodiscard]] const RankedUpstreams &ranked() const { return m_ranked; }

private:
    struct Rank
    {
        /// Logarithm of the score as a fraction, divided by the weight; lower values rank higher.
        double distance = std::numeric_limits<double>::max();
        /// Decides between equal distances.
        std::uint64_t score = 0;

        [[nodiscard]] bool isHigherThan(const Rank &other) const
        {
            return distance < other.distance || (distance == other.distance && score > other.score);
        }
    };

    void addRank(TrackedUpstream &upstream, const Rank &rank);

    std::uint64_t m_flowHash;
    RankedUpstreams m_ranked;
    Rank m_firstRank;
    Rank m_secondRank;
};

/// Returns the second-ranked upstream when a request is expected to be answered there clearly
/// sooner, otherwise the first-ranked one. usualTime is the usual response time of the request;
/// without it the first-ranked upstream is returned.
[[nodiscard]] TrackedUpstream *soonerOf(const RankedUpstreams &ranked, common::Duration usualTime);

} // namespace banyanwall::connection
