#include "request/admission.h"

#include <algorithm>

namespace banyanwall::request {

namespace {

// A bucket holds one second of the share, and enough for chance bursts of a small share.
constexpr double MinBurst = 10;

} // namespace

void Admission::setRate(common::ServiceId service, std::uint32_t requestsPerSecond)
{
    m_buckets[service].rate = requestsPerSecond;
}

void Admission::setInstances(std::uint32_t instances)
{
    m_instances = std::max(instances, 1U);
}

void Admission::setInProgressBound(std::size_t bound)
{
    m_bound = bound;
}

std::optional<common::Reason> Admission::admit(common::CustomerId customer,
                                               common::ServiceId service, common::TimePoint now)
{
    if (m_inProgress >= m_bound) {
        const auto own = m_customers.find(customer);
        const auto held = own == m_customers.end() ? 0 : own->second;
        const auto customers = m_customers.size() + (held == 0 ? 1 : 0);
        if (held >= m_bound / customers) {
            return common::Reason::FairShare;
        }
    }
    if (!takeToken(m_buckets[service], now)) {
        return common::Reason::RateLimit;
    }
    ++m_customers[customer];
    ++m_inProgress;
    return std::nullopt;
}

void Admission::onFinished(common::CustomerId customer)
{
    const auto own = m_customers.find(customer);
    if (own == m_customers.end()) {
        return;
    }
    --m_inProgress;
    if (--own->second == 0) {
        m_customers.erase(own);
    }
}

bool Admission::takeToken(Bucket &bucket, common::TimePoint now) const
{
    if (bucket.rate == 0) {
        return true;
    }
    const double share = bucket.rate * ShareHeadroom / m_instances;
    const double burst = std::max(share, MinBurst);
    if (!bucket.filledAt) {
        bucket.tokens = burst;
    } else {
        const std::chrono::duration<double> passed = now - *bucket.filledAt;
        bucket.tokens = std::min(burst, bucket.tokens + share * passed.count());
    }
    bucket.filledAt = now;
    if (bucket.tokens < 1) {
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

} // namespace banyanwall::request
