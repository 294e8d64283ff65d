#pragma once

#include "common/endpoint.h"
#include "common/ids.h"
#include "common/time.h"

#include <cstdint>
#include <vector>

namespace banyanwall::version {

enum class UpstreamState {
    /// Takes new flows and requests.
    Active,
    /// Keeps its flows, takes no new flows or requests.
    Draining,
    /// Its availability zone is withdrawn: receives no packets at all.
    Withdrawn,
};

struct RosterUpstream
{
    common::UpstreamId id;
    common::ZoneId zone;
    common::Endpoint address;
    UpstreamState state = UpstreamState::Active;
    /// Share of its fair part of new flows that it takes, in percent; below 100 while its zone
    /// returns or in a cutover.
    std::uint32_t sharePercent = 100;
    /// Belongs to the group that a cutover moves to.
    bool isCutoverTarget = false;
};

/// Upstreams of one service as derived from a contract version and a zone version; the same on all
/// instances.
struct ServiceRoster
{
    common::CustomerId customer;
    common::ServiceId service;
    common::Endpoint address;
    common::RosterVersion version;
    /// Sorted by id.
    std::vector<RosterUpstream> upstreams;
    std::uint32_t slotsPerUpstream = 0;
    std::uint32_t connectionsPerUpstream = 0;
    std::uint32_t requestsPerSecond = 0;
    std::chrono::milliseconds longestRequest { 10'000 };
    std::chrono::milliseconds usualLatency { 50 };
    std::chrono::seconds idleLimit { 60 };
    /// Share of repeatable requests that go to both groups of a cutover, in percent.
    std::uint32_t comparePercent = 0;
};

} // namespace banyanwall::version
