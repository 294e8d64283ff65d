#include "process/memberliveness.h"

#include <algorithm>

namespace banyanwall::process {

using common::Endpoint;
using common::TimePoint;

namespace {

// Ten keep-alive intervals. Longer than a restart takes, so that an instance that restarts under
// the same address finds its entry.
constexpr std::chrono::minutes MissingTimeout { 10 };

// Two keep-alive intervals.
constexpr std::chrono::minutes PresenceTimeout { 2 };

} // namespace

void MemberLiveness::restart(TimePoint now)
{
    m_observingSince = now;
    m_lastSeen.clear();
}

void MemberLiveness::onMessageReceived(Endpoint member, TimePoint now)
{
    m_lastSeen[member] = now;
}

bool MemberLiveness::isHeardOf(Endpoint member, TimePoint now) const
{
    const auto lastMessage = m_lastSeen.find(member);
    return lastMessage != m_lastSeen.end() && now - lastMessage->second <= PresenceTimeout;
}

std::optional<Endpoint> MemberLiveness::missing(const std::vector<Endpoint> &members,
                                                TimePoint now) const
{
    const auto isMissingMember = [&](Endpoint member) { return isMissing(member, now); };
    const auto count = static_cast<std::size_t>(std::ranges::count_if(members, isMissingMember));
    if (count == 0 || count * 2 > members.size()) {
        return std::nullopt;
    }
    return *std::ranges::find_if(members, isMissingMember);
}

bool MemberLiveness::isMissing(Endpoint member, TimePoint now) const
{
    const auto lastMessage = m_lastSeen.find(member);
    const auto since = lastMessage == m_lastSeen.end() ? m_observingSince : lastMessage->second;
    return now - since > MissingTimeout;
}

} // namespace banyanwall::process
