#pragma once

#include "common/ids.h"
#include "version/roster.h"

#include <bitset>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace banyanwall::version {

/// Buckets of a service. 2,048 keep the imbalance of 14 upstreams under 1 % and need 4 KB a
/// service.
inline constexpr std::uint32_t BucketCount = 2048;

/// Default upstream of each bucket and the buckets whose overrides are still needed.
struct SettledTable
{
    common::SettledRevision revision;
    /// BucketCount entries; id 0 where the service had no upstream.
    std::vector<common::UpstreamId> defaults;
    std::bitset<BucketCount> transitional;
    /// Newest roster whose opens the transitional buckets account for.
    common::RosterVersion basedOn;
};

/// Where packets of one bucket go.
struct BucketEntry
{
    common::UpstreamId defaultUpstream;
    common::UpstreamId openUpstream;
    bool transitional = false;
};

/// Immutable map of a service for one roster version and one settled revision.
class BucketMap
{
public:
    /// Builds the map of a roster. Without a settled table the open upstreams become the defaults.
    /// A bucket is transitional when its default and open upstreams differ, when settled says so,
    /// or when it was transitional in previous and settled is older or based on an older roster.
    /// Where rosters between previous or settled and this one may be unknown
    /// here, all buckets are transitional until a settled table accounts for this roster, because
    /// flows may have been opened by them.
    BucketMap(const ServiceRoster &roster, const std::optional<SettledTable> &settled,
              const BucketMap *previous);

    [[nodiscard]] static common::BucketIndex bucketOf(common::FlowKey flow);
    [[nodiscard]] BucketEntry entry(common::BucketIndex bucket) const;

    /// Default of entry(); inline for the packet path.
    [[nodiscard]] common::UpstreamId defaultOf(common::BucketIndex bucket) const
    {
        return m_upstreams[m_defaults[bucket.value()]];
    }

    [[nodiscard]] common::RosterVersion rosterVersion() const { return m_rosterVersion; }

    [[nodiscard]] common::SettledRevision settledRevision() const { return m_settledRevision; }

    [[nodiscard]] const std::bitset<BucketCount> &transitional() const { return m_transitional; }

    /// The defaults and transitional buckets, as a value for the store.
    [[nodiscard]] SettledTable settledTable() const;

private:
    [[nodiscard]] std::uint16_t indexOf(common::UpstreamId upstream);
    void takeDefaults(const std::vector<common::UpstreamId> &defaults);
    void markTransitional(const std::optional<SettledTable> &settled, const BucketMap *previous);

    common::RosterVersion m_rosterVersion;
    common::SettledRevision m_settledRevision;
    std::vector<common::UpstreamId> m_upstreams;
    std::vector<std::uint16_t> m_defaults;
    std::vector<std::uint16_t> m_opens;
    std::bitset<BucketCount> m_transitional;
};

} // namespace banyanwall::version
