#pragma once

#include "common/ids.h"
#include "common/time.h"

#include <functional>
#include <optional>
#include <vector>

namespace banyanwall::request {

/// Knows which requests another instance may have dispatched before this one became their
/// coordinator.
class TakeoverFence
{
public:
    using KeyFilter = std::function<bool(common::RequestKey)>;

    /// Difference between a caller's clock and this instance's that is allowed for.
    static constexpr common::Duration CallerClockBound = std::chrono::milliseconds(500);

    /// gained selects the keys that the takeover concerns; empty means all.
    void add(common::WallTime takeover, common::WallTime fenceEnd, KeyFilter gained);
    /// Drops takeovers that no valid request can be older than.
    void forget(common::WallTime endedBefore);

    enum class Origin {
        BeforeTakeover,
        DuringFence,
    };

    /// Says that another instance may have dispatched a request of this issue time, or may do so
    /// until its fence ends; empty when that is impossible. A transmission number proves nothing:
    /// the fabric duplicates packets, and a copy may reach the former coordinator later.
    [[nodiscard]] std::optional<Origin> foreignOrigin(common::RequestKey key,
                                                      common::WallTime issued) const;

private:
    struct Takeover
    {
        common::WallTime at;
        common::WallTime fenceEnd;
        KeyFilter gained;
    };

    std::vector<Takeover> m_takeovers;
};

} // namespace banyanwall::request
