#include "process/requestplacement.h"

#include <algorithm>

namespace banyanwall::process {

using common::InstanceId;
using common::RequestKey;
using common::WallTime;
using wire::proto::RequestRelay;

namespace {

// Retransmissions of a request may arrive until this long after its deadline.
constexpr std::chrono::seconds LateRetransmissionTime { 10 };

} // namespace

RequestPlacement::RequestPlacement(InstanceId self)
    : m_self(self)
{ }

void RequestPlacement::setMembers(std::shared_ptr<const connection::OwnerSelector> members,
                                  WallTime wall)
{
    if (m_members != nullptr) {
        m_formerViews.push_front({ std::move(m_members), wall });
    }
    m_members = std::move(members);
}

RequestPlacement::Decision RequestPlacement::place(const Query &query)
{
    if (m_handled.contains(query.key)) {
        return HandleLocally {};
    }
    if (query.handover == RequestRelay::ASK_FORMER && query.sender && !query.isCancel) {
        m_ceded[query.key] = { query.deadline, *query.sender };
        return Relay { *query.sender, RequestRelay::CEDED };
    }
    const auto coordinator =
            m_members == nullptr ? std::nullopt : m_members->coordinator(query.key);
    if (!coordinator) {
        return Drop {};
    }
    if (*coordinator != m_self) {
        return Relay { *coordinator, RequestRelay::NONE };
    }
    const auto ceded = m_ceded.find(query.key);
    if (ceded != m_ceded.end() && isLive(ceded->second.successor)) {
        return Relay { ceded->second.successor, RequestRelay::NONE };
    }
    if (query.isCancel) {
        return HandleLocally {};
    }
    if (ceded != m_ceded.end() && !hasDeparted(ceded->second.successor)) {
        return Drop {};
    }
    if (!m_isViewConfirmed && !query.isRepeatable) {
        return Drop {};
    }
    if (const auto former = liveFormerCoordinator(query)) {
        return Relay { *former, RequestRelay::ASK_FORMER };
    }
    m_handled[query.key] = query.deadline;
    return HandleLocally {};
}

std::optional<InstanceId> RequestPlacement::liveFormerCoordinator(const Query &query) const
{
    for (const auto &view : m_formerViews) {
        if (query.issued > view.replacedAt + ViewDisseminationTime) {
            return std::nullopt;
        }
        const auto former = view.members->coordinator(query.key);
        if (former && *former != m_self && isLive(*former) && !query.cededBy.contains(*former)) {
            return former;
        }
    }
    return std::nullopt;
}

bool RequestPlacement::isLive(InstanceId member) const
{
    return std::ranges::find(m_members->members(), member, &connection::Member::id)
            != m_members->members().end();
}

bool RequestPlacement::hasDeparted(InstanceId member) const
{
    return !isLive(member) && std::ranges::any_of(m_formerViews, [member](const View &view) {
        const auto &members = view.members->members();
        return std::ranges::find(members, member, &connection::Member::id) != members.end();
    });
}

void RequestPlacement::removeExpired(WallTime wall)
{
    std::erase_if(m_handled, [wall](const auto &entry) {
        return entry.second + LateRetransmissionTime < wall;
    });
    std::erase_if(m_ceded, [wall](const auto &entry) {
        return entry.second.deadline + LateRetransmissionTime < wall;
    });
    while (!m_formerViews.empty() && m_formerViews.back().replacedAt + ViewRetention < wall) {
        m_formerViews.pop_back();
    }
}

} // namespace banyanwall::process
