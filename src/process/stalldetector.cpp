#include "process/stalldetector.h"

namespace banyanwall::process {

namespace {

// Callers retransmit an opening packet for the last time 600 ms after they first sent it, and give
// up 800 ms later.
constexpr std::chrono::milliseconds StallThreshold { 1'000 };

} // namespace

void StallDetector::onWakeup(common::TimePoint now)
{
    if (m_lastWakeup && now - *m_lastWakeup > StallThreshold) {
        m_hasStalePackets = true;
    }
    m_lastWakeup = now;
}

} // namespace banyanwall::process
