#include "version/bucketassignment.h"

#include "common/hash.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <set>
#include <tuple>

namespace banyanwall::version {

namespace {

/// Positions are 16-bit; 0xffff is left free for users of the table.
constexpr std::size_t MaxUpstreams = 0xfffe;

/// Deferred acceptance: each bucket proposes to upstreams in falling order of preference, and a
/// full upstream keeps the buckets that it prefers.
class CapacityMatching
{
public:
    CapacityMatching(common::ServiceId service, const std::vector<WeightedUpstream> &upstreams,
                     std::uint32_t buckets)
        : m_service(service)
        , m_upstreams(upstreams)
        , m_quotas(bucketQuotas(upstreams, buckets))
        , m_held(upstreams.size())
        , m_bound(buckets, NoBound)
    { }

    std::vector<std::uint16_t> run()
    {
        for (std::uint32_t bucket = 0; bucket < m_bound.size(); ++bucket) {
            place(bucket);
        }
        std::vector<std::uint16_t> result(m_bound.size());
        for (std::size_t position = 0; position < m_held.size(); ++position) {
            for (const auto &held : m_held[position]) {
                result[held.second] = static_cast<std::uint16_t>(position);
            }
        }
        return result;
    }

private:
    using Proposal = std::pair<std::uint64_t, std::size_t>;
    static constexpr Proposal NoBound { ~std::uint64_t { 0 }, ~std::size_t { 0 } };

    /// Best proposal of a bucket below its last rejected one.
    [[nodiscard]] Proposal nextProposal(std::uint32_t bucket) const
    {
        const auto key = common::hashPair(m_service.value(), bucket);
        Proposal chosen { 0, 0 };
        bool found = false;
        for (std::size_t position = 0; position < m_upstreams.size(); ++position) {
            const Proposal candidate { common::hashPair(key, m_upstreams[position].id.value()),
                                       position };
            if (m_quotas[position] > 0 && candidate < m_bound[bucket]
                && (!found || candidate > chosen)) {
                chosen = candidate;
                found = true;
            }
        }
        return chosen;
    }

    void place(std::uint32_t bucket)
    {
        for (bool displaced = true; displaced;) {
            const auto proposal = nextProposal(bucket);
            m_bound[bucket] = proposal;
            auto &held = m_held[proposal.second];
            held.emplace(proposal.first, bucket);
            displaced = held.size() > m_quotas[proposal.second];
            if (displaced) {
                bucket = held.begin()->second;
                held.erase(held.begin());
            }
        }
    }

    common::ServiceId m_service;
    const std::vector<WeightedUpstream> &m_upstreams;
    std::vector<std::uint32_t> m_quotas;
    std::vector<std::set<std::pair<std::uint64_t, std::uint32_t>>> m_held;
    std::vector<Proposal> m_bound;
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
    // Largest remainders get the buckets that are left over; the id hash breaks ties.
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
