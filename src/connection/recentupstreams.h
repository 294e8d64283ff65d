#pragma once

#include "common/ids.h"

#include <cstddef>
#include <vector>

#include <boost/container/flat_map.hpp>
#include <boost/container/static_vector.hpp>

namespace banyanwall::connection {

/// Open upstreams of former rosters, newest first, of the buckets of one service. Kept instead of
/// the former maps, which would take 8 KB each.
class RecentUpstreams
{
public:
    static constexpr std::size_t MaxPerBucket = 3;

    /// Adds the open upstream of the roster before the newest one.
    void note(common::BucketIndex bucket, common::UpstreamId upstream);
    /// Adds what another instance knows of former rosters, as older than all known here.
    void learn(common::BucketIndex bucket, common::UpstreamId upstream);

    void erase(common::BucketIndex bucket) { m_buckets.erase(bucket); }

    [[nodiscard]] std::vector<common::UpstreamId> of(common::BucketIndex bucket) const;

private:
    using Upstreams = boost::container::static_vector<common::UpstreamId, MaxPerBucket>;

    boost::container::flat_map<common::BucketIndex, Upstreams> m_buckets;
};

} // namespace banyanwall::connection
