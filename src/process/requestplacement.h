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
/// A request may have reached its coordinator of a former view. While that instance is live, the
/// new coordinator relays the request to it first. The former coordinator handles a request that it
/// knows. It cedes a request that it does not know and never dispatches it afterwards, so the new
/// coordinator can. Not thread-safe.
class RequestPlacement
{
public:
    /// Requests issued up to this long after a change of members may still reach the former
    /// coordinator through instances that do not know of the change yet.
    static constexpr std::chrono::milliseconds ViewDisseminationTime { 3'000 };
    /// A former view is kept for as long as the longest request can be in progress.
    static constexpr std::chrono::seconds ViewRetention { 30 };

    using Handover = wire::proto::RequestRelay::Handover;

    struct Query
    {
        common::RequestKey key;
        common::WallTime issued;
        common::WallTime deadline;
        Handover handover = wire::proto::RequestRelay::NONE;
        /// Two coordinators may dispatch the request without harm.
        bool isRepeatable = false;
        /// A cancellation. It is sent to the coordinator of its request, but makes no instance the
        /// coordinator.
        bool isCancel = false;
        /// Instance that relayed the request; empty for a request from the fabric.
        std::optional<common::InstanceId> sender;
        /// Former coordinators that have ceded the request.
        std::set<common::InstanceId> cededBy;
    };

    struct HandleLocally
    { };

    struct Relay
    {
        common::InstanceId peer;
        Handover handover = wire::proto::RequestRelay::NONE;
    };

    /// This instance may neither handle nor relay the request now. The caller retransmits it.
    struct Drop
    { };

    using Decision = std::variant<HandleLocally, Relay, Drop>;

    explicit RequestPlacement(common::InstanceId self);

    void setMembers(std::shared_ptr<const connection::OwnerSelector> members,
                    common::WallTime wall);

    /// States whether most neighbours have the same view of the members. While they have not, new
    /// non-repeatable requests are dropped here, because the neighbours may choose another
    /// coordinator for a retransmission.
    void setViewConfirmed(bool isConfirmed) { m_isViewConfirmed = isConfirmed; }

    [[nodiscard]] Decision place(const Query &query);
    /// Removes requests and former views that are no longer needed.
    void removeExpired(common::WallTime wall);

private:
    struct View
    {
        std::shared_ptr<const connection::OwnerSelector> members;
        common::WallTime replacedAt;
    };

    struct Ceded
    {
        common::WallTime deadline;
        common::InstanceId successor;
    };

    [[nodiscard]] std::optional<common::InstanceId> liveFormerCoordinator(const Query &query) const;
    [[nodiscard]] bool isLive(common::InstanceId member) const;
    /// The member was in a former view and is not in the present one.
    [[nodiscard]] bool hasDeparted(common::InstanceId member) const;

    common::InstanceId m_self;
    bool m_isViewConfirmed = true;
    std::shared_ptr<const connection::OwnerSelector> m_members;
    std::deque<View> m_formerViews;
    /// Requests that this instance coordinates, with their deadlines.
    std::unordered_map<common::RequestKey, common::WallTime> m_handled;
    /// Requests that this instance has ceded to a new coordinator.
    std::unordered_map<common::RequestKey, Ceded> m_ceded;
};

} // namespace banyanwall::process
