#include "version/rollout.h"

#include <algorithm>
#include <iterator>

namespace banyanwall::version {

void Rollout::onAnnounced(std::uint64_t version, common::TimePoint now)
{
    if (version <= m_newest) {
        return;
    }
    m_newest = version;
    m_announced.emplace(version, now);
}

void Rollout::onAcknowledged(common::InstanceId member, std::uint64_t version)
{
    auto &known = m_acknowledged[member];
    known = std::max(known, version);
}

std::uint64_t Rollout::inForce(const std::vector<common::InstanceId> &live, common::TimePoint now)
{
    const auto acknowledgedByAll = [&](std::uint64_t version) {
        return std::ranges::all_of(live, [&](common::InstanceId member) {
            const auto found = m_acknowledged.find(member);
            return found != m_acknowledged.end() && found->second >= version;
        });
    };
    const auto ready =
            std::find_if(m_announced.rbegin(), m_announced.rend(), [&](const auto &entry) {
                return now - entry.second >= Deadline || acknowledgedByAll(entry.first);
            });
    if (ready != m_announced.rend()) {
        m_inForce = ready->first;
        m_announced.erase(m_announced.begin(), m_announced.upper_bound(m_inForce));
    }
    return m_inForce;
}

std::uint64_t Rollout::newestAnnounced() const
{
    return m_newest;
}

std::vector<common::InstanceId> Rollout::missing(const std::vector<common::InstanceId> &live) const
{
    std::vector<common::InstanceId> missing;
    std::ranges::copy_if(live, std::back_inserter(missing), [&](common::InstanceId member) {
        const auto found = m_acknowledged.find(member);
        return found == m_acknowledged.end() || found->second < m_newest;
    });
    return missing;
}

} // namespace banyanwall::version
