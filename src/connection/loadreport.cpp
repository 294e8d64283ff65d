#include "connection/loadreport.h"

#include <algorithm>

namespace banyanwall::connection {

using common::Duration;
using common::TimePoint;

namespace {

using Seconds = std::chrono::duration<double>;

constexpr double BytesPerSecond = 900.0;
constexpr double ReserveBytes = 2'000.0;
// A report of this many rows fits into one datagram.
constexpr std::size_t MaxUpstreams = 60;

// Encoded sizes of rows, and of the message around them.
constexpr std::size_t UpstreamRowBytes = 15;
constexpr std::size_t DemandRowBytes = 11;
constexpr std::size_t ZoneBytes = 5;
// Left out when no work is left.
constexpr std::size_t WorkBytes = 3;
constexpr std::size_t EnvelopeBytes = 3;
// The length of a longer message takes one byte more.
constexpr std::size_t MaxShortMessageBytes = 127;

} // namespace

std::size_t LoadReport::maxEncodedBytes() const
{
    const auto idle = std::ranges::count(upstreams, Duration {}, &ReportedUpstream::workLeft);
    const auto allZones = std::ranges::count(demands, common::ZoneId {}, &ReportedDemand::zone);
    const auto bytes = upstreams.size() * UpstreamRowBytes
            + demands.size() * (DemandRowBytes + ZoneBytes)
            - static_cast<std::size_t>(idle) * WorkBytes
            - static_cast<std::size_t>(allZones) * ZoneBytes;
    return EnvelopeBytes + bytes + (bytes > MaxShortMessageBytes ? 1 : 0);
}

void ReportBudget::refill(TimePoint now)
{
    const Seconds elapsed = now - m_refilledAt;
    m_refilledAt = now;
    m_bytes = std::min(m_bytes + elapsed.count() * BytesPerSecond, ReserveBytes);
}

std::size_t ReportBudget::maxUpstreams(const LoadReport &report) const
{
    const auto bytes = m_bytes / static_cast<double>(std::max(m_receivers, 1U));
    const auto left = bytes - static_cast<double>(report.maxEncodedBytes());
    const auto rows = std::max(left, 0.0) / static_cast<double>(UpstreamRowBytes);
    return std::clamp<std::size_t>(static_cast<std::size_t>(rows), 1, MaxUpstreams);
}

bool ReportBudget::take(const LoadReport &report)
{
    const auto cost = costOf(report);
    if (m_bytes < std::min(cost, ReserveBytes)) {
        return false;
    }
    m_bytes -= cost;
    return true;
}

Duration ReportBudget::intervalOf(const LoadReport &report, double share) const
{
    return std::chrono::duration_cast<Duration>(Seconds(costOf(report) / (BytesPerSecond * share)));
}

double ReportBudget::costOf(const LoadReport &report) const
{
    return static_cast<double>(report.maxEncodedBytes() * m_receivers);
}

} // namespace banyanwall::connection
