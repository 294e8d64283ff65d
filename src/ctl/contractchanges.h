#pragma once

#include "ctl/contractcheck.h"

#include <vector>

namespace banyanwall::ctl {

/// Findings about what an edit changes for callers, and edits that would be rejected.
[[nodiscard]] std::vector<Finding> findChanges(const ContractInForce &inForce,
                                               const version::Contract &next);

} // namespace banyanwall::ctl
