#pragma once

#include "common/endpoint.h"

#include <string>

namespace banyanwall::tools {

/// Address of a command-line argument. Throws std::invalid_argument with the text when it is not of
/// the form a.b.c.d:port.
[[nodiscard]] common::Endpoint endpointArgument(const std::string &text);

} // namespace banyanwall::tools
