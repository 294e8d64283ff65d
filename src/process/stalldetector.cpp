#include "process/stalldetector.h"

namespace banyanwall::process {

namespace {

// Callers send the last copy of an opening packet 600 ms after the first, and wait 800 ms more.
constexpr std::chrono::milliseconds LongestPause { 1'000 };

} // namespace

void StallDetector::onWakeup(common::TimePoint now)
{
    if (m_lastWakeup && now - *m_lastWakeup > LongestPause) {
        m_isStale = true;
    }
    m_lastWakeup = now;
}

} // namespace banyanwall::process
