#pragma once

#include "common/time.h"

#include <optional>

namespace banyanwall::process {

/// Detects that the process did not run for more than 1 s, because it was frozen or had no
/// processor time. Packets that arrived during that time are stale: their callers have
/// retransmitted them or given up. Not thread-safe.
class StallDetector
{
public:
    /// Called at each wake-up of the process. A timer has to wake it up several times a second.
    void onWakeup(common::TimePoint now);

    /// Called when all packets that waited in the socket have been read.
    void onSocketEmpty() { m_hasStalePackets = false; }

    /// Whether packets that are read now may have arrived before the end of a stall.
    [[nodiscard]] bool hasStalePackets() const { return m_hasStalePackets; }

private:
    std::optional<common::TimePoint> m_lastWakeup;
    bool m_hasStalePackets = false;
};

} // namespace banyanwall::process
