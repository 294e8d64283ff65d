#include "connection/coldadmission.h"

#include "common/hash.h"

#include <algorithm>
#include <utility>

namespace banyanwall::connection {

using common::TimePoint;
using common::UpstreamSerial;

namespace {

// The contract limits arrivals at the upstream in any second. The network can bring packets closer
// together than they were sent, so the window is longer than a second.
constexpr std::chrono::milliseconds Window { 1'250 };

} // namespace

void ColdAdmission::setFleet(std::uint64_t self, std::vector<std::uint64_t> members, TimePoint now)
{
    if (!m_startedAt) {
        m_startedAt = now;
    }
    if (self == m_self && members == m_members) {
        return;
    }
    m_self = self;
    m_members = std::move(members);
    for (auto &[upstream, openings] : m_openings) {
        openings.rank.reset();
    }
}

bool ColdAdmission::admits(UpstreamSerial upstream, double perSecond, TimePoint now)
{
    // The previous process of this instance may have used up the share just before it ended.
    const bool hasJustStarted = !m_startedAt || now - *m_startedAt < Window;
    if (perSecond < 1.0 || hasJustStarted) {
        return false;
    }
    auto &openings = m_openings[upstream];
    removeExpiredTimes(openings, now);
    if (!openings.rank) {
        openings.rank = rankFor(upstream);
    }
    const auto fleetLimit = static_cast<std::size_t>(perSecond);
    const auto fleetSize = std::max<std::size_t>(1, m_members.size());
    const auto share = fleetLimit / fleetSize + (*openings.rank < fleetLimit % fleetSize ? 1 : 0);
    return openings.times.size() < share;
}

void ColdAdmission::recordOpening(UpstreamSerial upstream, TimePoint now)
{
    m_openings[upstream].times.push_back(now);
}

void ColdAdmission::removeExpired(TimePoint now)
{
    std::erase_if(m_openings, [&](const auto &item) {
        const auto &times = item.second.times;
        return times.empty() || now - times.back() >= Window;
    });
}

std::size_t ColdAdmission::rankFor(UpstreamSerial upstream) const
{
    const auto own = common::hashPair(upstream.value(), m_self);
    return static_cast<std::size_t>(std::ranges::count_if(m_members, [&](std::uint64_t member) {
        return common::hashPair(upstream.value(), member) > own;
    }));
}

void ColdAdmission::removeExpiredTimes(RecentOpenings &openings, TimePoint now)
{
    std::erase_if(openings.times, [&](TimePoint time) { return now - time >= Window; });
}

} // namespace banyanwall::connection
