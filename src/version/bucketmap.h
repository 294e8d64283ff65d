#pragma once

#include "common/ids.h"
#include "version/roster.h"

#include <bitset>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace banyanwall::version {

/// Number of buckets of each service. With 2,048 buckets the load of 14 upstreams differs by less
/// than 1 %, and the table of a service needs 4 KB.
inline constexpr std::uint32_t BucketCount = 2048;

/// Default upstream of each bucket, and the buckets whose overrides are still needed.
struct SettledTable
{
    common::SettledRevision revision;
    /// Default upstream of each bucket; id 0 where the service had no upstream.
    std::vector<common::UpstreamId> defaults;
    std::bitset<BucketCount> transitional;
    /// Newest roster that transitional accounts for. A bucket is transitional if this or an older
    /// roster may have opened one of its flows at another upstream than the default.
    common::RosterVersion basedOnRoster;
};

/// Upstreams of one bucket.
struct BucketEntry
{
    /// Upstream of flows without an override.
    common::UpstreamId defaultUpstream;
    /// Upstream of new flows.
    common::UpstreamId openUpstream;
    /// Flows of the bucket may have overrides.
    bool transitional = false;
};

/// Immutable map of a service for one roster version and one settled revision.
class BucketMap
{
public:
    /// Builds the map of a roster. The defaults are those of settled, or those of previous if
    /// settled is missing or has a lower revision. Without both, the open upstreams become the
    /// defaults.
    ///
    /// A bucket is transitional if its default and open upstreams differ, if it is transitional in
    /// settled, or if it is transitional in previous and settled does not account for this roster.
    /// All buckets are transitional if this instance may have missed rosters between previous or
    /// settled and this one, because flows may have been opened by the missed rosters. This ends
    /// with a settled table that accounts for this roster.
    BucketMap(const ServiceRoster &roster, const std::optional<SettledTable> &settled,
              const BucketMap *previous);

    [[nodiscard]] static common::BucketIndex bucketOf(common::FlowKey flow);
    [[nodiscard]] BucketEntry entry(common::BucketIndex bucket) const;

    /// Returns the default upstream of a bucket; inline for the packet path.
    [[nodiscard]] common::UpstreamId defaultOf(common::BucketIndex bucket) const
    {
        return m_upstreams[m_defaultPositions[bucket.value()]];
    }

    [[nodiscard]] common::RosterVersion rosterVersion() const { return m_rosterVersion; }

    [[nodiscard]] common::SettledRevision settledRevision() const { return m_settledRevision; }

    [[nodiscard]] const std::bitset<BucketCount> &transitional() const { return m_transitional; }

    /// Returns the defaults and transitional buckets in the form that the store holds.
    [[nodiscard]] SettledTable settledTable() const;

private:
    [[nodiscard]] std::uint16_t indexOf(common::UpstreamId upstream);
    void setDefaults(const std::vector<common::UpstreamId> &defaults);
    void markTransitional(const std::optional<SettledTable> &settled, const BucketMap *previous);

    common::RosterVersion m_rosterVersion;
    common::SettledRevision m_settledRevision;
    std::vector<common::UpstreamId> m_upstreams;
    std::vector<std::uint16_t> m_defaultPositions;
    std::vector<std::uint16_t> m_openPositions;
    std::bitset<BucketCount> m_transitional;
};

} // namespace banyanwall::version
