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

/// State of one other instance as this instance knows it.
struct MemberInfo
{
    common::InstanceId id;
    common::Incarnation incarnation;
    common::ZoneId zone;
    common::Endpoint peerAddress;
    wire::proto::MemberRecord::State state = wire::proto::MemberRecord::ALIVE;
    /// Time of the last direct heartbeat or acknowledgement, or of the moment the member became
    /// known.
    common::TimePoint lastSeen;
    common::TimePoint stateSince;
    /// The member announced its departure: it is LEAVING, or DEAD after it was LEAVING.
    bool hasLeft = false;
    /// Incarnation at the start of the process. A refutation raises incarnation only, so a higher
    /// value here shows a restart.
    common::Incarnation started;
};

struct SendToMember
{
    common::InstanceId member;
    wire::proto::PeerMessage message;
};

/// Detects failed instances and disseminates the states of all members, with suspicion and
/// refutation as in SWIM.
///
/// Each instance sends heartbeats to its neighbours, floods changed member records to them, and
/// merges the store's list of instances. A neighbour that has received neither a heartbeat nor an
/// acknowledgement from a member for SuspectAfter suspects the member; DeadAfter without either,
/// the member is dead. A member refutes a suspicion by an update with a higher incarnation, as it
/// does after a pause of its process. Not thread-safe.
class Membership
{
public:
    static constexpr common::Duration HeartbeatInterval = std::chrono::milliseconds(500);
    static constexpr common::Duration SuspectAfter = std::chrono::seconds(2);
    static constexpr common::Duration DeadAfter = std::chrono::seconds(5);
    /// A longer time between two ticks shows that this process was paused. It could not receive
    /// messages meanwhile, so the time does not count against the other members.
    static constexpr common::Duration PauseThreshold = std::chrono::seconds(1);
    /// A zone is unreachable when no member of it was seen for this long.
    static constexpr common::Duration ZoneUnreachableAfter = std::chrono::seconds(3);
    static constexpr std::size_t MaxLocalNeighbours = 6;
    /// Counted over all other zones. Each other zone gets at least one neighbour, so that a zone
    /// that becomes unreachable is noticed.
    static constexpr std::size_t MinRemoteNeighbours = 2;
    /// While the store is unreachable, every TicksPerBroadcast-th heartbeat goes to all live
    /// members instead of the neighbours: the lease guard needs acknowledgements of more than half
    /// of them, each at most 2 s old.
    static constexpr std::uint64_t TicksPerBroadcast = 3;
    /// Consecutive heartbeats of a peer with a different view before this instance sends the full
    /// view; an update that is still on its way needs no repair. Repair is necessary because a
    /// flooded record reaches only the neighbours known at that moment: without repair, instances
    /// that start together would miss members.
    static constexpr std::uint32_t MismatchesBeforeRepair = 2;
    /// An older view report does not count for isViewConfirmed(). Three heartbeat intervals, so
    /// that one lost heartbeat makes no difference.
    static constexpr common::Duration MaxViewReportAge = std::chrono::milliseconds(1'500);

    Membership(common::InstanceId self, common::Incarnation incarnation, common::ZoneId zone,
               common::Endpoint peerAddress);

    /// Merges the store's list of instances. The list lags behind the heartbeats: an entry adds an
    /// unknown member, but a missing entry removes no member.
    void applyStoreList(const std::vector<MemberInfo> &listed, common::TimePoint now);
    /// Call every HeartbeatInterval. preparedHeartbeat has the fields that this class does not
    /// know: store_reachable, the catalogue digest, acknowledgements and suspected members. Returns
    /// the heartbeats and updates to send.
    [[nodiscard]] std::vector<SendToMember> onTick(wire::proto::Heartbeat preparedHeartbeat,
                                                   common::TimePoint now);
    /// Returns the acknowledgement, and the records that the sender or the neighbours lack.
    [[nodiscard]] std::vector<SendToMember> onHeartbeat(common::InstanceId sender,
                                                        const wire::proto::Heartbeat &heartbeat,
                                                        std::uint64_t ownCatalogueDigest,
                                                        common::TimePoint now);
    void onHeartbeatAck(common::InstanceId sender, const wire::proto::HeartbeatAck &ack,
                        std::uint64_t ownCatalogueDigest, common::TimePoint now);
    /// Returns the messages that pass changed records on to the neighbours.
    [[nodiscard]] std::vector<SendToMember> onUpdate(const wire::proto::MemberUpdate &update,
                                                     common::TimePoint now);
    /// Announces that this instance leaves. It stays a live member until announceDeparture().
    [[nodiscard]] std::vector<SendToMember> leave(common::TimePoint now);
    /// Cancels leave() under a higher incarnation.
    [[nodiscard]] std::vector<SendToMember> rejoin();
    /// Last update of an instance that has left: it marks the instance dead, so that peers do not
    /// wait for DeadAfter.
    [[nodiscard]] std::vector<SendToMember> announceDeparture() const;

    /// Alive, suspected and leaving members and this instance, sorted by id.
    [[nodiscard]] std::vector<connection::Member> liveMembers() const;
    /// Ids of the live members without this instance.
    [[nodiscard]] std::vector<common::InstanceId> livePeers() const;
    [[nodiscard]] std::optional<common::Endpoint> addressOf(common::InstanceId member) const;
    [[nodiscard]] std::vector<common::InstanceId> neighbours() const;
    /// Less than half of the neighbours reported a catalogue digest equal to the own one within
    /// Rollout::StaleAfter.
    [[nodiscard]] bool isStale(common::TimePoint now) const;
    /// Time until which this instance is not stale if no further message arrives.
    [[nodiscard]] common::TimePoint freshUntil() const;
    /// More than half of the neighbours reported an equal view of the live members within
    /// MaxViewReportAge. While views differ, two instances may choose different coordinators for
    /// one request.
    [[nodiscard]] bool isViewConfirmed(common::TimePoint now) const;
    /// Other zones without a member that was seen within ZoneUnreachableAfter.
    [[nodiscard]] std::vector<common::ZoneId> unreachableZones(common::TimePoint now) const;
    /// Number of peers that acknowledged a heartbeat sent at or after oldest.
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
    /// What the heartbeats and acknowledgements of one peer reported.
    struct Contact
    {
        /// When the catalogue digest of the peer was last equal to the own one.
        common::TimePoint digestEqualAt;
        /// Send time of the newest heartbeat that the peer acknowledged.
        common::TimePoint acknowledgedSentAt;
        /// Digest of the live members as the peer last reported it.
        std::uint64_t viewDigest = 0;
        common::TimePoint viewReportedAt;
        std::uint32_t viewMismatches = 0;
    };

    [[nodiscard]] std::uint64_t viewDigest() const;
    /// Records the view digest of the sender's heartbeat. Returns true when it has differed from
    /// the own one in MismatchesBeforeRepair consecutive heartbeats, so that the sender needs the
    /// full view.
    [[nodiscard]] bool recordViewReport(common::InstanceId sender, std::uint64_t digest,
                                        common::TimePoint now);

    [[nodiscard]] std::vector<common::InstanceId> heartbeatReceivers(bool storeReachable) const;
    /// Messages with the records to all neighbours except the given one.
    [[nodiscard]] std::vector<SendToMember>
    flood(const std::vector<wire::proto::MemberRecord> &records,
          std::optional<common::InstanceId> except) const;
    /// Returns true when the record is newer than the known one.
    bool merge(const wire::proto::MemberRecord &record, common::TimePoint now);
    void onMessageReceived(common::InstanceId sender, common::TimePoint now);
    void resetTimersAfterPause(common::TimePoint now);
    [[nodiscard]] std::vector<common::InstanceId> remoteNeighbours() const;
    /// Update with the records of all known members and this instance.
    [[nodiscard]] wire::proto::PeerMessage fullView() const;
    /// Applies the timeouts to all members and returns the changed records.
    [[nodiscard]] std::vector<wire::proto::MemberRecord> detectFailures(common::TimePoint now);

    common::InstanceId m_self;
    common::Incarnation m_startIncarnation;
    common::Incarnation m_incarnation;
    common::ZoneId m_zone;
    common::Endpoint m_peerAddress;
    bool m_isLeaving = false;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_viewNumber = 1;
    common::TimePoint m_lastTick {};
    /// Send times by sequence number, kept for DeadAfter.
    std::map<std::uint64_t, common::TimePoint> m_heartbeatSentAt;
    std::map<common::InstanceId, MemberInfo> m_members;
    std::map<common::InstanceId, Contact> m_contacts;
    /// Since when a member is a neighbour. Other members send no regular messages to this instance,
    /// so it does not suspect them.
    std::map<common::InstanceId, common::TimePoint> m_neighbourSince;
};

} // namespace banyanwall::process
