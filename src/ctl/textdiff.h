#pragma once

#include <string>
#include <string_view>

namespace banyanwall::ctl {

/// Line diff of two texts: removed lines start with "- ", added lines with "+ ". Up to two
/// unchanged lines before and after each change start with "  ". Empty when the texts are equal.
[[nodiscard]] std::string diffLines(std::string_view former, std::string_view next);

} // namespace banyanwall::ctl
