#pragma once

#include "common/time.h"
#include "process/logging.h"

#include <cstdint>
#include <memory>
#include <string_view>

namespace banyanwall::process {

/// Log events of the packet path at a bounded rate. Events beyond the rate are counted, and the
/// next written one tells how many were left out. Not thread-safe.
class EventLog
{
public:
    /// burst events at once, perSecond of them on average.
    EventLog(double perSecond, double burst);

    /// Null when the event is left out.
    std::unique_ptr<LogEvent> event(LogLevel level, std::string_view name, common::TimePoint now);

private:
    double m_perSecond;
    double m_burst;
    double m_tokens;
    common::TimePoint m_refilledAt;
    std::uint64_t m_leftOut = 0;
};

} // namespace banyanwall::process
