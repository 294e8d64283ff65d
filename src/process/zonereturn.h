#pragma once

#include "common/time.h"
#include "version/zonestates.h"

#include <optional>

namespace banyanwall::process {

/// Raises the share of returning availability zones step by step, on the instance that plans for
/// them. Not thread-safe.
class ZoneReturn
{
public:
    /// Zone states with the next step, version + 1; empty when no zone returns or when the present
    /// version has not been known here for one step yet. An instance that takes over the planning
    /// begins a step anew, so that a step is never shorter than the contract says.
    [[nodiscard]] std::optional<version::ZoneStates> next(const version::ZoneStates &states,
                                                          common::TimePoint now);

    /// Time between two steps.
    [[nodiscard]] static common::Duration stepInterval();

private:
    std::uint64_t m_version = 0;
    common::TimePoint m_knownSince {};
};

} // namespace banyanwall::process
