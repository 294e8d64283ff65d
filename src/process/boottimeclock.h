#pragma once

#include "common/time.h"

#include <ctime>

namespace banyanwall::process {

/// Monotonic time that includes the time the machine was suspended, so that state from before a
/// suspension is old after it.
[[nodiscard]] inline common::TimePoint bootTimeNow()
{
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return common::TimePoint(std::chrono::duration_cast<common::Duration>(
            std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

} // namespace banyanwall::process
