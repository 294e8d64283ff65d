#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace banyanwall::process {

/// Encodes with padding, as in the store's JSON messages.
[[nodiscard]] std::string encodeBase64(std::string_view bytes);
/// Empty when text is not valid base64 with padding.
[[nodiscard]] std::optional<std::string> decodeBase64(std::string_view text);

} // namespace banyanwall::process
