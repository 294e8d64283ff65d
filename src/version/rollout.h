#pragma once

#include "common/ids.h"
#include "common/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace banyanwall::version {

/// Decides when a version of one document is in force: when every live member has acknowledged it,
/// or Deadline after it became known here. Members that are stale by then relay instead of
/// deciding, because StaleAfter is shorter.
class Rollout
{
public:
    static constexpr common::Duration Deadline = std::chrono::milliseconds(2'500);
    /// An instance without contact for this long is stale. The difference to Deadline covers a
    /// clock rate error of 1 %.
    static constexpr common::Duration StaleAfter = std::chrono::seconds(2);

    /// This instance learned of a version.
    void onAnnounced(std::uint64_t version, common::TimePoint now);
    void onAcknowledged(common::InstanceId member, std::uint64_t version);
    /// Newest version in force among the given live members (this instance not included).
    [[nodiscard]] std::uint64_t inForce(const std::vector<common::InstanceId> &live,
                                        common::TimePoint now);

    /// A version is still waiting for members or its deadline.
    [[nodiscard]] bool isOpen() const { return !m_announced.empty(); }

    [[nodiscard]] std::uint64_t newestAnnounced() const;
    /// Live members that have not acknowledged the newest version.
    [[nodiscard]] std::vector<common::InstanceId>
    missing(const std::vector<common::InstanceId> &live) const;

private:
    std::map<std::uint64_t, common::TimePoint> m_announced;
    std::map<common::InstanceId, std::uint64_t> m_acknowledged;
    std::uint64_t m_inForce = 0;
    std::uint64_t m_newest = 0;
};

} // namespace banyanwall::version
