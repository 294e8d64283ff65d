#pragma once

#include "common/time.h"

#include <cstdint>
#include <vector>

namespace banyanwall::benchmarks {

/// Delay between callers and instances, one way.
inline constexpr std::chrono::milliseconds CallerDelay { 3 };

/// Size of the simulated load; the defaults are those of the workshop deployment.
struct FlowLoadSizes
{
    int zones = 3;
    int instancesPerZone = 7;
    int upstreams = 14;
    /// Requests that an upstream runs at the same time.
    std::uint32_t slots = 3;
    /// Callers that keep a flow open and send about one request per second on it.
    int feeds = 290;
    /// Requests per second that each open a flow of their own and may run only once.
    double submissions = 83.0;
    common::Duration duration = std::chrono::seconds(20);
    /// Share of the packets to upstreams that are lost, from 0 to 1.
    double loss = 0.0;
    /// Speeds of the upstreams in turn; 1 for all when empty.
    std::vector<double> speeds {};
    /// Number of upstreams of each zone; even when empty.
    std::vector<int> upstreamsByZone {};
    /// Parts of the callers in each zone; even when empty.
    std::vector<double> callersByZone {};
    /// Share of the requests that have seven times the usual work, from 0 to 1.
    double tailShare = 0.0;
    /// Amplitude of the submissions per second of each zone, from 0 to 1. The zones are evenly out
    /// of phase.
    double swing = 0.0;
};

} // namespace banyanwall::benchmarks
