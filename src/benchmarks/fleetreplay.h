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

/// One instance of the replayed fleet.
struct ReplayInstance
{
    std::unique_ptr<connection::FlowRouter> router;
    /// Newest roster that has reached this instance.
    version::ServiceRoster roster;
    std::set<common::UpstreamId> lost;
    std::uint64_t viewNumber = 0;
    /// Updates that are late by more than the staleness timeout at present.
    int silences = 0;
};

/// Control events of a fleet of FlowRouter objects in replayed time: rosters, settled maps,
/// members, failures.
///
/// Each update reaches each instance 0 to 3 s late. An update that is late means that the control
/// traffic of the instance is held up, so that the instance is stale from 2 s on. A roster is in
/// force at an instance when all have acknowledged it (500 ms heartbeat) or 2.5 s after it arrived
/// there.
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
    /// Starts a successor, then lets the instance leave and exit.
    void replaceInstance(std::uint32_t id);
    /// The instance is gone without notice; suspected after 2 s, dead after 5 s.
    void killInstance(std::uint32_t id);
    void loseUpstream(common::UpstreamId upstream);

    [[nodiscard]] common::TimePoint now() const { return m_now; }

    /// Instances that the fabric sends packets to.
    [[nodiscard]] const std::vector<std::uint32_t> &sprayed() const { return m_sprayed; }

    /// Null when the instance is gone.
    [[nodiscard]] ReplayInstance *find(std::uint32_t id);

    [[nodiscard]] std::size_t mostOverrides() const { return m_mostOverrides; }

    [[nodiscard]] std::uint64_t handoverRecords() const { return m_handoverRecords; }

    [[nodiscard]] std::uint64_t handoverRequests() const { return m_handoverRequests; }

    [[nodiscard]] std::uint64_t settledRevisions() const { return m_settled.revision.value(); }

    /// Transitional buckets as the first instance sees them.
    [[nodiscard]] std::size_t transitionalBuckets() const;

private:
    using Update = std::function<void(ReplayInstance &)>;

    void start(std::uint32_t id);
    /// Applies the update at each live instance after its own delay; returns the last time.
    common::TimePoint spread(const Update &update, common::Duration longest);
    void spreadMembers();
    void spreadSuspicions();
    void tick();
    void plan(const std::vector<connection::IdleBucketReport> &reports);
    void publishSettled(const version::SettledTable &settled);
    void stopSpraying(std::uint32_t id);

    common::TimePoint m_now { std::chrono::seconds(1'000) };
    std::mt19937_64 m_random;
    std::multimap<common::TimePoint, std::function<void()>> m_events;
    std::map<std::uint32_t, ReplayInstance> m_instances;
    std::vector<connection::Member> m_members;
    std::shared_ptr<const connection::OwnerSelector> m_selector;
    std::vector<common::InstanceId> m_suspected;
    std::vector<std::uint32_t> m_sprayed;
    std::set<common::UpstreamId> m_lost;
    version::ServiceRoster m_roster;
    version::SettledTable m_settled;
    std::uint64_t m_viewNumber = 0;
    std::uint32_t m_nextInstance = 1;
    std::size_t m_mostOverrides = 0;
    std::uint64_t m_handoverRecords = 0;
    std::uint64_t m_handoverRequests = 0;
    std::uint64_t m_ticks = 0;
};

} // namespace banyanwall::benchmarks
