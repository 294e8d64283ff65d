#pragma once

#include "common/time.h"

namespace banyanwall::tools {

/// Both clocks at one moment, as the stand-ins receive them with each event.
struct Moment
{
    common::TimePoint now;
    common::WallTime wall;

    [[nodiscard]] static Moment current()
    {
        return { std::chrono::time_point_cast<common::Duration>(std::chrono::steady_clock::now()),
                 std::chrono::time_point_cast<std::chrono::milliseconds>(
                         std::chrono::system_clock::now()) };
    }
};

} // namespace banyanwall::tools
