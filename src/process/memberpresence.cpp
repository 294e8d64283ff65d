#include "process/memberpresence.h"

#include <algorithm>

namespace banyanwall::process {

using common::Endpoint;
using common::TimePoint;

namespace {

// Ten times the interval at which members show themselves; longer than a restart takes, so that an
// instance that returns under its address finds its entry.
constexpr std::chrono::minutes LongestSilence { 10 };

} // namespace

void MemberPresence::restart(TimePoint now)
{
    m_observingSince = now;
    m_heardAt.clear();
}

void MemberPresence::onHeard(Endpoint member, TimePoint now)
{
    m_heardAt[member] = now;
}

std::optional<Endpoint> MemberPresence::missing(const std::vector<Endpoint> &members,
                                                TimePoint now) const
{
    const auto isGone = [&](Endpoint member) { return isMissing(member, now); };
    const auto count = static_cast<std::size_t>(std::ranges::count_if(members, isGone));
    if (count == 0 || count * 2 > members.size()) {
        return std::nullopt;
    }
    return *std::ranges::find_if(members, isGone);
}

bool MemberPresence::isMissing(Endpoint member, TimePoint now) const
{
    const auto heard = m_heardAt.find(member);
    const auto since = heard == m_heardAt.end() ? m_observingSince : heard->second;
    return now - since > LongestSilence;
}

} // namespace banyanwall::process
