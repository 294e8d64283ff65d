#pragma once

#include "common/result.h"
#include "directory.pb.h"
#include "version/directory.h"

#include <string>
#include <string_view>

namespace banyanwall::wire {

[[nodiscard]] std::string encodeDelta(const version::DirectoryDelta &delta);
/// Returns the error "malformed_delta" if the bytes are not an encoded delta, or if an entry has an
/// unknown kind or a key that does not match its value.
[[nodiscard]] common::Result<version::DirectoryDelta> decodeDelta(std::string_view bytes);

} // namespace banyanwall::wire
