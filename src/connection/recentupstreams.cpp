#include "connection/recentupstreams.h"

#include <algorithm>

namespace banyanwall::connection {

using common::BucketIndex;
using common::UpstreamId;

void RecentUpstreams::addNewest(BucketIndex bucket, UpstreamId upstream)
{
    auto &recent = m_buckets[bucket];
    recent.erase(std::remove(recent.begin(), recent.end(), upstream), recent.end());
    if (recent.size() == recent.capacity()) {
        recent.pop_back();
    }
    recent.insert(recent.begin(), upstream);
}

void RecentUpstreams::addOldest(BucketIndex bucket, UpstreamId upstream)
{
    auto &recent = m_buckets[bucket];
    if (recent.size() < recent.capacity() && std::ranges::find(recent, upstream) == recent.end()) {
        recent.push_back(upstream);
    }
}

std::vector<UpstreamId> RecentUpstreams::of(BucketIndex bucket) const
{
    const auto found = m_buckets.find(bucket);
    return found == m_buckets.end()
            ? std::vector<UpstreamId>()
            : std::vector<UpstreamId>(found->second.begin(), found->second.end());
}

} // namespace banyanwall::connection
