#include "process/requestplacement.h"

#include <algorithm>

namespace banyanwall::process {

using common::InstanceId;
using common::RequestKey;
using common::WallTime;
using wire::proto::RequestRelay;

namespace {

// Late copies of a request arrive until this long after its deadline.
constexpr std::chrono::seconds LateCopies { 10 };

} // namespace

RequestPlacement::RequestPlacement(InstanceId self)
    : m_self(self)
{ }

void RequestPlacement::setMembers(std::shared_ptr<const connection::OwnerSelector> members,
                                  WallTime wall)
{
    if (m_members != nullptr) {
        m_former.push_front({ std::move(m_members), wall });
    }
    m_members = std::move(members);
}

RequestPlacement::Decision RequestPlacement::place(const Question &question)
{
    if (m_handled.contains(question.key)) {
        return Here {};
    }
    if (question.handover == RequestRelay::ASK_FORMER && question.sender && !question.isCancel) {
        m_ceded[question.key] = { question.deadline, *question.sender };
        return Relay { *question.sender, RequestRelay::CEDED };
    }
    const auto coordinator =
            m_members == nullptr ? std::nullopt : m_members->coordinator(question.key);
    if (!coordinator) {
        return Nowhere {};
    }
    if (*coordinator != m_self) {
        return Relay { *coordinator, RequestRelay::NONE };
    }
    const auto ceded = m_ceded.find(question.key);
    if (ceded != m_ceded.end() && isLive(ceded->second.to)) {
        return Relay { ceded->second.to, RequestRelay::NONE };
    }
    if (question.isCancel) {
        return Here {};
    }
    if (ceded != m_ceded.end() && !isGone(ceded->second.to)) {
        return Nowhere {};
    }
    if (!m_viewConfirmed && !question.isRepeatable) {
        return Nowhere {};
    }
    if (const auto former = liveFormer(question)) {
        return Relay { *former, RequestRelay::ASK_FORMER };
    }
    m_handled[question.key] = question.deadline;
    return Here {};
}

std::optional<InstanceId> RequestPlacement::liveFormer(const Question &question) const
{
    for (const auto &view : m_former) {
        if (question.issued > view.replaced + SpreadTime) {
            return std::nullopt;
        }
        const auto former = view.members->coordinator(question.key);
        if (former && *former != m_self && isLive(*former) && !question.asked.contains(*former)) {
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

bool RequestPlacement::isGone(InstanceId member) const
{
    return !isLive(member) && std::ranges::any_of(m_former, [member](const View &view) {
        const auto &members = view.members->members();
        return std::ranges::find(members, member, &connection::Member::id) != members.end();
    });
}

void RequestPlacement::forget(WallTime wall)
{
    std::erase_if(m_handled,
                  [wall](const auto &entry) { return entry.second + LateCopies < wall; });
    std::erase_if(m_ceded,
                  [wall](const auto &entry) { return entry.second.deadline + LateCopies < wall; });
    while (!m_former.empty() && m_former.back().replaced + KeepViews < wall) {
        m_former.pop_back();
    }
}

} // namespace banyanwall::process
