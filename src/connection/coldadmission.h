#pragma once

#include "common/ids.h"
#include "common/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace banyanwall::connection {

/// Decides whether this instance may open a flow on a cold upstream. The contract limits the
/// openings per second of all instances together. Instances may be unable to reach each other, so
/// each one uses a fixed share of the limit. What remains of the limit after an equal division goes
/// to the instances that rank first for the upstream, one opening each; with a limit below the
/// number of instances, the others open none. Not thread-safe.
class ColdAdmission
{
public:
    /// members are the numbers of all instances that open flows, this one included.
    void setFleet(std::uint64_t self, std::vector<std::uint64_t> members, common::TimePoint now);

    /// perSecond is the limit of the contract for all instances together.
    [[nodiscard]] bool admits(common::UpstreamSerial upstream, double perSecond,
                              common::TimePoint now);
    void recordOpening(common::UpstreamSerial upstream, common::TimePoint now);

    /// Removes upstreams without an opening in the last window; called about once a second.
    void removeExpired(common::TimePoint now);

private:
    struct RecentOpenings
    {
        /// Openings by this instance within the last window.
        std::vector<common::TimePoint> times {};
        /// Number of instances that rank before this one for the upstream; empty until it is
        /// needed.
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
