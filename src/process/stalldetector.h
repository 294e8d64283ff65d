#pragma once

#include "common/time.h"

#include <optional>

namespace banyanwall::process {

/// Notices that the process did not run for a while, frozen or without processor time. What waits
/// in its sockets then is old: callers have repeated it or given up. Not thread-safe.
class StallDetector
{
public:
    /// The process runs. Called at each wake-up; timers make sure that these are frequent.
    void onWakeup(common::TimePoint now);

    /// Nothing waits in the socket any more.
    void onSocketEmpty() { m_isStale = false; }

    /// Whether packets that are read now waited through a stall.
    [[nodiscard]] bool isStale() const { return m_isStale; }

private:
    std::optional<common::TimePoint> m_lastWakeup;
    bool m_isStale = false;
};

} // namespace banyanwall::process
