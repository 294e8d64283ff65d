#pragma once

#include <cstddef>

namespace banyanwall::benchmarks {

/// What one coordinator costs with a given number of requests in progress.
struct CoordinatorCost
{
    /// From arrival to delivered answer, each with one ask, grant, dispatch and fragment.
    double requestsPerSecond = 0;
    double bytesPerRequestInProgress = 0;
    /// Of a finished request whose answer is dropped or refused.
    double bytesPerMarker = 0;
};

/// Measures with real time and the allocator's own count; payloads and answers have 200 bytes.
[[nodiscard]] CoordinatorCost measureCoordinator(std::size_t inProgress);

} // namespace banyanwall::benchmarks
