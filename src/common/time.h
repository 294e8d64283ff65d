#pragma once

#include <chrono>

namespace banyanwall::common {

using Duration = std::chrono::microseconds;
/// Monotonic time; the core receives it with each event and never reads a clock.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
/// Wall-clock time, used only where deadlines cross process boundaries.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

} // namespace banyanwall::common
