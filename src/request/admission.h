#pragma once

#include "common/ids.h"
#include "common/reason.h"
#include "common/time.h"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace banyanwall::request {

/// Admission control: limits each service to the request rate of its contract. When too many
/// requests are in progress on this instance, it also limits each customer to an equal share of
/// them.
class Admission
{
public:
    /// Requests in progress at which customers are limited to equal shares. All customers together
    /// stay under twice this number.
    static constexpr std::size_t DefaultInProgressBound = 4'096;
    /// Factor on rate / instances that gives the share of one instance. The hash distributes
    /// requests unevenly over coordinators, so an exact share would refuse requests within the
    /// contract's rate.
    static constexpr double ShareHeadroom = 1.1;

    /// requestsPerSecond 0 means that the contract sets no rate.
    void setRate(common::ServiceId service, std::uint32_t requestsPerSecond);
    /// Number of instances that share the contract's rates.
    void setInstances(std::uint32_t instances);
    void setInProgressBound(std::size_t bound);

    /// Returns the reason of a refusal. Empty when the request is admitted; it then counts as in
    /// progress until onFinished().
    [[nodiscard]] std::optional<common::Reason>
    admit(common::CustomerId customer, common::ServiceId service, common::TimePoint now);
    void onFinished(common::CustomerId customer);

    [[nodiscard]] std::size_t inProgress() const { return m_inProgress; }

private:
    struct TokenBucket
    {
        double rate = 0;
        double tokens = 0;
        std::optional<common::TimePoint> refilledAt;
    };

    [[nodiscard]] bool takeToken(TokenBucket &bucket, common::TimePoint now) const;

    std::uint32_t m_instances = 1;
    std::size_t m_inProgressBound = DefaultInProgressBound;
    std::size_t m_inProgress = 0;
    std::unordered_map<common::ServiceId, TokenBucket> m_tokenBuckets;
    /// Requests in progress. Customers without any have no entry.
    std::unordered_map<common::CustomerId, std::size_t> m_inProgressByCustomer;
};

} // namespace banyanwall::request
