#pragma once

#include <string>
#include <string_view>

namespace banyanwall::ctl {

/// Lines that differ between two texts, marked "- " and "+ ", with unchanged lines in between
/// marked "  " within two lines of a change. Empty when the texts are equal.
[[nodiscard]] std::string diffLines(std::string_view former, std::string_view next);

} // namespace banyanwall::ctl
