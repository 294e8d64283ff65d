#pragma once

#include "common/result.h"
#include "directory.pb.h"
#include "version/directory.h"

#include <string>
#include <string_view>

namespace banyanwall::wire {

/// Encodes a delta for other instances.
[[nodiscard]] std::string encodeDelta(const version::DirectoryDelta &delta);
/// Fails on bytes that are no delta, and on entries that lack a required field.
[[nodiscard]] common::Result<version::DirectoryDelta> decodeDelta(std::string_view bytes);

} // namespace banyanwall::wire
