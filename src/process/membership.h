#pragma once

#include "common/endpoint.h"
#include "common/ids.h"
#include "common/time.h"
#include "connection/ownerselector.h"
#include "peer.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace banyanwall::process {

/// What is known of one instance.
struct MemberInfo
{
    common::InstanceId id;
    common::Incarnation incarnation;
    common::ZoneId zone;
    common::Endpoint peerAddress;
    wire::proto::MemberRecord::State state = wire::proto::MemberRecord::ALIVE;
    /// Last direct heartbeat or acknowledgement, or the moment the member became known.
    common::TimePoint heard;
    /// When the present state began.
    common::TimePoint since;
    /// It announced that it leaves before it fell silent.
    bool left = false;
    /// Incarnation with which its process started.
    common::Incarnation started;
};

struct SendToMember
{
    common::InstanceId member;
    wire::proto::PeerMessage message;
};

/// Keeps the view of live instances by heartbeats to a few neighbours, flooded state changes and
/// the store's list.
///
/// An instance is suspected after SuspectAfter without a sign of life at one of its neighbours, and
/// dead after DeadAfter. It clears a suspicion by an update with a higher incarnation, as it does
/// after a pause. Not thread-safe.
class Membership
{
public:
    static constexpr common::Duration HeartbeatInterval = std::chrono::milliseconds(500);
    static constexpr common::Duration SuspectAfter = std::chrono::seconds(2);
    static constexpr common::Duration DeadAfter = std::chrono::seconds(5);
    /// Ticks further apart show that this process was paused. Silence of others is then not
    /// counted.
    static constexpr common::Duration PauseAfter = std::chrono::seconds(1);
    /// A zone from which nothing was heard for this long is unreachable.
    static constexpr common::Duration ZoneSilentAfter = std::chrono::seconds(3);
    static constexpr std::size_t ZoneNeighbours = 6;
    /// At least; one for each other zone, so that silence of a zone is noticed.
    static constexpr std::size_t RemoteNeighbours = 2;
    /// While the store does not answer, each such heartbeat goes to all live members: the lease
    /// guard needs acknowledgements of more than half of them, each at most 2 s old.
    static constexpr std::uint64_t WideHeartbeatTicks = 3;
    /// Reports in a row of a different view before the whole view is sent; news on their way need
    /// no repair. A flooded record reaches only the neighbours known at that moment, so that views
    /// of instances that start together miss members without repair.
    static constexpr std::uint32_t DifferencesBeforeRepair = 2;
    /// Three heartbeat intervals, so that one lost heartbeat does not matter.
    static constexpr common::Duration ViewConfirmedFor = std::chrono::milliseconds(1'500);

    Membership(common::InstanceId self, common::Incarnation incarnation, common::ZoneId zone,
               common::Endpoint peerAddress);

    /// The store's list of instances. It lags: an entry adds an unknown member, a missing entry
    /// removes nothing that was heard within DeadAfter.
    void applyStoreList(const std::vector<MemberInfo> &listed, common::TimePoint now);
    [[nodiscard]] std::vector<SendToMember> onTick(wire::proto::Heartbeat prepared,
                                                   common::TimePoint now);
    [[nodiscard]] std::vector<SendToMember> onHeartbeat(common::InstanceId sender,
                                                        const wire::proto::Heartbeat &heartbeat,
                                                        std::uint64_t ownDigest,
                                                        common::TimePoint now);
    void onHeartbeatAck(common::InstanceId sender, const wire::proto::HeartbeatAck &ack,
                        std::uint64_t ownDigest, common::TimePoint now);
    /// Returns the messages that pass news on.
    [[nodiscard]] std::vector<SendToMember> onUpdate(const wire::proto::MemberUpdate &update,
                                                     common::TimePoint now);
    /// Announces that this instance leaves. It stays a live member until farewell().
    [[nodiscard]] std::vector<SendToMember> leave(common::TimePoint now);
    /// Takes a leave back under a higher incarnation.
    [[nodiscard]] std::vector<SendToMember> rejoin();
    /// Last message of an instance that has left: the others need not wait for its silence.
    [[nodiscard]] std::vector<SendToMember> farewell() const;

    /// Alive and suspected members and this instance, sorted by id.
    [[nodiscard]] std::vector<connection::Member> liveMembers() const;
    /// Ids of the live members without this instance.
    [[nodiscard]] std::vector<common::InstanceId> livePeers() const;
    [[nodiscard]] std::optional<common::Endpoint> addressOf(common::InstanceId member) const;
    [[nodiscard]] std::vector<common::InstanceId> neighbours() const;
    /// Less than half of the neighbours were heard from, with an equal catalogue digest, for
    /// Rollout::StaleAfter.
    [[nodiscard]] bool isStale(common::TimePoint now) const;
    /// Until when this instance is not stale if nothing more is heard.
    [[nodiscard]] common::TimePoint freshUntil() const;
    /// More than half of the neighbours reported an equal view of the live members within
    /// ViewConfirmedFor. Without that, two instances may choose different coordinators.
    [[nodiscard]] bool isViewConfirmed(common::TimePoint now) const;
    [[nodiscard]] std::vector<common::ZoneId> silentZones(common::TimePoint now) const;
    /// Number of peers whose acknowledgement of a heartbeat sent at or after oldest has arrived.
    [[nodiscard]] std::uint32_t acknowledgedSince(common::TimePoint oldest) const;

    [[nodiscard]] wire::proto::MemberRecord selfRecord() const;

    [[nodiscard]] common::Endpoint peerAddress() const { return m_peerAddress; }

    /// Grows with each change of liveMembers().
    [[nodiscard]] std::uint64_t viewNumber() const { return m_viewNumber; }

    [[nodiscard]] common::Incarnation incarnation() const { return m_incarnation; }

    [[nodiscard]] const std::map<common::InstanceId, MemberInfo> &members() const
    {
        return m_members;
    }

private:
    struct Contact
    {
        common::TimePoint equalDigest;
        common::TimePoint acknowledgedSend;
        /// View of the member as it last reported it.
        std::uint64_t viewDigest = 0;
        common::TimePoint viewReported;
        std::uint32_t viewDifferences = 0;
    };

    [[nodiscard]] std::uint64_t viewDigest() const;
    /// Returns true when the views have differed for long enough to be repaired.
    [[nodiscard]] bool compareViews(common::InstanceId sender, std::uint64_t digest,
                                    common::TimePoint now);

    [[nodiscard]] std::vector<common::InstanceId> heartbeatReceivers(bool storeReachable) const;
    [[nodiscard]] std::vector<SendToMember>
    flood(const std::vector<wire::proto::MemberRecord> &news,
          std::optional<common::InstanceId> except) const;
    bool merge(const wire::proto::MemberRecord &record, common::TimePoint now);
    void heardFrom(common::InstanceId sender, common::TimePoint now);
    void forgivePause(common::TimePoint now);
    [[nodiscard]] std::vector<common::InstanceId> remoteNeighbours() const;
    [[nodiscard]] wire::proto::PeerMessage wholeView() const;
    [[nodiscard]] std::vector<wire::proto::MemberRecord> expire(common::TimePoint now);

    common::InstanceId m_self;
    common::Incarnation m_started;
    common::Incarnation m_incarnation;
    common::ZoneId m_zone;
    common::Endpoint m_peerAddress;
    bool m_leaving = false;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_viewNumber = 1;
    common::TimePoint m_lastTick {};
    std::map<std::uint64_t, common::TimePoint> m_sentAt;
    std::map<common::InstanceId, MemberInfo> m_members;
    std::map<common::InstanceId, Contact> m_contacts;
    /// Since when a member is a neighbour; others are not expected to be heard from.
    std::map<common::InstanceId, common::TimePoint> m_watchedSince;
};

} // namespace banyanwall::process
