#include "request/admission.h"

#include <algorithm>

namespace banyanwall::request {

namespace {

// In tokens. A token bucket holds the share of this instance for one second, but at least this many
// tokens, so that random bursts of a service with a small share are not refused.
constexpr double MinBurst = 10;

} // namespace

void Admission::setRate(common::ServiceId service, std::uint32_t requestsPerSecond)
{
    m_tokenBuckets[service].rate = requestsPerSecond;
}

void Admission::setInstances(std::uint32_t instances)
{
    m_instances = std::max(instances, 1U);
}

void Admission::setInProgressBound(std::size_t bound)
{
    m_inProgressBound = bound;
}

std::optional<common::Reason> Admission::admit(common::CustomerId customer,
                                               common::ServiceId service, common::TimePoint now)
{
    if (m_inProgress >= m_inProgressBound) {
        const auto customerEntry = m_inProgressByCustomer.find(customer);
        const auto customerInProgress =
                customerEntry == m_inProgressByCustomer.end() ? 0 : customerEntry->second;
        const auto customerCount =
                m_inProgressByCustomer.size() + (customerInProgress == 0 ? 1 : 0);
        if (customerInProgress >= m_inProgressBound / customerCount) {
            return common::Reason::FairShare;
        }
    }
    if (!takeToken(m_tokenBuckets[service], now)) {
        return common::Reason::RateLimit;
    }
    ++m_inProgressByCustomer[customer];
    ++m_inProgress;
    return std::nullopt;
}

void Admission::onFinished(common::CustomerId customer)
{
    const auto customerEntry = m_inProgressByCustomer.find(customer);
    if (customerEntry == m_inProgressByCustomer.end()) {
        return;
    }
    --m_inProgress;
    if (--customerEntry->second == 0) {
        m_inProgressByCustomer.erase(customerEntry);
    }
}

bool Admission::takeToken(TokenBucket &bucket, common::TimePoint now) const
{
    if (bucket.rate == 0) {
        return true;
    }
    const double share = bucket.rate * ShareHeadroom / m_instances;
    const double burst = std::max(share, MinBurst);
    if (!bucket.refilledAt) {
        bucket.tokens = burst;
    } else {
        const std::chrono::duration<double> sinceRefill = now - *bucket.refilledAt;
        bucket.tokens = std::min(burst, bucket.tokens + share * sinceRefill.count());
    }
    bucket.refilledAt = now;
    if (bucket.tokens < 1) {
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

} // namespace banyanwall::request
