#pragma once

#include "common/time.h"
#include "connection/upstreamtable.h"

#include <cstdint>

namespace banyanwall::connection {

/// Weight of an upstream in the ranking of a flow: its slots while its response times are within
/// the usual scatter, and less by the square of its slowness beyond. Never zero, so that requests
/// show when the upstream is usual again.
[[nodiscard]] double weightOf(const TrackedUpstream &upstream);

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

    void add(TrackedUpstream &upstream);

    [[nodiscard]] const RankedUpstreams &ranked() const { return m_ranked; }

private:
    struct Rank
    {
        /// Logarithm of the score as a fraction, divided by the weight; lower values rank higher.
        double distance = 0.0;
        /// Decides between equal distances.
        std::uint64_t score = 0;

        [[nodiscard]] bool isHigherThan(const Rank &other) const
        {
            return distance < other.distance || (distance == other.distance && score > other.score);
        }
    };

    std::uint64_t m_flowHash;
    RankedUpstreams m_ranked;
    Rank m_firstRank;
    Rank m_secondRank;
};

/// Score of an upstream for a flow in rendezvous hashing; the same at all instances.
[[nodiscard]] std::uint64_t rendezvousScore(std::uint64_t flowHash,
                                            const TrackedUpstream &upstream);

/// Returns the second-ranked upstream when a request is expected to be answered there clearly
/// sooner, otherwise the first-ranked one. usualTime is the usual response time of the request;
/// without it the first-ranked upstream is returned.
[[nodiscard]] TrackedUpstream *soonerOf(const RankedUpstreams &ranked, common::Duration usualTime);

} // namespace banyanwall::connection
