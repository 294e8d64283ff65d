#pragma once

#include "common/ids.h"
#include "common/reason.h"
#include "common/time.h"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace banyanwall::request {

/// Admits requests by the contract's rate and, when this instance is full, by a fair share between
/// customers.
class Admission
{
public:
    /// Requests in progress at which customers are limited to equal shares; all customers together
    /// stay under twice this number.
    static constexpr std::size_t DefaultInProgressBound = 4'096;
    /// The hash spreads requests unevenly over coordinators, so the share of one instance is
    /// larger than rate / instances by this part.
    static constexpr double ShareHeadroom = 1.1;

    /// requestsPerSecond 0 means that the contract sets no rate.
    void setRate(common::ServiceId service, std::uint32_t requestsPerSecond);
    /// Number of instances that share the contract's rates.
    void setInstances(std::uint32_t instances);
    void setInProgressBound(std::size_t bound);

    /// Empty when the request is admitted; it then counts as in progress.
    [[nodiscard]] std::optional<common::Reason>
    admit(common::CustomerId customer, common::ServiceId service, common::TimePoint now);
    void onFinished(common::CustomerId customer);

    [[nodiscard]] std::size_t inProgress() const { return m_inProgress; }

private:
    struct Bucket
    {
        double rate = 0;
        double tokens = 0;
        std::optional<common::TimePoint> filledAt;
    };

    [[nodiscard]] bool takeToken(Bucket &bucket, common::TimePoint now) const;

    std::uint32_t m_instances = 1;
    std::size_t m_bound = DefaultInProgressBound;
    std::size_t m_inProgress = 0;
    std::unordered_map<common::ServiceId, Bucket> m_buckets;
    /// Only customers with requests in progress.
    std::unordered_map<common::CustomerId, std::size_t> m_customers;
};

} // namespace banyanwall::request
