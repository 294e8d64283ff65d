#include "connection/serviceview.h"

#include "common/hash.h"

#include <algorithm>

namespace banyanwall::connection {

using common::UpstreamId;

ServiceView::ServiceView(common::ServiceId service, std::shared_ptr<const version::BucketMap> map,
                         std::vector<BucketRoute> routes,
                         boost::container::flat_map<UpstreamId, UpstreamStatus> statuses,
                         std::chrono::seconds idleLimit)
    : m_service(service)
    , m_map(std::move(map))
    , m_slots(version::BucketCount)
    , m_routes(std::move(routes))
    , m_statuses(std::move(statuses))
    , m_idleLimit(idleLimit)
{
    boost::container::flat_map<UpstreamId, std::uint16_t> positions;
    for (std::uint32_t bucket = 0; bucket < version::BucketCount; ++bucket) {
        const auto upstream = m_map->entry(common::BucketIndex(bucket)).defaultUpstream;
        const auto position = static_cast<std::uint16_t>(m_upstreams.size());
        const auto [known, added] = positions.emplace(upstream, position);
        if (added) {
            m_upstreams.push_back(upstream);
        }
        m_slots[bucket] = known->second;
    }
    for (std::size_t index = 0; index < m_routes.size(); ++index) {
        m_slots[m_routes[index].bucket.value()] = static_cast<std::uint16_t>(RouteFlag | index);
    }
}

const BucketRoute *ServiceView::route(common::BucketIndex bucket) const
{
    const auto slot = m_slots[bucket.value()];
    return (slot & RouteFlag) == 0 ? nullptr : &m_routes[slot & ~RouteFlag];
}

UpstreamStatus ServiceView::status(UpstreamId upstream) const
{
    const auto found = m_statuses.find(upstream);
    return found == m_statuses.end() ? UpstreamStatus::Absent : found->second;
}

std::optional<UpstreamId> ServiceView::alternative(common::FlowKey flow) const
{
    std::optional<std::pair<std::uint64_t, UpstreamId>> best;
    for (const auto &[upstream, status] : m_statuses) {
        const std::pair candidate(common::hashPair(flow.value(), upstream.value()), upstream);
        if (status == UpstreamStatus::Active && (!best || candidate > *best)) {
            best = candidate;
        }
    }
    return best ? std::optional(best->second) : std::nullopt;
}

} // namespace banyanwall::connection
