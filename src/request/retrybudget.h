#pragma once

#include <cstdint>

namespace banyanwall::request {

/// Limits retries to a share of the requests, so that retries do not multiply an overload.
class RetryBudget
{
public:
    static constexpr std::uint32_t PercentOfRequests = 10;
    static constexpr std::uint32_t MaxPerRequest = 2;
    static constexpr std::uint32_t MaxInProgress = 32;

    /// Counts a new request. Ten requests earn one retry.
    void onRequest();
    /// Takes one retry for a request that has had earlierRetries already. False when a limit
    /// forbids it.
    [[nodiscard]] bool tryStart(std::uint32_t earlierRetries);
    /// To be called when a request with this many retries has finished.
    void onFinished(std::uint32_t retries);

    [[nodiscard]] std::uint32_t inProgress() const { return m_inProgress; }

private:
    /// In percent of one retry.
    std::uint32_t m_credit = 0;
    std::uint32_t m_inProgress = 0;
};

} // namespace banyanwall::request
