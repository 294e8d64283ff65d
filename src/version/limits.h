#pragma once

#include "version/contract.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace banyanwall::version {

// Values of docs/design.md that are the same for all contracts.

/// Retry budget, as a percentage of the requests per second.
inline constexpr std::uint32_t RetryPercent = 10;
inline constexpr std::uint32_t MaximumRetriesInProgress = 32;
/// Answers in a row under twice the usual latency after which slow start adds a slot.
inline constexpr std::uint32_t AnswersPerSlowStartStep = 8;
/// Answers after which an upstream gets another slot, once slow answers have reduced it to one
/// slot, until all its slots are in use again.
inline constexpr std::uint32_t AnswersPerFallbackStep = 40;
/// Steps in which the share of a returning zone grows to 100 %.
inline constexpr std::uint32_t ZoneReturnSteps = 5;
inline constexpr std::uint32_t ZoneReturnStepPercent = 100 / ZoneReturnSteps;
/// Duration of all steps together, in seconds.
inline constexpr std::uint32_t ZoneReturnSeconds = 30;

/// In usual latencies. After this time, a repeatable request is also sent to another upstream. A
/// loaded but healthy upstream answers earlier.
inline constexpr int AttemptTimeoutFactor = 8;
inline constexpr std::chrono::milliseconds MinAttemptTimeout { 200 };

/// Time without an answer after which a repeatable request is also sent to another upstream.
[[nodiscard]] constexpr std::chrono::milliseconds
attemptTimeout(std::chrono::milliseconds usualLatency)
{
    return std::max(AttemptTimeoutFactor * usualLatency, MinAttemptTimeout);
}

/// One limit that the load balancer enforces, and the contract keys that it follows from.
struct Limit
{
    /// Name in snake_case, ending in the unit if there is one.
    std::string name;
    std::uint64_t value = 0;
    /// Keys of the contract, or the section of docs/design.md, that determine it.
    std::string clause;
    std::string explanation;
};

struct ServiceLimits
{
    std::string service;
    std::vector<Limit> limits;
};

[[nodiscard]] std::vector<ServiceLimits> deriveLimits(const Contract &contract);

/// Returns the largest rise of a cutover share that one edit may make, in percentage points. An
/// upstream that has taken no load starts with one of its slots, so that a step must not move more
/// than this part of the load.
[[nodiscard]] std::uint32_t cutoverStepPercent(const ServiceContract &service);

} // namespace banyanwall::version
