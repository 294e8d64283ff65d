#include "connection/answertime.h"

#include <algorithm>
#include <cmath>

namespace banyanwall::connection {

namespace {

// A mean over about this many samples follows a change of load within seconds.
constexpr int Memory = 6;
// Time in which the evidence of a sample falls to a third.
constexpr double FadingSeconds = 3.0;

} // namespace

void AnswerTime::add(common::Duration sample, common::TimePoint now)
{
    m_samples = std::min(m_samples + 1, Memory);
    m_mean += (static_cast<double>(sample.count()) - m_mean) / m_samples;
    m_lastSample = now;
}

double AnswerTime::estimate(double usual, common::TimePoint now) const
{
    if (m_samples == 0) {
        return usual;
    }
    const auto age = std::chrono::duration<double>(now - m_lastSample).count();
    // A mean of few samples says little.
    const auto weight = std::exp(-age / FadingSeconds) * m_samples / Memory;
    return usual + (m_mean - usual) * weight;
}

} // namespace banyanwall::connection
