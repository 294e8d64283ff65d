#pragma once

#include "common/ids.h"
#include "connection/bucketruntime.h"
#include "connection/ownerselector.h"
#include "version/bucketmap.h"

#include <bitset>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include <boost/container/flat_map.hpp>

namespace banyanwall::connection {

/// State of an upstream as this instance knows it.
enum class UpstreamStatus {
    Active,
    Draining,
    /// Its availability zone is withdrawn.
    Withdrawn,
    /// Failed without notice.
    Lost,
    /// In an availability zone from which this instance receives no messages.
    Unreachable,
    /// Not in the newest roster.
    Absent,
};

/// A bucket whose packets cannot go straight to the default upstream. Kept at 12 bytes, because
/// each service has hundreds of them on each instance while a zone is withdrawn.
struct BucketRoute
{
    static constexpr std::uint16_t NoRuntime = 0xffff;

    common::InstanceId first;
    /// Id 0 when there is no second owner.
    common::InstanceId second;
    std::uint16_t bucket = 0;
    /// Position in the runtimes of the view.
    std::uint16_t runtime = NoRuntime;

    [[nodiscard]] BucketOwners owners() const
    {
        return { first, second == common::InstanceId(0) ? std::nullopt : std::optional(second) };
    }
};

/// Immutable routing table of one service for the packet path.
class ServiceView
{
public:
    using Map = std::shared_ptr<const version::BucketMap>;
    using Statuses = boost::container::flat_map<common::UpstreamId, UpstreamStatus>;
    using Runtimes = std::vector<std::shared_ptr<BucketRuntime>>;

    /// Packets of buckets without an entry in routes go to the default of the newest map. routes is
    /// sorted by bucket. inForce is null while no roster is in force.
    ServiceView(Map newest, Map inForce, std::vector<BucketRoute> routes, Runtimes runtimes,
                Statuses statuses, std::chrono::seconds idleLimit);

    /// Default upstream of a bucket without a route; id 0 when the bucket has a route.
    [[nodiscard]] common::UpstreamId directUpstream(common::BucketIndex bucket) const
    {
        return m_routed[bucket.value()] ? common::UpstreamId(0) : m_newest->defaultOf(bucket);
    }

    /// Null when packets of the bucket go straight to the default upstream.
    [[nodiscard]] const BucketRoute *route(common::BucketIndex bucket) const;
    /// State of a bucket that this instance owns or has owned; null for other buckets.
    [[nodiscard]] BucketRuntime *runtime(const BucketRoute &route) const;
    /// Default and open upstream of a bucket by the newest roster.
    [[nodiscard]] version::BucketEntry entry(common::BucketIndex bucket) const;
    /// Open upstream of a bucket by the roster in force; empty while none is in force.
    [[nodiscard]] std::optional<common::UpstreamId> openInForce(common::BucketIndex bucket) const;
    [[nodiscard]] UpstreamStatus status(common::UpstreamId upstream) const;
    /// Active upstream for a flow whose regular upstream cannot be used. Instances that know the
    /// same statuses return the same upstream.
    [[nodiscard]] std::optional<common::UpstreamId> alternativeUpstream(common::FlowKey flow) const;

    [[nodiscard]] std::chrono::seconds idleLimit() const { return m_idleLimit; }

    [[nodiscard]] bool hasRoutes() const { return !m_routes.empty(); }

private:
    Map m_newest;
    Map m_inForce;
    std::bitset<version::BucketCount> m_routed;
    std::vector<BucketRoute> m_routes;
    Runtimes m_runtimes;
    Statuses m_statuses;
    std::chrono::seconds m_idleLimit;
};

} // namespace banyanwall::connection
