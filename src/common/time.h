#pragma once

#include <chrono>

namespace banyanwall::common {

using Duration = std::chrono::microseconds;
/// Monotonic time. Routing and request code receives it with each event and never reads a clock.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
/// Wall-clock time, only for times that are sent to other processes, such as deadlines.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

} // namespace banyanwall::common
