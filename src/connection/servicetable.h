#pragma once

#include "common/ids.h"
#include "common/time.h"
#include "connection/bucketruntime.h"
#include "connection/flowrouter.h"
#include "connection/overridestore.h"
#include "connection/ownerselector.h"
#include "connection/serviceview.h"
#include "version/bucketmap.h"
#include "version/roster.h"

#include <bitset>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace banyanwall::connection {

/// Members as the router uses them: unreachable and suspected ones are left out.
struct OwnershipView
{
    common::InstanceId self;
    std::shared_ptr<const OwnerSelector> members;
    /// The same without self; names the former owners while young.
    std::shared_ptr<const OwnerSelector> others;
    /// Self joined a short time ago, so that others hold all earlier overrides.
    bool young = false;
    std::set<common::InstanceId> live;
};

/// Upstreams and zones that cannot be used at present.
struct Outages
{
    std::set<common::UpstreamId> lostUpstreams;
    std::set<common::ZoneId> unreachableZones;
};

/// Control state of one service on one instance: maps of the versions in roll-out and the runtime
/// of its transitional buckets. Protected by the control lock of the router.
class ServiceTable
{
public:
    explicit ServiceTable(common::ServiceId service);

    /// False when the roster is not newer than the known one.
    bool applyRoster(const version::ServiceRoster &roster);
    /// False when the table is not newer than the known one.
    bool applySettled(const version::SettledTable &settled);
    /// False when the maps in use stay the same.
    bool setInForce(common::RosterVersion version);
    /// Follows a change of members.
    void updateOwners(const OwnershipView &ownership, common::TimePoint now);
    /// Makes all buckets of self wait for the overrides of the other owner.
    void restartHandovers(common::InstanceId self, common::TimePoint now);
    /// A member restarted under its id and has lost its overrides.
    void onMemberRestarted(common::InstanceId self, common::InstanceId member,
                           common::TimePoint now);
    /// Drops overrides that are equal to the default of an acknowledged settled revision, and the
    /// runtimes of buckets that it settled.
    void dropNeedless(OverrideStore &overrides);

    /// Builds the table of the packet path; adds runtimes of buckets that became transitional.
    [[nodiscard]] std::shared_ptr<const ServiceView>
    buildView(const OwnershipView &ownership, const Outages &outages, common::TimePoint now);

    [[nodiscard]] IdleBucketReport idleReport(common::InstanceId self,
                                              const OverrideStore &overrides,
                                              common::TimePoint now) const;
    /// Appends handovers of at most budget records and reduces the budget.
    void takeHandovers(const OverrideStore &overrides, std::size_t &budget, common::TimePoint now,
                       std::vector<OverrideBatch> &batches);
    void acceptHandover(const OverrideBatch &batch, OverrideStore &overrides,
                        common::TimePoint now);

    void takeRequests(common::InstanceId self, const OverrideStore &overrides,
                      std::size_t maxRequests, common::TimePoint now,
                      std::vector<OverrideRequest> &requests);
    /// True when the requested records are all known to the sender, so that only the confirmation
    /// is missing. Otherwise the handover is queued, if the records are here.
    [[nodiscard]] bool acceptRequest(common::InstanceId self, common::InstanceId sender,
                                     const OverrideRequest &request, const OverrideStore &overrides,
                                     common::TimePoint now);

    /// Upstreams that the bucket's recent maps named, newest first, without duplicates.
    [[nodiscard]] std::vector<common::UpstreamId> recentUpstreams(common::BucketIndex bucket) const;
    [[nodiscard]] const BucketRuntime *runtime(common::BucketIndex bucket) const;

    [[nodiscard]] const std::shared_ptr<const version::BucketMap> &map() const { return m_map; }

    [[nodiscard]] const std::optional<version::ServiceRoster> &roster() const { return m_roster; }

    /// Some bucket is in transition, so that the view depends on the members.
    [[nodiscard]] bool hasRuntimes() const { return !m_runtimes.empty(); }

    void setAcknowledged(common::SettledRevision revision);

private:
    using Statuses = boost::container::flat_map<common::UpstreamId, UpstreamStatus>;

    void rebuildMap();
    [[nodiscard]] Statuses statuses(const Outages &outages) const;
    [[nodiscard]] std::shared_ptr<BucketRuntime>
    addRuntime(common::BucketIndex bucket, const OwnershipView &ownership, common::TimePoint now);
    void follow(BucketRuntime &runtime, common::BucketIndex bucket, const OwnershipView &ownership,
                common::TimePoint now) const;
    void sendBucket(common::BucketIndex bucket, BucketRuntime &runtime,
                    const OverrideStore &overrides, std::size_t &budget,
                    std::vector<OverrideBatch> &batches) const;
    [[nodiscard]] const version::BucketMap *inForceMap() const;

    common::ServiceId m_service;
    std::optional<version::ServiceRoster> m_roster;
    std::optional<version::SettledTable> m_settled;
    std::shared_ptr<const version::BucketMap> m_map;
    common::RosterVersion m_inForce;
    common::SettledRevision m_acknowledged;
    /// Maps by version from the one in force to the newest.
    std::map<common::RosterVersion, std::shared_ptr<const version::BucketMap>> m_pending;
    /// Former maps, newest first.
    std::deque<std::shared_ptr<const version::BucketMap>> m_history;
    /// Settled buckets whose default was unusable here: flows may have been opened elsewhere.
    std::bitset<version::BucketCount> m_diverted;
    std::map<common::BucketIndex, std::shared_ptr<BucketRuntime>> m_runtimes;
};

} // namespace banyanwall::connection
