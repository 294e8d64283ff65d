#pragma once

#include "common/ids.h"
#include "common/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace banyanwall::connection {

/// Decides whether this instance may open a flow on a cold upstream. The bound of the contract
/// holds for the fleet, whose instances may not hear each other: each takes a fixed part of it, and
/// where parts are smaller than one flow a second, some instances take one and the others none. Not
/// thread-safe.
class ColdAdmission
{
public:
    /// members are the numbers of all instances that open flows, this one included.
    void setFleet(std::uint64_t self, std::vector<std::uint64_t> members, common::TimePoint now);

    /// perSecond is the bound of the contract for the whole fleet.
    [[nodiscard]] bool admits(common::UpstreamSerial upstream, double perSecond,
                              common::TimePoint now);
    void recordOpening(common::UpstreamSerial upstream, common::TimePoint now);

    /// Forgets upstreams that got no flow lately.
    void removeExpired(common::TimePoint now);

private:
    struct RecentOpenings
    {
        /// Within the last window.
        std::vector<common::TimePoint> times {};
        /// Instances that come first where a part is smaller than one flow.
        std::optional<std::size_t> rank {};
    };

    [[nodiscard]] std::size_t rankFor(common::UpstreamSerial upstream) const;
    static void removeExpiredTimes(RecentOpenings &openings, common::TimePoint now);

    std::uint64_t m_self = 0;
    std::vector<std::uint64_t> m_members;
    std::optional<common::TimePoint> m_startedAt;
    std::unordered_map<common::UpstreamSerial, RecentOpenings> m_openings;
};

} // namespace banyanwall::connection
