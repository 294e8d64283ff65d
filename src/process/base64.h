#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace banyanwall::process {

/// Base64 with padding, as the store's JSON form carries keys and values.
[[nodiscard]] std::string encodeBase64(std::string_view bytes);
/// Empty when the text is not base64.
[[nodiscard]] std::optional<std::string> decodeBase64(std::string_view text);

} // namespace banyanwall::process
