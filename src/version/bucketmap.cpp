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

/// True when rosters may exist between the two versions: contract version and zone version have
/// not grown by one in sum.
bool mayHaveSkipped(common::RosterVersion before, common::RosterVersion after)
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
    , m_opens(BucketCount, 0)
{
    const auto active = assignableUpstreams(roster);
    std::ranges::transform(active, std::back_inserter(m_upstreams), &WeightedUpstream::id);
    const auto assigned = assignBuckets(roster.service, active, BucketCount);
    std::ranges::transform(assigned, m_opens.begin(), [](std::uint16_t position) {
        return static_cast<std::uint16_t>(position + 1);
    });
    if (isUsable(settled, previous)) {
        m_settledRevision = settled->revision;
        takeDefaults(settled->defaults);
    } else if (previous != nullptr) {
        m_settledRevision = previous->settledRevision();
        takeDefaults(previous->settledTable().defaults);
    } else {
        m_defaults = m_opens;
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
    return { m_upstreams[m_defaults[index]], m_upstreams[m_opens[index]], m_transitional[index] };
}

SettledTable BucketMap::settledTable() const
{
    SettledTable table { m_settledRevision, {}, m_transitional, m_rosterVersion };
    table.defaults.reserve(BucketCount);
    std::ranges::transform(m_defaults, std::back_inserter(table.defaults),
                           [&](std::uint16_t index) { return m_upstreams[index]; });
    return table;
}

std::uint16_t BucketMap::indexOf(UpstreamId upstream)
{
    // Defaults outside the roster are few; the table stays small enough for a linear search.
    const auto found = std::ranges::find(m_upstreams, upstream);
    const auto index = static_cast<std::uint16_t>(found - m_upstreams.begin());
    if (found == m_upstreams.end()) {
        m_upstreams.push_back(upstream);
    }
    return index;
}

void BucketMap::takeDefaults(const std::vector<UpstreamId> &defaults)
{
    m_defaults.reserve(BucketCount);
    std::ranges::transform(defaults, std::back_inserter(m_defaults),
                           [this](UpstreamId upstream) { return indexOf(upstream); });
}

void BucketMap::markTransitional(const std::optional<SettledTable> &settled,
                                 const BucketMap *previous)
{
    const bool usable = isUsable(settled, previous);
    const bool accountsForRoster = usable && settled->basedOn >= m_rosterVersion;
    if (usable) {
        m_transitional = settled->transitional;
    }
    if (previous != nullptr && !accountsForRoster) {
        m_transitional |= previous->m_transitional;
        if (mayHaveSkipped(previous->m_rosterVersion, m_rosterVersion)) {
            m_transitional.set();
        }
    } else if (usable && !accountsForRoster) {
        m_transitional.set();
    }
    for (std::size_t bucket = 0; bucket < BucketCount; ++bucket) {
        if (m_defaults[bucket] != m_opens[bucket]) {
            m_transitional.set(bucket);
        }
    }
}

} // namespace banyanwall::version
