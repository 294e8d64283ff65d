#include "connection/requestcost.h"

#include <algorithm>
#include <cmath>

namespace banyanwall::connection {

using common::Duration;

namespace {

constexpr double MinSamples = 4.0;
// A mean over this many samples changes little in an overload of a few seconds, in which response
// times hold the wait for a slot and say nothing about the work of a request.
constexpr double MaxSamples = 256.0;
// Limits the effect of a single sample on the geometric mean: a factor of four.
constexpr double MaxLog = 1.4;
constexpr double BinsPerDoubling = 2.0;
// Exponent of the lower bound of the first bin, in microseconds.
constexpr double FirstBinExponent = 8.0;
// Weight of the assumption that a request which has run for some time runs as long again, against
// the weight of one sample.
constexpr double TailWeight = 1.0;

double microsecondsOf(Duration duration)
{
    return static_cast<double>(std::max<Duration::rep>(duration.count(), 1));
}

Duration durationOf(double microseconds)
{
    return Duration(std::llround(microseconds));
}

/// Middle of a bin in microseconds.
double middleOf(std::size_t bin)
{
    return std::exp2(FirstBinExponent + (static_cast<double>(bin) + 0.5) / BinsPerDoubling);
}

} // namespace

void RequestCost::addSample(Duration responseTime)
{
    const auto time = microsecondsOf(responseTime);
    m_samples = std::min(m_samples + 1.0, MaxSamples);
    m_mean += (time - m_mean) / m_samples;
    m_meanSquare += (time * time - m_meanSquare) / m_samples;
    const auto deviation = std::log(time) - m_logMean;
    const auto limited =
            m_samples > MinSamples ? std::clamp(deviation, -MaxLog, MaxLog) : deviation;
    m_logMean += limited / m_samples;
    if (m_samples >= MaxSamples) {
        std::ranges::for_each(m_bins, [](float &count) { count *= 1.0F - 1.0F / MaxSamples; });
    }
    const auto position = (std::log2(time) - FirstBinExponent) * BinsPerDoubling;
    const auto bin = std::clamp(position, 0.0, static_cast<double>(BinCount - 1));
    m_bins.at(static_cast<std::size_t>(bin)) += 1.0F;
}

bool RequestCost::isKnown() const
{
    return m_samples >= MinSamples;
}

Duration RequestCost::mean() const
{
    return isKnown() ? durationOf(m_mean) : Duration {};
}

Duration RequestCost::spread() const
{
    const auto variance = std::max(m_meanSquare - m_mean * m_mean, 0.0);
    return isKnown() ? durationOf(std::sqrt(variance)) : Duration {};
}

double RequestCost::logRatio(Duration responseTime) const
{
    return std::log(microsecondsOf(responseTime)) - m_logMean;
}

Duration RequestCost::remaining(Duration age) const
{
    const auto elapsed = microsecondsOf(age);
    double weight = TailWeight;
    double sum = TailWeight * std::max(m_mean - elapsed, elapsed);
    for (std::size_t bin = 0; bin < BinCount; ++bin) {
        if (const auto time = middleOf(bin); time > elapsed) {
            weight += static_cast<double>(m_bins.at(bin));
            sum += static_cast<double>(m_bins.at(bin)) * (time - elapsed);
        }
    }
    return durationOf(sum / weight);
}

} // namespace banyanwall::connection
