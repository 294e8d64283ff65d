#include "request/retrybudget.h"

#include <algorithm>

namespace banyanwall::request {

namespace {

constexpr std::uint32_t CostOfRetry = 100;
// Credit saved in quiet times is no use beyond the number of retries that may be in progress.
constexpr std::uint32_t MaxCredit = CostOfRetry * RetryBudget::MaxInProgress;

} // namespace

void RetryBudget::onRequest()
{
    m_credit = std::min(m_credit + PercentOfRequests, MaxCredit);
}

bool RetryBudget::tryStart(std::uint32_t earlier)
{
    if (earlier >= MaxPerRequest || m_inProgress >= MaxInProgress || m_credit < CostOfRetry) {
        return false;
    }
    m_credit -= CostOfRetry;
    ++m_inProgress;
    return true;
}

void RetryBudget::onFinished(std::uint32_t retries)
{
    m_inProgress -= std::min(retries, m_inProgress);
}

} // namespace banyanwall::request
