#include "request/retrybudget.h"

#include <algorithm>

namespace banyanwall::request {

namespace {

// In percent of one retry, like m_credit.
constexpr std::uint32_t RetryCost = 100;
// At most MaxInProgress retries can start at once, so more credit would be unusable.
constexpr std::uint32_t MaxCredit = RetryCost * RetryBudget::MaxInProgress;

} // namespace

void RetryBudget::onRequest()
{
    m_credit = std::min(m_credit + PercentOfRequests, MaxCredit);
}

bool RetryBudget::tryStart(std::uint32_t earlierRetries)
{
    if (earlierRetries >= MaxPerRequest || m_inProgress >= MaxInProgress || m_credit < RetryCost) {
        return false;
    }
    m_credit -= RetryCost;
    ++m_inProgress;
    return true;
}

void RetryBudget::onFinished(std::uint32_t retries)
{
    m_inProgress -= std::min(retries, m_inProgress);
}

} // namespace banyanwall::request
