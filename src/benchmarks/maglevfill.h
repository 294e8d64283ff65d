#pragma once

#include "common/hash.h"
#include "version/bucketassignment.h"

#include <cstdint>
#include <vector>

namespace banyanwall::benchmarks {

inline constexpr std::uint16_t EmptyEntry = 0xffff;

/// Fills a Maglev table with quotas, for comparison with version::assignBuckets. Returns the
/// position in `upstreams` of each bucket. The number of buckets must be a power of two, so that
/// any odd stride visits all buckets.
[[nodiscard]] inline std::vector<std::uint16_t>
maglevFill(common::ServiceId service, const std::vector<version::WeightedUpstream> &upstreams,
           std::uint32_t buckets)
{
    auto quotas = version::bucketQuotas(upstreams, buckets);
    std::vector<std::uint16_t> table(buckets, EmptyEntry);
    std::vector<std::uint64_t> next(upstreams.size());
    std::vector<std::uint64_t> strides(upstreams.size());
    for (std::size_t position = 0; position < upstreams.size(); ++position) {
        const auto hash = common::hashPair(service.value(), upstreams[position].id.value());
        next[position] = hash % buckets;
        strides[position] = (hash >> 32U) | 1U;
    }
    for (std::uint32_t filled = 0; filled < buckets && !upstreams.empty();) {
        for (std::size_t position = 0; position < upstreams.size(); ++position) {
            if (quotas[position] == 0) {
                continue;
            }
            while (table[next[position] % buckets] != EmptyEntry) {
                next[position] += strides[position];
            }
            table[next[position] % buckets] = static_cast<std::uint16_t>(position);
            --quotas[position];
            ++filled;
        }
    }
    return table;
}

} // namespace banyanwall::benchmarks
