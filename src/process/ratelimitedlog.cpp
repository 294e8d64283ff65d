#include "process/ratelimitedlog.h"

#include <algorithm>

namespace banyanwall::process {

RateLimitedLog::RateLimitedLog(double perSecond, double burst)
    : m_perSecond(perSecond)
    , m_burst(burst)
    , m_tokens(burst)
{ }

std::unique_ptr<LogEvent> RateLimitedLog::event(LogLevel level, std::string_view name,
                                                common::TimePoint now)
{
    const auto elapsed = std::chrono::duration<double>(now - m_refilledAt).count();
    m_tokens = std::min(m_burst, m_tokens + elapsed * m_perSecond);
    m_refilledAt = now;
    if (m_tokens < 1.0) {
        ++m_leftOut;
        return nullptr;
    }
    m_tokens -= 1.0;
    auto event = std::make_unique<LogEvent>(level, name);
    if (m_leftOut > 0) {
        event->with("left_out", m_leftOut);
        m_leftOut = 0;
    }
    return event;
}

} // namespace banyanwall::process
