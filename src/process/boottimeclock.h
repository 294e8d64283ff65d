#pragma once

#include "common/time.h"

#include <ctime>

namespace banyanwall::process {

/// Monotonic time that goes on while the instance is suspended, so that knowledge from before a
/// suspension counts as old after it.
[[nodiscard]] inline common::TimePoint bootTimeNow()
{
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return common::TimePoint(std::chrono::duration_cast<common::Duration>(
            std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

} // namespace banyanwall::process
