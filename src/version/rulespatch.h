#pragma once

#include "common/ids.h"
#include "version/directory.h"

#include <optional>
#include <vector>

namespace banyanwall::version {

/// Returns the same digest for the same routes in any order. Of several routes of one address, the
/// last one counts.
[[nodiscard]] common::RoutesDigest digestOf(const std::vector<RouteRecord> &routes);

/// Applies a patch to the rules of an earlier contract; null when there are none. Empty if the
/// result is not the contract that the sender of the patch has: the sender made the patch from
/// another contract than the earlier one here.
[[nodiscard]] std::optional<RulesRecord> patchedRules(const RulesRecord *earlier,
                                                      const RulesPatch &patch);

} // namespace banyanwall::version
