#include "version/bucketassignment.h"

#include "common/hash.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <set>
#include <tuple>

namespace banyanwall::version {

namespace {

/// Positions have 16 bits. BucketMap uses position + 1, so that 0xffff stays free.
constexpr std::size_t MaxUpstreams = 0xfffe;

/// Deferred acceptance: each bucket proposes to the upstreams, highest hash first. An upstream over
/// its quota rejects the bucket with the lowest hash, which then proposes to its next upstream.
class CapacityMatching
{
public:
    CapacityMatching(common::ServiceId service, const std::vector<WeightedUpstream> &upstreams,
                     std::uint32_t buckets)
        : m_service(service)
        , m_upstreams(upstreams)
        , m_quotas(bucketQuotas(upstreams, buckets))
        , m_accepted(upstreams.size())
        , m_lastProposals(buckets, NoProposal)
    { }

    std::vector<std::uint16_t> run()
    {
        for (std::uint32_t bucket = 0; bucket < m_lastProposals.size(); ++bucket) {
            place(bucket);
        }
        std::vector<std::uint16_t> result(m_lastProposals.size());
        for (std::size_t position = 0; position < m_accepted.size(); ++position) {
            for (const auto &accepted : m_accepted[position]) {
                result[accepted.second] = static_cast<std::uint16_t>(position);
            }
        }
        return result;
    }

private:
    using Proposal = std::pair<std::uint64_t, std::size_t>;
    static constexpr Proposal NoProposal { ~std::uint64_t { 0 }, ~std::size_t { 0 } };

    /// Returns the proposal with the highest hash below the last proposal of the bucket.
    [[nodiscard]] Proposal nextProposal(std::uint32_t bucket) const
    {
        const auto key = common::hashPair(m_service.value(), bucket);
        Proposal chosen { 0, 0 };
        bool isFound = false;
        for (std::size_t position = 0; position < m_upstreams.size(); ++position) {
            const Proposal candidate { common::hashPair(key, m_upstreams[position].id.value()),
                                       position };
            if (m_quotas[position] > 0 && candidate < m_lastProposals[bucket]
                && (!isFound || candidate > chosen)) {
                chosen = candidate;
                isFound = true;
            }
        }
        return chosen;
    }

    void place(std::uint32_t bucket)
    {
        for (bool isDisplaced = true; isDisplaced;) {
            const auto proposal = nextProposal(bucket);
            m_lastProposals[bucket] = proposal;
            auto &accepted = m_accepted[proposal.second];
            accepted.emplace(proposal.first, bucket);
            isDisplaced = accepted.size() > m_quotas[proposal.second];
            if (isDisplaced) {
                bucket = accepted.begin()->second;
                accepted.erase(accepted.begin());
            }
        }
    }

    common::ServiceId m_service;
    const std::vector<WeightedUpstream> &m_upstreams;
    std::vector<std::uint32_t> m_quotas;
    std::vector<std::set<std::pair<std::uint64_t, std::uint32_t>>> m_accepted;
    std::vector<Proposal> m_lastProposals;
};

} // namespace

std::vector<WeightedUpstream> assignableUpstreams(const ServiceRoster &roster)
{
    std::vector<WeightedUpstream> active;
    for (const auto &upstream : roster.upstreams) {
        if (upstream.state == UpstreamState::Active && upstream.sharePercent > 0) {
            active.push_back({ upstream.id, upstream.sharePercent });
        }
    }
    std::ranges::sort(active, {}, &WeightedUpstream::id);
    active.resize(std::min(active.size(), MaxUpstreams));
    return active;
}

std::vector<std::uint32_t> bucketQuotas(const std::vector<WeightedUpstream> &upstreams,
                                        std::uint32_t buckets)
{
    const auto total = std::accumulate(
            upstreams.begin(), upstreams.end(), std::uint64_t { 0 },
            [](std::uint64_t sum, const auto &upstream) { return sum + upstream.sharePercent; });
    std::vector<std::uint32_t> quotas(upstreams.size(), 0);
    if (total == 0) {
        return quotas;
    }
    // The upstreams with the largest remainders get one more bucket each; the hash of the id breaks
    // ties.
    std::vector<std::tuple<std::uint64_t, std::uint64_t, std::size_t>> remainders;
    std::uint32_t left = buckets;
    for (std::size_t position = 0; position < upstreams.size(); ++position) {
        const auto scaled = std::uint64_t { upstreams[position].sharePercent } * buckets;
        quotas[position] = static_cast<std::uint32_t>(scaled / total);
        left -= quotas[position];
        remainders.emplace_back(scaled % total, common::hashPair(upstreams[position].id.value(), 0),
                                position);
    }
    std::ranges::sort(remainders, std::greater {});
    remainders.resize(left);
    for (const auto &entry : remainders) {
        ++quotas[std::get<2>(entry)];
    }
    return quotas;
}

std::vector<std::uint16_t> assignBuckets(common::ServiceId service,
                                         const std::vector<WeightedUpstream> &upstreams,
                                         std::uint32_t buckets)
{
    return upstreams.empty() ? std::vector<std::uint16_t> {}
                             : CapacityMatching(service, upstreams, buckets).run();
}

} // namespace banyanwall::version
