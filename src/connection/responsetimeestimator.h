#pragma once

#include "common/time.h"

namespace banyanwall::connection {

/// Estimates the response time of an upstream or a service as a running mean. Recent samples have
/// the largest weight. The longer there is no sample, the closer the estimate gets to a given
/// baseline, so that an upstream that was avoided as slow gets flows again. Not thread-safe.
class ResponseTimeEstimator
{
public:
    void addSample(common::Duration sample, common::TimePoint now);
    /// Estimate in microseconds; equals baseline (in microseconds) when there are no samples.
    [[nodiscard]] double estimate(double baseline, common::TimePoint now) const;

    /// Mean in microseconds without regard to its age; 0 when there are no samples.
    [[nodiscard]] double mean() const { return m_mean; }

private:
    double m_mean = 0.0;
    int m_sampleCount = 0;
    common::TimePoint m_lastSample;
};

} // namespace banyanwall::connection
