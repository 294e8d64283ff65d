#pragma once

#include "common/ids.h"

#include <cstddef>
#include <vector>

#include <boost/container/flat_map.hpp>
#include <boost/container/static_vector.hpp>

namespace banyanwall::connection {

/// Open upstreams of former rosters, newest first, for the buckets of one service. They are kept
/// instead of the former maps, which would take 8 KB each.
class RecentUpstreams
{
public:
    static constexpr std::size_t MaxPerBucket = 3;

    /// Adds the open upstream of the roster that was the newest until now. When the bucket is full,
    /// the oldest upstream is removed.
    void addNewest(common::BucketIndex bucket, common::UpstreamId upstream);
    /// Adds an open upstream of a former roster that another instance reported. It counts as older
    /// than all upstreams known here, and is ignored when the bucket is full.
    void addOldest(common::BucketIndex bucket, common::UpstreamId upstream);

    void erase(common::BucketIndex bucket) { m_buckets.erase(bucket); }

    [[nodiscard]] std::vector<common::UpstreamId> of(common::BucketIndex bucket) const;

private:
    using Upstreams = boost::container::static_vector<common::UpstreamId, MaxPerBucket>;

    boost::container::flat_map<common::BucketIndex, Upstreams> m_buckets;
};

} // namespace banyanwall::connection
