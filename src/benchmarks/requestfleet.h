#pragma once

#include "benchmarks/requestledger.h"
#include "benchmarks/requestsimulation.h"
#include "benchmarks/requestupstreamfake.h"
#include "connection/ownerselector.h"
#include "connection/upstreamowner.h"
#include "request/coordinator.h"
#include "request/leaseguard.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace banyanwall::benchmarks {

/// Slots as counted by their owners, and the requests in progress.
struct SlotCount
{
    std::size_t usable = 0;
    std::size_t busy = 0;
    std::size_t inProgress = 0;
};

/// Instances with coordinators, leases and upstream owners, connected by a simulated network, store
/// and membership.
///
/// Each change of the members reaches each instance after at most ViewLag; all instances apply the
/// changes in the same order. A member that is down or paused for RemovalTimeout is removed. That
/// revokes its lease, and the coordinators that take over its requests wait for the end of its last
/// lease.
class CoordinatorFleet
{
public:
    static constexpr std::uint32_t Instances = 16;
    static constexpr std::uint32_t Zones = 3;
    static constexpr common::Duration MaxRequestDuration = std::chrono::seconds(5);
    static constexpr common::ServiceId Service { 1 };

    /// Without slow start, the owners treat every answer as one at usual latency.
    CoordinatorFleet(RequestEventQueue &events, SimulatedNetwork &network, RequestLedger &ledger,
                     std::vector<RequestUpstreamFake> &upstreams, bool hasSlowStart,
                     std::uint64_t seed);

    /// A caller's packet that the fabric hands to an instance.
    void receive(std::size_t instance, const request::RequestArrival &arrival);
    void cancel(std::size_t instance, common::RequestKey key);
    /// Whether the fabric's list of instances contains this one.
    [[nodiscard]] bool isListed(std::size_t instance) const;

    void kill(std::size_t instance);
    void restart(std::size_t instance);
    void pause(std::size_t instance);
    void resume(std::size_t instance);
    void setStoreUp(bool isUp);

    [[nodiscard]] static common::ZoneId zoneOf(std::size_t index);
    [[nodiscard]] static common::UpstreamId upstreamId(std::size_t index);

    /// Slots and requests in progress, summed over all upstreams and instances.
    [[nodiscard]] SlotCount slots() const;

    [[nodiscard]] std::uint64_t retries() const { return m_retries; }

    [[nodiscard]] std::uint64_t drops() const { return m_drops; }

    /// Number of refused requests by reason.
    [[nodiscard]] const std::map<common::Reason, std::uint64_t> &refusals() const
    {
        return m_refusals;
    }

private:
    enum class Condition {
        Running,
        Paused,
        Down,
    };

    struct Instance
    {
        common::InstanceId id;
        Condition condition = Condition::Running;
        bool isMember = true;
        bool isInFabricList = true;
        common::TimePoint downSince;
        std::unique_ptr<request::Coordinator> coordinator;
        request::LeaseGuard guard;
        /// End of the lease that the store holds for this instance.
        common::WallTime leaseEnd;
        bool isLeaseRevoked = false;
        /// Index in m_views of the members that this instance has applied last.
        std::size_t view = 0;
        std::map<common::UpstreamId, connection::UpstreamOwner> owners;
        /// Number of slot reports received for each owned upstream since the instance became its
        /// owner.
        std::map<common::UpstreamId, std::size_t> reports;
        std::vector<RequestEventQueue::Event> pendingEvents;
    };

    struct Removal
    {
        common::InstanceId member;
        /// Time when the last lease of the removed member ends.
        common::WallTime fenceEnd;
    };

    /// The members after one change.
    struct ViewStep
    {
        std::shared_ptr<const connection::OwnerSelector> members;
        std::optional<Removal> removal;
    };

    void toInstance(std::size_t instance, const LinkQuality &link,
                    const RequestEventQueue::Event &event);
    void arrive(std::size_t instance, const RequestEventQueue::Event &event);
    void handleRequest(std::size_t instance, const request::RequestArrival &arrival, int hops);
    void handleCancel(std::size_t instance, common::RequestKey key, int hops);
    void perform(std::size_t instance, const request::RequestActions &actions);
    void perform(std::size_t instance, const request::RequestSlot &slotRequest);
    void perform(std::size_t instance, const request::ReleaseSlot &release);
    void perform(std::size_t instance, const request::DispatchRequest &dispatch);
    void perform(std::size_t instance, const request::DeliverAnswer &answer);
    void perform(std::size_t instance, const request::RefuseRequest &refusal);

    void startInstance(std::size_t instance);
    void tick(std::size_t instance);
    void acknowledge(std::size_t instance);
    void scheduleRenewal(std::size_t instance);
    void renewLease(std::size_t instance);
    void join(std::size_t instance);
    void removeIfStillDown(std::size_t instance, common::TimePoint downSince);
    void pushView(std::optional<Removal> removal);
    void advanceView(std::size_t instance, std::size_t target);
    void applyStep(std::size_t instance, const ViewStep &from, const ViewStep &to);
    void changeOwner(std::size_t instance, std::size_t upstream, bool isOwner, bool knowsAllGrants);
    void reportSlots(std::size_t instance, std::size_t upstream, bool knowsAllGrants);
    void addOwner(std::size_t instance, common::UpstreamId upstream);

    [[nodiscard]] const connection::OwnerSelector &viewOf(std::size_t instance) const;
    [[nodiscard]] std::optional<std::size_t> ownerOf(std::size_t instance,
                                                     common::UpstreamId upstream) const;
    [[nodiscard]] std::size_t memberCount() const;

    RequestEventQueue &m_events;
    SimulatedNetwork &m_network;
    RequestLedger &m_ledger;
    std::vector<RequestUpstreamFake> &m_upstreams;
    bool m_hasSlowStart;
    std::uint64_t m_nextSeed;
    bool m_isStoreUp = true;
    std::vector<Instance> m_instances;
    std::vector<ViewStep> m_views;
    common::TimePoint m_lastRemoval {};
    std::uint64_t m_retries = 0;
    std::uint64_t m_drops = 0;
    std::map<common::Reason, std::uint64_t> m_refusals;
};

} // namespace banyanwall::benchmarks
