#pragma once

#include "common/time.h"
#include "version/zonestates.h"

#include <optional>

namespace banyanwall::process {

/// Raises the traffic share of returning availability zones in steps, on the instance that plans
/// for them. Not thread-safe.
class ZoneReturn
{
public:
    /// Zone states with the shares of the next step and version + 1; empty when no zone returns, or
    /// when this instance has known the current version for less than stepInterval(). An instance
    /// that takes over the planning waits a full interval first, so that a step is never shorter
    /// than stepInterval().
    [[nodiscard]] std::optional<version::ZoneStates> next(const version::ZoneStates &states,
                                                          common::TimePoint now);

    [[nodiscard]] static common::Duration stepInterval();

private:
    std::uint64_t m_version = 0;
    common::TimePoint m_knownSince {};
};

} // namespace banyanwall::process
