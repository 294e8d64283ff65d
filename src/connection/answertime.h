#pragma once

#include "common/time.h"

namespace banyanwall::connection {

/// Running mean of the time to an answer. Recent samples count most, and without samples the mean
/// returns to a given usual value, so that an upstream that got no flows is tried again. Not
/// thread-safe.
class ResponseTimeEstimator
{
public:
    void addSample(common::Duration sample, common::TimePoint now);
    /// Mean in microseconds; usual when there are no samples.
    [[nodiscard]] double estimate(double baseline, common::TimePoint now) const;

    /// Mean in microseconds, however old; 0 when there are no samples.
    [[nodiscard]] double mean() const { return m_mean; }

private:
    double m_mean = 0.0;
    int m_sampleCount = 0;
    common::TimePoint m_lastSample;
};

} // namespace banyanwall::connection
