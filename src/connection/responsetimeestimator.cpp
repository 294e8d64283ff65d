#include "connection/responsetimeestimator.h"

#include <algorithm>
#include <cmath>

namespace banyanwall::connection {

namespace {

// A mean over about this many samples follows a change of load within seconds.
constexpr int MaxSampleCount = 6;
// Time in which the weight of the samples falls to 1/e (about a third).
constexpr double DecaySeconds = 3.0;

} // namespace

void ResponseTimeEstimator::addSample(common::Duration sample, common::TimePoint now)
{
    m_sampleCount = std::min(m_sampleCount + 1, MaxSampleCount);
    m_mean += (static_cast<double>(sample.count()) - m_mean) / m_sampleCount;
    m_lastSample = now;
}

double ResponseTimeEstimator::estimate(double baseline, common::TimePoint now) const
{
    if (m_sampleCount == 0) {
        return baseline;
    }
    const auto age = std::chrono::duration<double>(now - m_lastSample).count();
    // With few samples the estimate stays near the baseline.
    const auto weight = std::exp(-age / DecaySeconds) * m_sampleCount / MaxSampleCount;
    return baseline + (m_mean - baseline) * weight;
}

} // namespace banyanwall::connection
