#pragma once

#include "common/time.h"

#include <array>
#include <cstddef>

namespace banyanwall::connection {

/// Distribution of the time that requests of one kind take at an upstream of usual speed. Recent
/// samples have the largest weight. Not thread-safe.
class RequestCost
{
public:
    /// The response time of an upstream of usual speed.
    void addSample(common::Duration responseTime);

    /// Whether there are enough samples for an estimate.
    [[nodiscard]] bool isKnown() const;
    /// Zero while unknown.
    [[nodiscard]] common::Duration mean() const;
    /// Standard deviation.
    [[nodiscard]] common::Duration spread() const;
    /// Natural logarithm of the time divided by the geometric mean of the kind.
    [[nodiscard]] double logRatio(common::Duration responseTime) const;
    /// Expected time until the answer of a request that has run for this long. Beyond the usual
    /// time it grows with the age: the request belongs to the tail of the distribution.
    [[nodiscard]] common::Duration remaining(common::Duration age) const;

private:
    // Two bins for each doubling of the time, from 256 us to 16 s.
    static constexpr std::size_t BinCount = 32;

    double m_samples = 0.0;
    /// In microseconds.
    double m_mean = 0.0;
    /// Mean square in square microseconds.
    double m_meanSquare = 0.0;
    double m_logMean = 0.0;
    /// Number of samples by time; old samples count less.
    std::array<float, BinCount> m_bins {};
};

} // namespace banyanwall::connection
