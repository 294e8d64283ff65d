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

/// Slots as their owners count them, and the requests that want them.
struct SlotCount
{
    std::size_t usable = 0;
    std::size_t busy = 0;
    std::size_t inProgress = 0;
};

/// Instances with coordinators, leases and upstream owners, joined by a simulated network, store
/// and membership.
///
/// Views of the members change step by step and reach each instance up to ViewLag late. A member
/// that is silent for DeadAfter is removed; that revokes its lease, and the successors of its
/// requests wait for the end of its last lease.
class CoordinatorFleet
{
public:
    static constexpr std::uint32_t Instances = 16;
    static constexpr std::uint32_t Zones = 3;
    static constexpr common::Duration LongestRequest = std::chrono::seconds(5);
    static constexpr common::ServiceId Service { 1 };

    /// Without slow start the owners treat every answer as one at usual latency.
    CoordinatorFleet(EventQueue &events, SimulatedNetwork &network, RequestLedger &ledger,
                     std::vector<UpstreamFake> &upstreams, bool slowStart, std::uint64_t seed);

    /// A caller's packet that the fabric hands to an instance.
    void receive(std::size_t instance, const request::RequestArrival &arrival);
    void cancel(std::size_t instance, common::RequestKey key);
    /// The fabric's list of instances contains this one.
    [[nodiscard]] bool isListed(std::size_t instance) const;

    void kill(std::size_t instance);
    void restart(std::size_t instance);
    void pause(std::size_t instance);
    void resume(std::size_t instance);
    void setStoreUp(bool up);

    [[nodiscard]] static common::ZoneId zoneOf(std::size_t index);
    [[nodiscard]] static common::UpstreamId upstreamId(std::size_t index);

    /// Summed over all upstreams.
    [[nodiscard]] SlotCount slots() const;

    [[nodiscard]] std::uint64_t retries() const { return m_retries; }

    [[nodiscard]] std::uint64_t drops() const { return m_drops; }

    /// Verdicts without an answer, by reason.
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
        bool member = true;
        bool listed = true;
        common::TimePoint downSince;
        std::unique_ptr<request::Coordinator> coordinator;
        request::LeaseGuard guard;
        /// In the store.
        common::WallTime leaseEnd;
        bool leaseRevoked = false;
        std::size_t view = 0;
        std::map<common::UpstreamId, connection::UpstreamOwner> owners;
        /// Reports that each owner role has received since it began.
        std::map<common::UpstreamId, std::size_t> reports;
        std::vector<EventQueue::Event> waiting;
    };

    struct Removal
    {
        common::InstanceId member;
        /// End of its last lease.
        common::WallTime fenceEnd;
    };

    /// One change of the members.
    struct ViewStep
    {
        std::shared_ptr<const connection::OwnerSelector> members;
        std::optional<Removal> removal;
    };

    void toInstance(std::size_t instance, const LinkQuality &link, const EventQueue::Event &event);
    void arrive(std::size_t instance, const EventQueue::Event &event);
    void handleRequest(std::size_t instance, const request::RequestArrival &arrival, int hops);
    void handleCancel(std::size_t instance, common::RequestKey key, int hops);
    void perform(std::size_t instance, const request::RequestActions &actions);
    void perform(std::size_t instance, const request::RequestSlot &ask);
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
    void removeIfSilent(std::size_t instance, common::TimePoint downSince);
    void pushView(std::optional<Removal> removal);
    void advanceView(std::size_t instance, std::size_t target);
    void applyStep(std::size_t instance, const ViewStep &from, const ViewStep &to);
    void changeOwner(std::size_t instance, std::size_t upstream, bool owns, bool knowsAll);
    void reportSlots(std::size_t instance, std::size_t upstream, bool knowsAll);
    void addOwner(std::size_t instance, common::UpstreamId upstream);

    [[nodiscard]] const connection::OwnerSelector &viewOf(std::size_t instance) const;
    [[nodiscard]] std::optional<std::size_t> ownerOf(std::size_t instance,
                                                     common::UpstreamId upstream) const;
    [[nodiscard]] std::size_t memberCount() const;

    EventQueue &m_events;
    SimulatedNetwork &m_network;
    RequestLedger &m_ledger;
    std::vector<UpstreamFake> &m_upstreams;
    bool m_slowStart;
    std::uint64_t m_nextSeed;
    bool m_storeUp = true;
    std::vector<Instance> m_instances;
    std::vector<ViewStep> m_views;
    common::TimePoint m_lastRemoval {};
    std::uint64_t m_retries = 0;
    std::uint64_t m_drops = 0;
    std::map<common::Reason, std::uint64_t> m_refusals;
};

} // namespace banyanwall::benchmarks
