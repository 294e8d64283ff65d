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
    /// Share of toGroup in percent.
    std::uint32_t formerPercent = 0;
    std::uint32_t nextPercent = 0;
    std::string noticeUrl;
};

/// Changes that the contact centre has to be told of before the next contract is accepted.
[[nodiscard]] std::vector<ShareChange> shareChanges(const version::Contract &former,
                                                    const version::Contract &next);

/// Says why the step from one contract to the next is too large. A share may rise by one cutover
/// step an edit; the share of the group that a cutover started from may rise at once, which is a
/// roll-back.
[[nodiscard]] std::optional<common::Error> checkSteps(const version::Contract &former,
                                                      const version::Contract &next);

} // namespace banyanwall::ctl
