#pragma once

#include "common/ids.h"
#include "version/roster.h"

#include <cstdint>
#include <vector>

namespace banyanwall::version {

/// An upstream to which buckets are assigned.
struct WeightedUpstream
{
    common::UpstreamId id;
    /// Part of its fair share of buckets that the upstream takes, in percent.
    std::uint32_t sharePercent = 100;
};

/// Returns the active upstreams of a roster with a share above zero, sorted by id.
[[nodiscard]] std::vector<WeightedUpstream> assignableUpstreams(const ServiceRoster &roster);

/// Returns the number of buckets of each upstream: in proportion to its share, rounded down or up.
[[nodiscard]] std::vector<std::uint32_t>
bucketQuotas(const std::vector<WeightedUpstream> &upstreams, std::uint32_t buckets);

/// Assigns each bucket to an upstream by rendezvous hashing with capacities: a hash of bucket and
/// upstream ranks both the upstreams for a bucket and the buckets for an upstream, and each
/// upstream gets exactly its quota. There is only one stable matching, so that the result depends
/// on the set of upstreams alone and not on their order or history. Returns for each bucket the
/// position of its upstream in upstreams; empty if there are no upstreams.
[[nodiscard]] std::vector<std::uint16_t>
assignBuckets(common::ServiceId service, const std::vector<WeightedUpstream> &upstreams,
              std::uint32_t buckets);

} // namespace banyanwall::version
