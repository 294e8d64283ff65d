#pragma once

#include "common/time.h"
#include "process/logging.h"

#include <cstdint>
#include <memory>
#include <string_view>

namespace banyanwall::process {

/// Limits the rate of log events on the packet path (token bucket). Events beyond the rate are left
/// out; the next written event holds their number (left_out). Not thread-safe.
class RateLimitedLog
{
public:
    /// Allows burst events at once, and perSecond events per second on average.
    RateLimitedLog(double perSecond, double burst);

    /// The event to write; null when the event is left out.
    std::unique_ptr<LogEvent> event(LogLevel level, std::string_view name, common::TimePoint now);

private:
    double m_perSecond;
    double m_burst;
    double m_tokens;
    common::TimePoint m_refilledAt;
    std::uint64_t m_leftOut = 0;
};

} // namespace banyanwall::process
