#pragma once

#include "common/time.h"

namespace banyanwall::tools {

/// Both clocks read at the same time: the monotonic clock, for durations, and the wall clock, for
/// times in messages and reports. The stand-ins get a reading with each event.
struct ClockReading
{
    common::TimePoint now;
    common::WallTime wall;

    [[nodiscard]] static ClockReading current()
    {
        return { std::chrono::time_point_cast<common::Duration>(std::chrono::steady_clock::now()),
                 std::chrono::time_point_cast<std::chrono::milliseconds>(
                         std::chrono::system_clock::now()) };
    }
};

} // namespace banyanwall::tools
