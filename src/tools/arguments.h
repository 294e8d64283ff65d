#pragma once

#include "common/endpoint.h"

#include <string>

namespace banyanwall::tools {

/// Parses a command-line argument of the form a.b.c.d:port. Throws std::invalid_argument, with the
/// argument in its text, when the argument has another form.
[[nodiscard]] common::Endpoint endpointArgument(const std::string &text);

} // namespace banyanwall::tools
