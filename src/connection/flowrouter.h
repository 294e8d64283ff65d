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

/// A caller packet as the router sees it, from the fabric (hops 0) or from a peer.
struct FlowPacket
{
    common::ServiceId service;
    common::FlowKey flow;
    PacketKind kind = PacketKind::Data;
    std::uint32_t hops = 0;
    /// Set when an owner has decided: the receiver records the upstream, or on a close removes its
    /// record, and forwards the packet there. When the sender is not the other owner in the
    /// receiver's view, the receiver passes the packet on to that owner with the record.
    std::optional<common::UpstreamId> record;
    /// Peer that relayed the packet. The second owner decides a packet without record that the
    /// first owner has passed on, because the first owner is then not able to decide.
    std::optional<common::InstanceId> relayedBy;
};

/// Relays of one packet, so that differing views cannot cause an endless loop.
inline constexpr std::uint32_t HopLimit = 3;

struct ForwardToUpstream
{
    common::UpstreamId upstream;
};

struct RelayToPeer
{
    common::InstanceId peer;
    /// Decision that the peer has to record before it forwards the packet.
    std::optional<common::UpstreamId> record;
};

struct RejectPacket
{
    common::Reason reason;
};

using RouteDecision = std::variant<ForwardToUpstream, RelayToPeer, RejectPacket>;

/// Overrides of one bucket on their way to a new owner.
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
    /// The sender has sent all that it holds for this bucket.
    bool complete = false;
    /// With complete: open upstreams of recent rosters, newest first. The receiver may have started
    /// after those rosters, and needs them to search for flows whose override is lost.
    std::vector<common::UpstreamId> recentUpstreams {};
};

/// Asks for the overrides of a bucket that have not arrived.
struct OverrideRequest
{
    common::InstanceId receiver;
    common::ServiceId service;
    common::BucketIndex bucket;
    /// Records held by the sender, and the exclusive or of their hashes.
    std::uint32_t count = 0;
    std::uint64_t hash = 0;
};

/// Buckets that the planner may settle.
struct IdleBucketReport
{
    common::ServiceId service;
    common::SettledRevision revision;
    /// Transitional buckets whose default served no packet for the idle limit.
    std::vector<common::BucketIndex> buckets;
    /// Roster that the report refers to: the newest known one, which is also in force.
    common::RosterVersion rosterVersion;
    /// Transitional buckets without an override to another upstream than their open upstream.
    std::vector<common::BucketIndex> clean;
};

/// Decides where each packet of a flow goes. Thread-safe: route() takes shared locks, all other
/// calls exclusive ones. The rules are those of docs/design.md, section 3.
class FlowRouter
{
public:
    FlowRouter(common::InstanceId self, common::ZoneId zone);
    ~FlowRouter();
    FlowRouter(const FlowRouter &) = delete;
    FlowRouter &operator=(const FlowRouter &) = delete;

    /// Takes a new view of the live members. Buckets gained by this call need a handover before
    /// they are answered for.
    void setMembers(std::shared_ptr<const OwnerSelector> members, common::TimePoint now);
    /// Takes a roster; older versions than the newest known are ignored.
    void applyRoster(const version::ServiceRoster &roster, common::TimePoint now);
    void applySettled(common::ServiceId service, const version::SettledTable &settled,
                      common::TimePoint now);
    /// All live members know this roster version or the deadline for them has passed; opens may
    /// follow it.
    void setInForce(common::ServiceId service, common::RosterVersion version);
    /// All live members know this settled revision; overrides that it made needless are dropped.
    void setSettledAcknowledged(common::ServiceId service, common::SettledRevision revision);
    /// A stale instance relays instead of deciding. Only flows that it has a record of as first
    /// owner are still served, because records do not depend on the roster.
    void setStale(bool stale);
    void setUnreachableZones(std::vector<common::ZoneId> zones);
    /// Suspected members are passed over as owners until they are heard from again.
    void setSuspected(std::vector<common::InstanceId> members);
    /// Others took this instance for dead or suspected: its overrides may have gaps. It behaves as
    /// a new owner until handovers are finished.
    void onRejoined(common::TimePoint now);
    /// A member restarted under its id without leaving the list of members: it has lost its
    /// overrides and gets them again.
    void onMemberRestarted(common::InstanceId member, common::TimePoint now);
    /// The upstream failed without notice; its flows are lost and its buckets open elsewhere.
    void setUpstreamLost(common::UpstreamId upstream, bool lost);

    [[nodiscard]] RouteDecision route(const FlowPacket &packet, common::TimePoint now);
    /// The upstream does not know the flow. Returns where to try next, at most once for each recent
    /// upstream of the bucket, or empty when the flow is lost.
    [[nodiscard]] std::optional<common::UpstreamId> nextCandidate(common::ServiceId service,
                                                                  common::FlowKey flow,
                                                                  common::UpstreamId rejectedBy,
                                                                  common::TimePoint now);

    [[nodiscard]] std::vector<IdleBucketReport> idleBuckets(common::TimePoint now);
    /// Next overrides for new owners, at most maxRecords in all.
    [[nodiscard]] std::vector<OverrideBatch> takeHandovers(std::size_t maxRecords,
                                                           common::TimePoint now);
    void acceptHandover(const OverrideBatch &batch, common::TimePoint now);
    /// Requests for handovers that are overdue, at most maxRequests. Views of the members that
    /// change in different steps can leave two instances waiting for a third that owes nothing.
    [[nodiscard]] std::vector<OverrideRequest> takeRequests(std::size_t maxRequests,
                                                            common::TimePoint now);
    /// Queues the handover unless both sides hold the same records, in which case it is confirmed.
    void acceptRequest(common::InstanceId sender, const OverrideRequest &request,
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
