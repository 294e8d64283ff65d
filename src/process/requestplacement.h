#pragma once

#include "common/ids.h"
#include "common/time.h"
#include "connection/ownerselector.h"
#include "peer.pb.h"

#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>

namespace banyanwall::process {

/// Decides which instance coordinates a request while the members change.
///
/// A request that may have reached the coordinator of a former view goes to that instance first,
/// if it lives. It handles the request when it knows it; otherwise it cedes the request and will
/// never dispatch it, so that the new coordinator can. Not thread-safe.
class RequestPlacement
{
public:
    /// Requests issued up to this long after a change of members may still reach the former
    /// coordinator through instances that have not heard of the change.
    static constexpr std::chrono::milliseconds SpreadTime { 3'000 };
    /// Former views are kept as long as the longest request lives.
    static constexpr std::chrono::seconds KeepViews { 30 };

    using Handover = wire::proto::RequestRelay::Handover;

    struct Question
    {
        common::RequestKey key;
        common::WallTime issued;
        common::WallTime deadline;
        Handover handover = wire::proto::RequestRelay::NONE;
        /// A copy at another coordinator does no harm.
        bool isRepeatable = false;
        /// A cancellation; it takes the same way, but places nothing.
        bool isCancel = false;
        /// Instance that relayed the request; empty for a packet from the fabric.
        std::optional<common::InstanceId> sender;
        /// Former coordinators that have ceded the request.
        std::set<common::InstanceId> asked;
    };

    struct Here
    { };

    struct Relay
    {
        common::InstanceId peer;
        Handover handover = wire::proto::RequestRelay::NONE;
    };

    struct Nowhere
    { };

    using Decision = std::variant<Here, Relay, Nowhere>;

    explicit RequestPlacement(common::InstanceId self);

    void setMembers(std::shared_ptr<const connection::OwnerSelector> members,
                    common::WallTime wall);

    /// While most neighbours have another view of the members, no non-repeatable request is placed
    /// here: they may choose another coordinator for a copy of it.
    void setViewConfirmed(bool confirmed) { m_viewConfirmed = confirmed; }

    [[nodiscard]] Decision place(const Question &question);
    void forget(common::WallTime wall);

private:
    struct View
    {
        std::shared_ptr<const connection::OwnerSelector> members;
        /// When the next view replaced this one.
        common::WallTime replaced;
    };

    struct Ceded
    {
        common::WallTime deadline;
        common::InstanceId to;
    };

    [[nodiscard]] std::optional<common::InstanceId> liveFormer(const Question &question) const;
    [[nodiscard]] bool isLive(common::InstanceId member) const;
    /// The member was a coordinator of the key and is gone.
    [[nodiscard]] bool isGone(common::InstanceId member) const;

    common::InstanceId m_self;
    bool m_viewConfirmed = true;
    std::shared_ptr<const connection::OwnerSelector> m_members;
    std::deque<View> m_former;
    /// Requests handled here, with their deadlines.
    std::unordered_map<common::RequestKey, common::WallTime> m_handled;
    /// Requests that were left to a new coordinator, with their deadlines.
    std::unordered_map<common::RequestKey, Ceded> m_ceded;
};

} // namespace banyanwall::process
