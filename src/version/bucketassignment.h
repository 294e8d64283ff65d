#pragma once

#include "common/ids.h"
#include "version/roster.h"

#include <cstdint>
#include <vector>

namespace banyanwall::version {

/// An upstream that takes part in an assignment.
struct WeightedUpstream
{
    common::UpstreamId id;
    /// Share of its fair part, in percent.
    std::uint32_t sharePercent = 100;
};

/// Active upstreams of a roster with a share above zero, sorted by id.
[[nodiscard]] std::vector<WeightedUpstream> assignableUpstreams(const ServiceRoster &roster);

/// Number of buckets of each upstream: its fair part by share, rounded down or up.
[[nodiscard]] std::vector<std::uint32_t>
bucketQuotas(const std::vector<WeightedUpstream> &upstreams, std::uint32_t buckets);

/// Assigns each bucket to an upstream by rendezvous hashing with capacities: buckets and upstreams
/// prefer each other by one common hash, and each upstream takes exactly its quota. The result is
/// the unique stable matching, so it depends on the set of upstreams alone. Entries are positions
/// in upstreams; empty without upstreams.
[[nodiscard]] std::vector<std::uint16_t>
assignBuckets(common::ServiceId service, const std::vector<WeightedUpstream> &upstreams,
              std::uint32_t buckets);

} // namespace banyanwall::version
