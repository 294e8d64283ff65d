#pragma once

#include "version/contract.h"

#include <cstdint>
#include <string>
#include <vector>

namespace banyanwall::version {

/// Figures of the design page that are the same for all contracts.
inline constexpr std::uint32_t RetryPercent = 10;
inline constexpr std::uint32_t MaximumRetriesInProgress = 32;
inline constexpr std::uint32_t AnswersPerSlowStartStep = 8;
/// Answers for each slot after an upstream turned cold, until all slots are usable again.
inline constexpr std::uint32_t AnswersPerStepWhenCold = 40;
inline constexpr std::uint32_t ZoneReturnSteps = 5;
inline constexpr std::uint32_t ZoneReturnStepPercent = 100 / ZoneReturnSteps;
inline constexpr std::uint32_t ZoneReturnSeconds = 30;

/// One limit that the system enforces and where it comes from.
struct Limit
{
    /// In snake_case, with the unit at the end where there is one.
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

/// Largest rise of a cutover share in one accepted edit, in percentage points. An upstream that has
/// taken no load starts with one of its slots, so that one step moves at most that part of the
/// load.
[[nodiscard]] std::uint32_t cutoverStepPercent(const ServiceContract &service);

} // namespace banyanwall::version
