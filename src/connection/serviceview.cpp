#include "connection/serviceview.h"

#include "common/hash.h"

#include <algorithm>

namespace banyanwall::connection {

using common::UpstreamId;

ServiceView::ServiceView(Map newest, Map inForce, std::vector<BucketRoute> routes,
                         Runtimes runtimes, Statuses statuses, std::chrono::seconds idleLimit)
    : m_newest(std::move(newest))
    , m_inForce(std::move(inForce))
    , m_routes(std::move(routes))
    , m_runtimes(std::move(runtimes))
    , m_statuses(std::move(statuses))
    , m_idleLimit(idleLimit)
{
    std::ranges::for_each(m_routes, [this](const auto &route) { m_routed.set(route.bucket); });
}

const BucketRoute *ServiceView::route(common::BucketIndex bucket) const
{
    if (!m_routed[bucket.value()]) {
        return nullptr;
    }
    return &*std::ranges::lower_bound(m_routes, bucket.value(), {}, &BucketRoute::bucket);
}

BucketRuntime *ServiceView::runtime(const BucketRoute &route) const
{
    return route.runtime == BucketRoute::NoRuntime ? nullptr : m_runtimes[route.runtime].get();
}

version::BucketEntry ServiceView::entry(common::BucketIndex bucket) const
{
    return m_newest->entry(bucket);
}

std::optional<UpstreamId> ServiceView::openInForce(common::BucketIndex bucket) const
{
    return m_inForce ? std::optional(m_inForce->entry(bucket).openUpstream) : std::nullopt;
}

UpstreamStatus ServiceView::status(UpstreamId upstream) const
{
    const auto found = m_statuses.find(upstream);
    return found == m_statuses.end() ? UpstreamStatus::Absent : found->second;
}

std::optional<UpstreamId> ServiceView::alternativeUpstream(common::FlowKey flow) const
{
    std::optional<std::pair<std::uint64_t, UpstreamId>> highestRanked;
    for (const auto &[upstream, status] : m_statuses) {
        const std::pair candidate(common::hashPair(flow.value(), upstream.value()), upstream);
        if (status == UpstreamStatus::Active && (!highestRanked || candidate > *highestRanked)) {
            highestRanked = candidate;
        }
    }
    return highestRanked ? std::optional(highestRanked->second) : std::nullopt;
}

} // namespace banyanwall::connection
