#include "connection/zonedelays.h"

#include <algorithm>
#include <cmath>

namespace banyanwall::connection {

using common::Duration;

namespace {

// Step of the median as a part of the delay.
constexpr double Step = 0.02;
constexpr double MinDelayMicroseconds = 10.0;
// At least this part of a response time is work, however long the delay is.
constexpr double MinWorkPart = 0.1;

} // namespace

void ZoneDelays::addSample(common::ZoneId zone, Duration handshakeTime)
{
    const auto time = std::max(static_cast<double>(handshakeTime.count()), MinDelayMicroseconds);
    const auto [delay, isNew] = m_delays.try_emplace(zone, time);
    if (!isNew) {
        const auto factor = time > delay->second ? 1.0 + Step : 1.0 / (1.0 + Step);
        delay->second = std::max(delay->second * factor, MinDelayMicroseconds);
    }
}

Duration ZoneDelays::of(common::ZoneId zone) const
{
    const auto found = m_delays.find(zone);
    return found == m_delays.end() ? Duration {} : Duration(std::llround(found->second));
}

Duration ZoneDelays::workTimeOf(common::ZoneId zone, Duration time) const
{
    const auto least = Duration(std::llround(static_cast<double>(time.count()) * MinWorkPart));
    return std::max(time - of(zone), least);
}

} // namespace banyanwall::connection
