#pragma once

#include "common/endpoint.h"
#include "common/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace banyanwall::version {

/// A server of a service, in one availability zone.
struct UpstreamSpec
{
    std::string name;
    std::string zone;
    common::Endpoint address;
};

/// Upstreams that run the same system. A service has one group, or two during a cutover.
struct UpstreamGroup
{
    std::string name;
    std::vector<UpstreamSpec> upstreams;
};

/// Planned move of a service from one upstream group to another.
struct CutoverSpec
{
    std::string fromGroup;
    std::string toGroup;
    /// Share of new flows and requests that go to toGroup, in percent.
    std::uint32_t sharePercent = 0;
    /// Share of repeatable requests sent to both groups to compare the answers, in percent.
    std::uint32_t comparePercent = 0;
    /// HTTP URL (IP number and port) that receives the notice before a change of share is accepted.
    std::string noticeUrl;
};

/// What a customer was promised for one service.
struct ServiceContract
{
    std::string name;
    common::Endpoint address;
    std::vector<UpstreamGroup> groups;
    /// Requests that an upstream runs at the same time.
    std::uint32_t slotsPerUpstream = 0;
    /// Flows that an upstream holds at the same time.
    std::uint32_t connectionsPerUpstream = 0;
    /// Requests a second that the customer may send to this service.
    std::uint32_t requestsPerSecond = 0;
    /// Longest time from issue to answer of a request.
    std::chrono::milliseconds longestRequest { 10'000 };
    /// Usual answer time of a warm upstream; slow start compares answers to it.
    std::chrono::milliseconds usualLatency { 50 };
    /// A flow without a packet for this long counts as ended.
    std::chrono::seconds idleLimit { 60 };
    std::optional<CutoverSpec> cutover;
};

/// One customer's contract; the only document that operators edit.
struct Contract
{
    std::string customer;
    std::vector<std::string> zones;
    std::vector<ServiceContract> services;
};

} // namespace banyanwall::version
