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

/// Upstreams that run the same software. A service has one group, or two during a cutover.
struct UpstreamGroup
{
    std::string name;
    std::vector<UpstreamSpec> upstreams;
};

/// Gradual move of a service from one upstream group to another.
struct CutoverSpec
{
    std::string fromGroup;
    std::string toGroup;
    /// Share of new flows and requests that go to toGroup, in percent.
    std::uint32_t sharePercent = 0;
    /// Share of repeatable requests sent to both groups to compare the answers, in percent.
    std::uint32_t comparePercent = 0;
    /// HTTP URL (IP address and port) to which a notice is sent before a change of sharePercent is
    /// accepted.
    std::string noticeUrl;
};

/// Terms of one service of a customer.
struct ServiceContract
{
    std::string name;
    common::Endpoint address;
    std::vector<UpstreamGroup> groups;
    /// Maximum number of requests that an upstream runs at the same time.
    std::uint32_t slotsPerUpstream = 0;
    /// Maximum number of flows that an upstream holds at the same time.
    std::uint32_t connectionsPerUpstream = 0;
    /// Requests per second that the customer may send to this service.
    std::uint32_t requestsPerSecond = 0;
    /// Maximum time from the issue of a request to its whole answer.
    std::chrono::milliseconds longestRequest { 10'000 };
    /// Usual answer time of an upstream that is not cold; slow start compares answer times with it.
    std::chrono::milliseconds usualLatency { 50 };
    /// A flow without a packet for this long has ended.
    std::chrono::seconds idleLimit { 60 };
    std::optional<CutoverSpec> cutover;
};

/// Contract of one customer; the only document that operators edit as text.
struct Contract
{
    std::string customer;
    std::vector<std::string> zones;
    std::vector<ServiceContract> services;
};

} // namespace banyanwall::version
