#pragma once

#include <algorithm>
#include <chrono>

namespace banyanwall::process {

/// Minimum time from the start of a shutdown until the fabric has stopped sending packets: it
/// checks /health twice a second and stops after two failed checks.
inline constexpr std::chrono::milliseconds RotationDelay { 1'600 };
/// After this time without a packet, the fabric is assumed to have stopped sending.
inline constexpr std::chrono::milliseconds TrafficIdleTime { 600 };
/// Part of the grace time that is reserved for the exit of the process.
inline constexpr std::chrono::milliseconds ExitMargin { 600 };

/// Time from the request to stop during which packets are forwarded if they keep coming. A grace
/// time that is shorter than two exit margins is halved, so that callers are served in the first
/// half of it.
[[nodiscard]] constexpr std::chrono::milliseconds longestForwarding(std::chrono::milliseconds grace)
{
    return std::max(grace - ExitMargin, grace / 2);
}

} // namespace banyanwall::process
