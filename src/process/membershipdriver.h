#pragma once

#include "process/membership.h"
#include "process/metrics.h"
#include "process/peertransport.h"
#include "process/sinks.h"

#include <functional>
#include <memory>
#include <vector>

namespace banyanwall::process {

/// Sends the messages of Membership to the peers, and notifies the other parts of the process when
/// the live members or their addresses change. Not thread-safe; runs on the control thread.
class MembershipDriver
{
public:
    struct Change
    {
        std::shared_ptr<const connection::OwnerSelector> members;
        std::shared_ptr<const connection::OwnerSelector> former;
        /// Live members that the former view did not have.
        std::vector<common::InstanceId> joined;
        /// Members of the former view that are not live any more.
        std::vector<connection::Member> departed;
    };

    using ChangeHandler = std::function<void(const Change &, common::TimePoint)>;
    using AddressHandler = std::function<void(std::map<common::InstanceId, common::Endpoint>)>;

    MembershipDriver(Membership membership, std::vector<common::Endpoint> seeds, PeerSink &peers,
                     AddressHandler onAddresses, ChangeHandler onChange);

    /// Sends the heartbeats. Call every Membership::HeartbeatInterval.
    void tick(const wire::proto::Heartbeat &preparedHeartbeat, common::TimePoint now);
    void onHeartbeat(common::InstanceId sender, const wire::proto::Heartbeat &heartbeat,
                     std::uint64_t ownCatalogueDigest, common::TimePoint now);
    void onHeartbeatAck(common::InstanceId sender, const wire::proto::HeartbeatAck &ack,
                        std::uint64_t ownCatalogueDigest, common::TimePoint now);
    void onUpdate(const wire::proto::MemberUpdate &update, common::TimePoint now);
    void applyStoreList(const std::vector<MemberInfo> &listed, common::TimePoint now);
    /// Starts the notifications of member changes. A starting instance learns of the members one
    /// after another; the members that are known at this call are reported as one change.
    void startNotifications(common::TimePoint now);
    void leave(common::TimePoint now);
    void rejoin(common::TimePoint now);
    void announceDeparture();

    [[nodiscard]] const Membership &membership() const { return m_membership; }

    [[nodiscard]] std::shared_ptr<const connection::OwnerSelector> members() const
    {
        return m_members;
    }

private:
    void send(const std::vector<SendToMember> &messages);
    void publish(common::TimePoint now);
    void publishView(std::vector<connection::Member> live, common::TimePoint now);
    /// Records the start incarnations of all members and returns the members that have restarted.
    std::vector<common::InstanceId> takeRestarted();
    /// Sends a heartbeat to the seeds while no live peer is known.
    void sendHeartbeatToSeeds(const wire::proto::Heartbeat &preparedHeartbeat);

    Membership m_membership;
    std::vector<common::Endpoint> m_seeds;
    PeerSink &m_peers;
    AddressHandler m_onAddresses;
    ChangeHandler m_onChange;
    bool m_isPublishing = false;
    /// Membership::viewNumber() of the last notification.
    std::uint64_t m_publishedView = 0;
    std::size_t m_publishedMembers = 0;
    std::map<common::InstanceId, common::Incarnation> m_startIncarnations;
    std::shared_ptr<const connection::OwnerSelector> m_members;
};

} // namespace banyanwall::process
