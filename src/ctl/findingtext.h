#pragma once

#include "ctl/contractcheck.h"

#include <string>
#include <string_view>

namespace banyanwall::ctl {

/// Stable name of the kind of finding in snake_case, such as "unused_zone".
[[nodiscard]] std::string_view codeOf(const FindingDetail &detail);
/// One sentence that says what was found and what it does to callers.
[[nodiscard]] std::string reasonOf(const FindingDetail &detail);

/// One line for each finding, "path:line:column: severity: key: reason [code]", and a summary.
/// Control characters of the checked text are replaced.
[[nodiscard]] std::string renderText(const CheckReport &report, const std::string &path);
/// A JSON object on one line.
[[nodiscard]] std::string renderJson(const CheckReport &report, const std::string &path);

} // namespace banyanwall::ctl
