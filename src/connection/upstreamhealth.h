#pragma once

#include "common/time.h"

#include <cstdint>

namespace banyanwall::connection {

/// Evidence whether one upstream, or a whole availability zone, answers. It comes from packets of
/// callers: a repeated packet shows that nothing came back, an acknowledgement of new data shows
/// that the upstream lives. Not thread-safe.
class UpstreamHealth
{
public:
    /// The upstream has answered a caller.
    void onHeard(common::TimePoint now);
    /// A caller repeated a packet. weight is the number of repetitions that this one stands for.
    void onRepeated(common::TimePoint now, std::uint32_t weight = 1);

    /// Callers repeat packets and nothing was heard: new flows go elsewhere, but for one flow after
    /// each probe interval, which tells whether the upstream is back.
    [[nodiscard]] bool isSuspected(common::TimePoint now) const;
    /// The evidence suffices to close flows.
    [[nodiscard]] bool isSilent(common::TimePoint now) const;
    [[nodiscard]] bool mayOpen(common::TimePoint now) const;
    /// A new flow goes to the upstream; spends the probe when it is suspected.
    void onOpened(common::TimePoint now);

    [[nodiscard]] common::TimePoint lastHeard() const { return m_lastHeard; }

private:
    common::TimePoint m_lastHeard;
    common::TimePoint m_firstRepeated;
    common::TimePoint m_lastRepeated;
    common::TimePoint m_nextProbe;
    std::uint32_t m_repeats = 0;
};

} // namespace banyanwall::connection
