#pragma once

#include "common/time.h"

#include <cstdint>
#include <vector>

namespace banyanwall::benchmarks {

struct FlowLoadResult
{
    std::uint64_t requests = 0;
    /// Requests answered within the latency target of their kind.
    std::uint64_t inTime = 0;
    /// Requests answered after the latency target.
    std::uint64_t late = 0;
    /// Requests without an answer when the caller timed out or had used all retries.
    std::uint64_t failed = 0;
    /// Flows that were reset although their upstream was running and reachable.
    std::uint64_t wrongResets = 0;
    /// From the start of a request to its answer; failed requests are left out.
    std::vector<common::Duration> latencies {};

    FlowLoadResult &operator+=(const FlowLoadResult &other);

    /// Share of the requests that were answered within the latency target.
    [[nodiscard]] double goodput() const;
    /// The given count divided by the number of all requests.
    [[nodiscard]] double share(std::uint64_t part) const;
    /// part is from 0 to 1.
    [[nodiscard]] common::Duration percentile(double part);
};

} // namespace banyanwall::benchmarks
