#pragma once

#include "connection/flowrouter.h"
#include "version/bucketmap.h"
#include "version/settledtableplan.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace banyanwall::benchmarks {

/// One instance of the simulated fleet.
struct ReplayInstance
{
    std::unique_ptr<connection::FlowRouter> router;
    /// Newest roster that this instance has received.
    version::ServiceRoster roster;
    std::set<common::UpstreamId> lostUpstreams;
    std::uint64_t memberViewNumber = 0;
    /// Pending updates that are delayed by more than the staleness timeout; the instance is stale
    /// while there are any.
    int delayedUpdates = 0;
};

/// Simulates the control plane of a fleet of FlowRouter objects: rosters, settled maps, members and
/// failures.
///
/// Each update reaches each instance after a delay of 0 to 3 s. An instance whose update is delayed
/// by more than 2 s is stale from then until the update arrives, as if all its control traffic was
/// delayed. A roster is in force at an instance when all instances have acknowledged it (by a
/// heartbeat every 500 ms), or 2.5 s after it arrived there.
class FleetReplay
{
public:
    static constexpr common::ServiceId Service { 77 };
    static constexpr common::CustomerId Customer { 7 };

    FleetReplay(std::uint32_t instances, const version::ServiceRoster &roster, std::uint64_t seed);

    /// Runs all control events up to this time.
    void advance(common::TimePoint until);
    void at(common::TimePoint time, std::function<void()> event);

    void publishRoster(const version::ServiceRoster &roster);
    /// Starts a successor; the instance announces 4 s later that it leaves and exits 14 s later.
    void replaceInstance(std::uint32_t id);
    /// The instance exits without notice. It is suspected after 2 s and removed from the members
    /// after 5 s.
    void killInstance(std::uint32_t id);
    void failUpstream(common::UpstreamId upstream);

    [[nodiscard]] common::TimePoint now() const { return m_now; }

    /// Instances that the fabric sends packets to.
    [[nodiscard]] const std::vector<std::uint32_t> &fabricInstances() const
    {
        return m_fabricInstances;
    }

    /// Null when the instance has exited.
    [[nodiscard]] ReplayInstance *find(std::uint32_t id);

    [[nodiscard]] std::size_t mostOverrides() const { return m_mostOverrides; }

    [[nodiscard]] std::uint64_t handoverRecords() const { return m_handoverRecords; }

    [[nodiscard]] std::uint64_t handoverRequests() const { return m_handoverRequests; }

    [[nodiscard]] std::uint64_t settledRevisions() const { return m_settled.revision.value(); }

    /// Transitional buckets in the first instance's map.
    [[nodiscard]] std::size_t transitionalBuckets() const;

private:
    using Update = std::function<void(ReplayInstance &)>;

    void start(std::uint32_t id);
    /// Applies the update at each running instance after a random delay of up to maxDelay. Returns
    /// the time of the last arrival.
    common::TimePoint distribute(const Update &update, common::Duration maxDelay);
    void distributeMembers();
    void distributeSuspicions();
    void tick();
    void plan(const std::vector<connection::IdleBucketReport> &reports);
    void publishSettled(const version::SettledTable &settled);
    void removeFromFabric(std::uint32_t id);

    common::TimePoint m_now { std::chrono::seconds(1'000) };
    std::mt19937_64 m_random;
    std::multimap<common::TimePoint, std::function<void()>> m_events;
    std::map<std::uint32_t, ReplayInstance> m_instances;
    std::vector<connection::Member> m_members;
    std::shared_ptr<const connection::OwnerSelector> m_selector;
    std::vector<common::InstanceId> m_suspected;
    std::vector<std::uint32_t> m_fabricInstances;
    std::set<common::UpstreamId> m_lostUpstreams;
    version::ServiceRoster m_roster;
    version::SettledTable m_settled;
    std::uint64_t m_memberViewNumber = 0;
    std::uint32_t m_nextInstance = 1;
    std::size_t m_mostOverrides = 0;
    std::uint64_t m_handoverRecords = 0;
    std::uint64_t m_handoverRequests = 0;
    std::uint64_t m_ticks = 0;
};

} // namespace banyanwall::benchmarks
