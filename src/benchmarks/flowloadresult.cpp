#include "benchmarks/flowloadresult.h"

#include <algorithm>

namespace banyanwall::benchmarks {

using common::Duration;

FlowLoadResult &FlowLoadResult::operator+=(const FlowLoadResult &other)
{
    requests += other.requests;
    inTime += other.inTime;
    late += other.late;
    failed += other.failed;
    wrongResets += other.wrongResets;
    latencies.insert(latencies.end(), other.latencies.begin(), other.latencies.end());
    return *this;
}

double FlowLoadResult::goodput() const
{
    return share(inTime);
}

double FlowLoadResult::share(std::uint64_t part) const
{
    return requests == 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(requests);
}

Duration FlowLoadResult::percentile(double part)
{
    if (latencies.empty()) {
        return {};
    }
    const auto index = static_cast<std::size_t>(part * static_cast<double>(latencies.size() - 1));
    std::ranges::nth_element(latencies, latencies.begin() + static_cast<std::ptrdiff_t>(index));
    return latencies[index];
}

} // namespace banyanwall::benchmarks
