#pragma once

#include <string>
#include <string_view>

namespace banyanwall::process {

/// Whether a platform has filled in the values of a settings file: origin = "platform" in its
/// section [file].
[[nodiscard]] bool isFilledIn(std::string_view text);

/// TOML with the lines of a filled-in settings file. The platform escapes nothing, so each line
/// holds one key, and what follows its equals sign is the value. A value between double quotes is
/// taken letter by letter, whatever stands between them. Any other value that is no TOML becomes a
/// string of the same characters; a missing one becomes an empty string.
[[nodiscard]] std::string tomlOf(std::string_view filledIn);

} // namespace banyanwall::process
