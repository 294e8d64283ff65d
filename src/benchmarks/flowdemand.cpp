#include "benchmarks/flowdemand.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <numeric>

namespace banyanwall::benchmarks {

using common::Duration;

namespace {

constexpr double FeedWorkMs = 40.0;
constexpr double SubmissionWorkMs = 52.0;
// Standard deviation of the work of a request, divided by its mean.
constexpr double WorkVariation = 0.5;
constexpr double TailFactor = 7.0;
constexpr double SwingSeconds = 15.0;

Duration toDuration(double milliseconds)
{
    const std::chrono::duration<double, std::milli> time(milliseconds);
    return std::chrono::duration_cast<Duration>(time);
}

/// Index of the part that the position falls into.
int indexOf(const auto &parts, auto position)
{
    const auto found = std::ranges::find_if(parts, [&](auto part) {
        position -= part;
        return position < 0;
    });
    return static_cast<int>(std::min(found, parts.end() - 1) - parts.begin());
}

} // namespace

FlowDemand::FlowDemand(const FlowLoadSizes &sizes, std::mt19937 &random)
    : m_sizes(sizes)
    , m_random(random)
{ }

int FlowDemand::zoneOfUpstream(int upstream) const
{
    return m_sizes.upstreamsByZone.empty() ? upstream % m_sizes.zones
                                           : indexOf(m_sizes.upstreamsByZone, upstream);
}

double FlowDemand::speedOfUpstream(int upstream) const
{
    const auto &speeds = m_sizes.speeds;
    // Each zone has upstreams of all speeds.
    const auto turn = static_cast<std::size_t>(upstream / m_sizes.zones);
    return speeds.empty() ? 1.0 : speeds[turn % speeds.size()];
}

int FlowDemand::zoneOfFeed(int feed) const
{
    const auto &parts = m_sizes.callersByZone;
    if (parts.empty()) {
        return feed % m_sizes.zones;
    }
    const auto sum = std::accumulate(parts.begin(), parts.end(), 0.0);
    return indexOf(parts, (feed + 0.5) * sum / m_sizes.feeds);
}

Duration FlowDemand::drawGap()
{
    std::exponential_distribution<double> gap(m_sizes.submissions * (1.0 + m_sizes.swing));
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(m_random)));
}

std::optional<int> FlowDemand::drawZone(std::uint32_t caller, Duration time)
{
    const bool isSteady = m_sizes.swing == 0.0;
    if (m_sizes.callersByZone.empty() && isSteady) {
        return static_cast<int>(caller) % m_sizes.zones;
    }
    auto parts = m_sizes.callersByZone;
    parts.resize(static_cast<std::size_t>(m_sizes.zones), parts.empty() ? 1.0 : 0.0);
    const auto zone = std::discrete_distribution<int>(parts.begin(), parts.end())(m_random);
    if (isSteady) {
        return zone;
    }
    const auto turns = std::chrono::duration<double>(time).count() / SwingSeconds
            + static_cast<double>(zone) / m_sizes.zones;
    const auto demand = 1.0 + m_sizes.swing * std::sin(2.0 * std::numbers::pi * turns);
    std::bernoulli_distribution isSubmitted(demand / (1.0 + m_sizes.swing));
    return isSubmitted(m_random) ? std::optional(zone) : std::nullopt;
}

Duration FlowDemand::drawWork(bool isFeed)
{
    const auto mean = isFeed ? FeedWorkMs : SubmissionWorkMs;
    const auto sigma = std::sqrt(std::log(1.0 + WorkVariation * WorkVariation));
    std::lognormal_distribution<double> work(std::log(mean) - sigma * sigma / 2, sigma);
    const auto drawn = work(m_random);
    const bool isLong =
            m_sizes.tailShare > 0.0 && std::bernoulli_distribution(m_sizes.tailShare)(m_random);
    return toDuration(isLong ? drawn * TailFactor : drawn);
}

Duration FlowDemand::meanWork() const
{
    return toDuration(SubmissionWorkMs * (1.0 + m_sizes.tailShare * (TailFactor - 1.0)));
}

double FlowDemand::busySlotsOfFeed()
{
    // A feed sends about one request per second.
    return FeedWorkMs / 1e3;
}

} // namespace banyanwall::benchmarks
