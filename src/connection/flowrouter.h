#pragma once

#include "common/ids.h"
#include "common/reason.h"
#include "common/time.h"
#include "connection/ownerselector.h"
#include "version/bucketmap.h"
#include "version/roster.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace banyanwall::connection {

enum class PacketKind {
    Open,
    Data,
    Close,
};

/// Caller's packet as input of the router, received from the fabric (hops is 0) or from a peer.
struct RoutedPacket
{
    common::ServiceId service;
    common::FlowKey flow;
    PacketKind kind = PacketKind::Data;
    /// Relays between instances so far.
    std::uint32_t hops = 0;
    /// Set when an owner has decided. The receiver records the upstream, or removes its record on a
    /// close, and forwards the packet to the upstream. When the sender is not the other owner in
    /// the receiver's view, the receiver relays the packet with the record to that owner instead.
    std::optional<common::UpstreamId> record;
    /// Peer that relayed the packet. The first owner relays a packet without a record to the second
    /// owner only when it cannot decide, so the second owner decides that packet.
    std::optional<common::InstanceId> relayedBy;
};

/// Maximum number of relays of one packet. It ends loops between instances whose views of the
/// members differ.
inline constexpr std::uint32_t HopLimit = 3;

struct ForwardToUpstream
{
    common::UpstreamId upstream;
};

struct RelayToPeer
{
    common::InstanceId peer;
    /// Upstream that the peer has to record before it forwards the packet.
    std::optional<common::UpstreamId> record;
};

struct RejectPacket
{
    common::Reason reason;
};

using RouteDecision = std::variant<ForwardToUpstream, RelayToPeer, RejectPacket>;

/// Overrides of one bucket, sent to a new owner.
struct OverrideBatch
{
    common::InstanceId receiver;
    common::ServiceId service;
    common::BucketIndex bucket;

    struct Record
    {
        common::FlowKey flow;
        common::UpstreamId upstream;
    };

    std::vector<Record> records;
    /// With this batch, the sender has sent all overrides that it holds for the bucket.
    bool complete = false;
    /// Set only when complete is true: open upstreams of recent rosters, newest first. The receiver
    /// may have started after those rosters, and needs their upstreams to search for flows whose
    /// override is lost.
    std::vector<common::UpstreamId> recentUpstreams {};
};

/// Request of an owner for the overrides of a bucket whose handover is overdue.
struct HandoverRequest
{
    common::InstanceId receiver;
    common::ServiceId service;
    common::BucketIndex bucket;
    /// Number of records of the bucket that the requesting owner holds.
    std::uint32_t count = 0;
    /// Exclusive or of the hashes of these records.
    std::uint64_t hash = 0;
};

/// Buckets that the planner may settle.
struct IdleBucketReport
{
    common::ServiceId service;
    common::SettledRevision revision;
    /// Transitional buckets whose default upstream received no packet during the idle limit.
    std::vector<common::BucketIndex> buckets;
    /// Newest roster known here, which is also in force. The report refers to it.
    common::RosterVersion rosterVersion;
    /// Transitional buckets whose overrides all name the open upstream of the bucket.
    std::vector<common::BucketIndex> clean;
};

/// Decides where each packet of a flow goes. A packet of a settled bucket goes to the default
/// upstream of the bucket. In a transitional bucket the first bucket owner decides by its
/// overrides, and both owners record an upstream that differs from the default before the packet
/// that opens the flow is forwarded.
///
/// Thread-safe. route() does not take the control lock of the router; the calls that change the
/// state of the router do.
class FlowRouter
{
public:
    FlowRouter(common::InstanceId self, common::ZoneId zone);
    ~FlowRouter();
    FlowRouter(const FlowRouter &) = delete;
    FlowRouter &operator=(const FlowRouter &) = delete;

    /// Sets the live members. Buckets that this instance gains by this call need a handover before
    /// it decides their packets.
    void setMembers(std::shared_ptr<const OwnerSelector> members, common::TimePoint now);
    /// Ignores a roster that is not newer than the newest known one.
    void applyRoster(const version::ServiceRoster &roster, common::TimePoint now);
    void applySettled(common::ServiceId service, const version::SettledTable &settled,
                      common::TimePoint now);
    /// All live members know this roster version, or the deadline for them has passed. Opens may
    /// use the roster from now on.
    void setInForce(common::ServiceId service, common::RosterVersion version);
    /// All live members know this settled revision. Removes the overrides that it makes redundant.
    void setSettledAcknowledged(common::ServiceId service, common::SettledRevision revision);
    /// A stale instance relays packets instead of deciding them. It still serves flows that it has
    /// a record of as first owner, because records do not depend on the roster.
    void setStale(bool stale);
    /// Members of these zones are not chosen as owners, and their upstreams get no new flows.
    void setUnreachableZones(std::vector<common::ZoneId> zones);
    /// Suspected members are not chosen as owners until they are no longer suspected.
    void setSuspected(std::vector<common::InstanceId> members);
    /// Other members considered this instance dead or suspected, so its overrides may be
    /// incomplete. This instance acts as a new owner until the handovers are complete.
    void onRejoined(common::TimePoint now);
    /// A member restarted under its id without leaving the list of members. It has lost its
    /// overrides, so they are handed over to it again.
    void onMemberRestarted(common::InstanceId member, common::TimePoint now);
    /// lost is true when the upstream failed without notice: its flows are lost, and new flows of
    /// its buckets go to other upstreams.
    void setUpstreamLost(common::UpstreamId upstream, bool lost);

    [[nodiscard]] RouteDecision route(const RoutedPacket &packet, common::TimePoint now);
    /// The upstream rejectedBy does not know the flow. Returns the next upstream to try, at most
    /// once for each recent upstream of the bucket; empty when the flow is lost.
    [[nodiscard]] std::optional<common::UpstreamId> nextCandidate(common::ServiceId service,
                                                                  common::FlowKey flow,
                                                                  common::UpstreamId rejectedBy,
                                                                  common::TimePoint now);

    /// Removes expired and redundant overrides, and reports the buckets that this instance is first
    /// owner of.
    [[nodiscard]] std::vector<IdleBucketReport> idleBuckets(common::TimePoint now);
    /// Next overrides to send to new owners, at most maxRecords in all.
    [[nodiscard]] std::vector<OverrideBatch> takeHandovers(std::size_t maxRecords,
                                                           common::TimePoint now);
    void acceptHandover(const OverrideBatch &batch, common::TimePoint now);
    /// Requests for overdue handovers, at most maxRequests, or one more when the last bucket has
    /// two receivers. They are needed because instances apply changes of the members in different
    /// steps: two of them can await a handover from a third that has none pending.
    [[nodiscard]] std::vector<HandoverRequest> takeHandoverRequests(std::size_t maxRequests,
                                                                    common::TimePoint now);
    /// Queues the requested handover. When both sides hold the same records, queues a confirmation
    /// only.
    void acceptHandoverRequest(common::InstanceId sender, const HandoverRequest &request,
                               common::TimePoint now);

    [[nodiscard]] std::size_t overrideCount() const;
    /// Bytes allocated for overrides.
    [[nodiscard]] std::size_t overrideBytes() const;
    /// Current map of a service; null when the service is unknown.
    [[nodiscard]] std::shared_ptr<const version::BucketMap> map(common::ServiceId service) const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace banyanwall::connection
