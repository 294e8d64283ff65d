#include "tools/faultinjector.h"

namespace banyanwall::tools {

FaultInjector::FaultInjector(FaultRates rates, std::uint64_t seed)
    : m_rates(rates)
    , m_random(seed)
{ }

std::vector<common::Duration> FaultInjector::nextDelays()
{
    if (drawEvent(m_rates.drop)) {
        ++m_counters.dropped;
        return {};
    }
    std::vector<common::Duration> delays { drawDelay() };
    if (drawEvent(m_rates.duplicate)) {
        ++m_counters.duplicated;
        delays.push_back(drawDelay());
    }
    return delays;
}

std::size_t FaultInjector::pickIndex(std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
}

bool FaultInjector::drawEvent(double probability)
{
    return probability > 0 && std::bernoulli_distribution(probability)(m_random);
}

common::Duration FaultInjector::drawDelay()
{
    if (drawEvent(m_rates.delay)) {
        ++m_counters.delayed;
        return drawDelayUpTo(m_rates.maxDelay);
    }
    if (drawEvent(m_rates.reorder)) {
        ++m_counters.reordered;
        return drawDelayUpTo(MaxReorderDelay);
    }
    return common::Duration::zero();
}

common::Duration FaultInjector::drawDelayUpTo(common::Duration maxDelay)
{
    return common::Duration(
            std::uniform_int_distribution<common::Duration::rep>(1, maxDelay.count())(m_random));
}

} // namespace banyanwall::tools
