#pragma once

#include <cstddef>

namespace banyanwall::benchmarks {

/// Cost of one coordinator with a given number of requests in progress.
struct CoordinatorCost
{
    /// From arrival to delivered answer, each with one slot request, grant, dispatch and fragment.
    double requestsPerSecond = 0;
    double bytesPerRequestInProgress = 0;
    /// Memory kept for a finished request whose answer was dropped or refused.
    double bytesPerFinishedRequest = 0;
};

/// Measures real time, and memory as counted by the allocator. Payloads and answers have 200 bytes.
[[nodiscard]] CoordinatorCost measureCoordinator(std::size_t inProgress);

} // namespace banyanwall::benchmarks
