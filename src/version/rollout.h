#pragma once

#include "common/ids.h"
#include "common/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace banyanwall::version {

/// Decides when a version of one document is in force: when all live members have acknowledged it,
/// or when Deadline has passed since this instance learned of it. A member that is cut off and has
/// not acknowledged it is stale by then, because StaleAfter is shorter than Deadline; a stale
/// member relays packets instead of deciding by its old version.
class Rollout
{
public:
    /// Time from learning of a version until it is in force without all acknowledgements.
    static constexpr common::Duration Deadline = std::chrono::milliseconds(2'500);
    /// An instance without contact to its peers for this long is stale. The difference to Deadline
    /// allows for a clock rate error of 1 %.
    static constexpr common::Duration StaleAfter = std::chrono::seconds(2);

    /// Called when this instance learns of a version.
    void onAnnounced(std::uint64_t version, common::TimePoint now);
    /// Called when a member has acknowledged this version and so all older ones.
    void onAcknowledged(common::InstanceId member, std::uint64_t version);
    /// Returns the newest version that is in force. live holds the live members without this
    /// instance.
    [[nodiscard]] std::uint64_t inForce(const std::vector<common::InstanceId> &live,
                                        common::TimePoint now);

    /// Returns true while a version waits for acknowledgements or its deadline.
    [[nodiscard]] bool isOpen() const { return !m_announced.empty(); }

    [[nodiscard]] std::uint64_t newestAnnounced() const;
    /// Returns the live members that have not acknowledged the newest version.
    [[nodiscard]] std::vector<common::InstanceId>
    missing(const std::vector<common::InstanceId> &live) const;

private:
    std::map<std::uint64_t, common::TimePoint> m_announced;
    std::map<common::InstanceId, std::uint64_t> m_acknowledged;
    std::uint64_t m_inForce = 0;
    std::uint64_t m_newest = 0;
};

} // namespace banyanwall::version
