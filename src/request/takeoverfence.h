#pragma once

#include "common/ids.h"
#include "common/time.h"

#include <functional>
#include <optional>
#include <vector>

namespace banyanwall::request {

/// Determines which requests another instance may have dispatched before this instance became their
/// coordinator.
class TakeoverFence
{
public:
    using KeyFilter = std::function<bool(common::RequestKey)>;

    /// Allowed difference between a caller's clock and the clock of this instance.
    static constexpr common::Duration CallerClockMargin = std::chrono::milliseconds(500);

    /// isGained selects the keys whose coordinator changed to this instance; empty means all keys.
    void add(common::WallTime takeover, common::WallTime fenceEnd, KeyFilter isGained);
    /// Removes takeovers whose fence ended before endedBefore. The caller passes a time before
    /// which no request that is still valid can have been issued.
    void removeExpired(common::WallTime endedBefore);

    enum class IssuePeriod {
        BeforeTakeover,
        DuringFence,
    };

    /// Returns when the request was issued relative to a takeover of its key, if another instance
    /// may have dispatched the request or may still do so until the fence ends. Empty if no other
    /// instance can have dispatched it. The transmission number is not considered: the fabric
    /// duplicates packets, and a duplicate may reach the former coordinator later.
    [[nodiscard]] std::optional<IssuePeriod> peerDispatchPeriod(common::RequestKey key,
                                                                common::WallTime issued) const;

private:
    struct Takeover
    {
        common::WallTime at;
        common::WallTime fenceEnd;
        KeyFilter isGained;
    };

    std::vector<Takeover> m_takeovers;
};

} // namespace banyanwall::request
