#pragma once

#include "common/time.h"
#include "request/coordinator.h"

namespace banyanwall::process {

// The daemon reads clocks only through these functions and passes the time to its components with
// each event.
[[nodiscard]] inline common::TimePoint monotonicNow()
{
    return std::chrono::time_point_cast<common::Duration>(std::chrono::steady_clock::now());
}

[[nodiscard]] inline common::WallTime wallNow()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now());
}

[[nodiscard]] inline request::Moment currentMoment()
{
    return { monotonicNow(), wallNow() };
}

} // namespace banyanwall::process
