#pragma once

#include "common/endpoint.h"
#include "common/ids.h"
#include "common/time.h"

#include <cstdint>
#include <vector>

namespace banyanwall::version {

enum class UpstreamState {
    /// The upstream takes new flows and requests.
    Active,
    /// The upstream keeps its flows and takes no new flows or requests.
    Draining,
    /// The availability zone of the upstream is withdrawn. No packets are sent to it.
    Withdrawn,
};

struct RosterUpstream
{
    common::UpstreamId id;
    common::ZoneId zone;
    common::Endpoint address;
    UpstreamState state = UpstreamState::Active;
    /// Part of its fair share of new flows that the upstream takes, in percent; below 100 while its
    /// zone returns and during a cutover.
    std::uint32_t sharePercent = 100;
    /// The upstream belongs to the group to which a cutover moves the service.
    bool isCutoverTarget = false;
};

/// Upstreams and limits of one service, derived from a contract version and a zone version; the
/// same on all instances.
struct ServiceRoster
{
    common::CustomerId customer;
    common::ServiceId service;
    common::Endpoint address;
    common::RosterVersion version;
    /// Sorted by id.
    std::vector<RosterUpstream> upstreams;
    // The following values are those of ServiceContract.
    std::uint32_t slotsPerUpstream = 0;
    std::uint32_t connectionsPerUpstream = 0;
    std::uint32_t requestsPerSecond = 0;
    std::chrono::milliseconds longestRequest { 10'000 };
    std::chrono::milliseconds usualLatency { 50 };
    std::chrono::seconds idleLimit { 60 };
    /// Share of repeatable requests that are sent to both groups of a cutover, in percent.
    std::uint32_t comparePercent = 0;
};

} // namespace banyanwall::version
