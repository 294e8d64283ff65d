#pragma once

#include "common/ids.h"
#include "connection/bucketruntime.h"
#include "connection/ownerselector.h"
#include "version/bucketmap.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include <boost/container/flat_map.hpp>

namespace banyanwall::connection {

/// What an instance knows of an upstream.
enum class UpstreamStatus {
    Active,
    Draining,
    /// Its availability zone is withdrawn.
    Withdrawn,
    /// Failed without notice.
    Lost,
    /// In a zone from which nothing is heard.
    Unreachable,
    /// Not in the newest roster.
    Absent,
};

/// Route of a bucket whose packets cannot go to the default at once.
struct BucketRoute
{
    common::BucketIndex bucket;
    BucketOwners owners;
    common::UpstreamId defaultUpstream;
    /// By the roster in force; empty while none is in force.
    std::optional<common::UpstreamId> openInForce;
    /// By the newest known roster.
    common::UpstreamId openNewest;
    std::shared_ptr<BucketRuntime> runtime;
};

/// Immutable routing table of one service for the packet path.
class ServiceView
{
public:
    /// Buckets without an entry in routes go to the default of the map.
    ServiceView(common::ServiceId service, std::shared_ptr<const version::BucketMap> map,
                std::vector<BucketRoute> routes,
                boost::container::flat_map<common::UpstreamId, UpstreamStatus> statuses,
                std::chrono::seconds idleLimit);

    /// Upstream of a settled bucket; id 0 when the bucket has a route.
    [[nodiscard]] common::UpstreamId direct(common::BucketIndex bucket) const
    {
        const auto slot = m_slots[bucket.value()];
        return (slot & RouteFlag) == 0 ? m_upstreams[slot] : common::UpstreamId(0);
    }

    /// Null for a settled bucket.
    [[nodiscard]] const BucketRoute *route(common::BucketIndex bucket) const;
    [[nodiscard]] UpstreamStatus status(common::UpstreamId upstream) const;
    /// Active upstream for a flow whose regular upstream cannot be used; the same on all instances
    /// with equal knowledge.
    [[nodiscard]] std::optional<common::UpstreamId> alternative(common::FlowKey flow) const;

    [[nodiscard]] common::ServiceId service() const { return m_service; }

    [[nodiscard]] std::chrono::seconds idleLimit() const { return m_idleLimit; }

    [[nodiscard]] const std::shared_ptr<const version::BucketMap> &map() const { return m_map; }

private:
    static constexpr std::uint16_t RouteFlag = 0x8000;

    common::ServiceId m_service;
    std::shared_ptr<const version::BucketMap> m_map;
    /// Position in m_upstreams, or RouteFlag and a position in m_routes.
    std::vector<std::uint16_t> m_slots;
    std::vector<common::UpstreamId> m_upstreams;
    std::vector<BucketRoute> m_routes;
    boost::container::flat_map<common::UpstreamId, UpstreamStatus> m_statuses;
    std::chrono::seconds m_idleLimit;
};

} // namespace banyanwall::connection
