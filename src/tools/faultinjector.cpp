#include "tools/faultinjector.h"

namespace banyanwall::tools {

FaultInjector::FaultInjector(FaultRates rates, std::uint64_t seed)
    : m_rates(rates)
    , m_random(seed)
{ }

std::vector<common::Duration> FaultInjector::next()
{
    if (happens(m_rates.drop)) {
        ++m_counters.dropped;
        return {};
    }
    std::vector<common::Duration> copies { hold() };
    if (happens(m_rates.duplicate)) {
        ++m_counters.duplicated;
        copies.push_back(hold());
    }
    return copies;
}

std::size_t FaultInjector::pick(std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
}

bool FaultInjector::happens(double probability)
{
    return probability > 0 && std::bernoulli_distribution(probability)(m_random);
}

common::Duration FaultInjector::hold()
{
    if (happens(m_rates.delay)) {
        ++m_counters.delayed;
        return upTo(m_rates.longestDelay);
    }
    if (happens(m_rates.reorder)) {
        ++m_counters.reordered;
        return upTo(ReorderHold);
    }
    return common::Duration::zero();
}

common::Duration FaultInjector::upTo(common::Duration longest)
{
    return common::Duration(
            std::uniform_int_distribution<common::Duration::rep>(1, longest.count())(m_random));
}

} // namespace banyanwall::tools
