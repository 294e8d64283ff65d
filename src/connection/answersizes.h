#pragma once

#include "common/endpoint.h"

#include <cstdint>
#include <unordered_map>

namespace banyanwall::connection {

/// Tells answers that refuse a request from those that serve it by their size, because upstreams
/// answer callers directly: an error is much shorter than the usual answer of its route. Not
/// thread-safe.
class AnswerSizes
{
public:
    /// bytes is the size of the first acknowledged part of an answer. Returns whether the answer is
    /// much shorter than usual.
    bool isShort(common::Endpoint route, std::uint32_t bytes);

    /// Forgets all routes, for a new contract.
    void clear() { m_usualBytes.clear(); }

private:
    std::unordered_map<common::Endpoint, double> m_usualBytes;
};

} // namespace banyanwall::connection
