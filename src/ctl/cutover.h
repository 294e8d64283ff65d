#pragma once

#include "common/result.h"
#include "version/contract.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace banyanwall::ctl {

/// Change of a cutover share from one contract version to the next.
struct ShareChange
{
    std::string service;
    std::string fromGroup;
    std::string toGroup;
    /// Share of new flows and requests that toGroup gets, in percent, before and after the change.
    std::uint32_t formerPercent = 0;
    std::uint32_t nextPercent = 0;
    std::string noticeUrl;
};

/// Share of new flows and requests that a group gets, in percent; 0 for a group that the service
/// does not have.
[[nodiscard]] std::uint32_t sharePercentOf(const version::ServiceContract &service,
                                           const std::string &group);

/// Empty if the share is the same in both versions of a service.
[[nodiscard]] std::optional<ShareChange> shareChangeOf(const version::ServiceContract &former,
                                                       const version::ServiceContract &next);

/// Changes of cutover shares in services that both versions contain. The contact centre must
/// confirm a notice of each of them before the next version is written.
[[nodiscard]] std::vector<ShareChange> shareChanges(const version::Contract &former,
                                                    const version::Contract &next);

/// Error "cutover_step" when an edit raises the share of a group by more than one cutover step
/// (version::cutoverStepPercent()). The share of the group that the cutover started from may rise
/// by any amount, so that one edit rolls the cutover back.
[[nodiscard]] std::optional<common::Error> checkCutoverStep(const version::ServiceContract &former,
                                                            const version::ServiceContract &next);
/// Checks all services that both versions contain.
[[nodiscard]] std::optional<common::Error> checkCutoverSteps(const version::Contract &former,
                                                             const version::Contract &next);

} // namespace banyanwall::ctl
