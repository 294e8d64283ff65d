#include "tools/arguments.h"

#include <stdexcept>

namespace banyanwall::tools {

common::Endpoint endpointArgument(const std::string &text)
{
    const auto endpoint = common::parseEndpoint(text);
    if (!endpoint) {
        throw std::invalid_argument("not an address of the form a.b.c.d:port: " + text);
    }
    return *endpoint;
}

} // namespace banyanwall::tools
