#include "version/bucketmap.h"

#include "version/bucketassignment.h"

#include <algorithm>
#include <iterator>

namespace banyanwall::version {

using common::UpstreamId;

namespace {

bool isUsable(const std::optional<SettledTable> &settled, const BucketMap *previous)
{
    return settled && settled->defaults.size() == BucketCount
            && (previous == nullptr || settled->revision >= previous->settledRevision());
}

/// Returns true when there may be rosters between the two versions, that is when contract version
/// and zone version together have grown by more than one.
bool mayHaveSkippedRosters(common::RosterVersion before, common::RosterVersion after)
{
    const auto contractSteps = (after.value() >> 32U) - (before.value() >> 32U);
    const auto zoneSteps =
            (after.value() & 0xffffffffU) - std::uint64_t { before.value() & 0xffffffffU };
    return contractSteps > 1 || zoneSteps > 1 || contractSteps + zoneSteps > 1;
}

} // namespace

BucketMap::BucketMap(const ServiceRoster &roster, const std::optional<SettledTable> &settled,
                     const BucketMap *previous)
    : m_rosterVersion(roster.version)
    , m_upstreams { UpstreamId(0) }
    , m_openPositions(BucketCount, 0)
{
    const auto active = assignableUpstreams(roster);
    std::ranges::transform(active, std::back_inserter(m_upstreams), &WeightedUpstream::id);
    const auto assigned = assignBuckets(roster.service, active, BucketCount);
    std::ranges::transform(assigned, m_openPositions.begin(), [](std::uint16_t position) {
        return static_cast<std::uint16_t>(position + 1);
    });
    if (isUsable(settled, previous)) {
        m_settledRevision = settled->revision;
        setDefaults(settled->defaults);
    } else if (previous != nullptr) {
        m_settledRevision = previous->settledRevision();
        setDefaults(previous->settledTable().defaults);
    } else {
        m_defaultPositions = m_openPositions;
    }
    markTransitional(settled, previous);
}

common::BucketIndex BucketMap::bucketOf(common::FlowKey flow)
{
    return common::BucketIndex(static_cast<std::uint32_t>(flow.value() % BucketCount));
}

BucketEntry BucketMap::entry(common::BucketIndex bucket) const
{
    const auto index = bucket.value();
    return { m_upstreams[m_defaultPositions[index]], m_upstreams[m_openPositions[index]],
             m_transitional[index] };
}

SettledTable BucketMap::settledTable() const
{
    SettledTable table { m_settledRevision, {}, m_transitional, m_rosterVersion };
    table.defaults.reserve(BucketCount);
    std::ranges::transform(m_defaultPositions, std::back_inserter(table.defaults),
                           [&](std::uint16_t index) { return m_upstreams[index]; });
    return table;
}

std::uint16_t BucketMap::indexOf(UpstreamId upstream)
{
    // Few defaults are missing from the roster, so that m_upstreams is short enough for a linear
    // search.
    const auto found = std::ranges::find(m_upstreams, upstream);
    const auto index = static_cast<std::uint16_t>(found - m_upstreams.begin());
    if (found == m_upstreams.end()) {
        m_upstreams.push_back(upstream);
    }
    return index;
}

void BucketMap::setDefaults(const std::vector<UpstreamId> &defaults)
{
    m_defaultPositions.reserve(BucketCount);
    std::ranges::transform(defaults, std::back_inserter(m_defaultPositions),
                           [this](UpstreamId upstream) { return indexOf(upstream); });
}

void BucketMap::markTransitional(const std::optional<SettledTable> &settled,
                                 const BucketMap *previous)
{
    const bool isTableUsable = isUsable(settled, previous);
    const bool coversRoster = isTableUsable && settled->basedOnRoster >= m_rosterVersion;
    if (isTableUsable) {
        m_transitional = settled->transitional;
    }
    if (previous != nullptr && !coversRoster) {
        m_transitional |= previous->m_transitional;
        if (mayHaveSkippedRosters(previous->m_rosterVersion, m_rosterVersion)) {
            m_transitional.set();
        }
    } else if (isTableUsable && !coversRoster) {
        m_transitional.set();
    }
    for (std::size_t bucket = 0; bucket < BucketCount; ++bucket) {
        if (m_defaultPositions[bucket] != m_openPositions[bucket]) {
            m_transitional.set(bucket);
        }
    }
}

} // namespace banyanwall::version
