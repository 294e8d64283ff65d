#pragma once

#include "common/ids.h"
#include "common/time.h"
#include "connection/bucketruntime.h"
#include "connection/flowrouter.h"
#include "connection/overridestore.h"
#include "connection/ownerchange.h"
#include "connection/ownerselector.h"
#include "connection/recentupstreams.h"
#include "connection/serviceview.h"
#include "version/bucketmap.h"
#include "version/roster.h"

#include <bitset>
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
    /// Difference to the members before.
    MemberChange change;
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
    /// Makes all buckets of self wait for the overrides of the other owner.
    void restartHandovers(common::InstanceId self, common::TimePoint now);
    /// A member restarted under its id and has lost its overrides.
    void onMemberRestarted(common::InstanceId self, common::InstanceId member,
                           common::TimePoint now);
    /// Drops overrides that are equal to the default of an acknowledged settled revision, and the
    /// runtimes of buckets that it settled.
    void dropNeedless(OverrideStore &overrides);

    /// Builds the table of the packet path, and follows a change of members. Without such a change
    /// owners are taken from the former table.
    void buildView(const OwnershipView &ownership, const Outages &outages, bool membersChanged,
                   common::TimePoint now);

    /// Null before a roster is known.
    [[nodiscard]] const std::shared_ptr<const ServiceView> &view() const { return m_view; }

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

    /// Upstreams that the bucket's recent maps named, newest first.
    [[nodiscard]] std::vector<common::UpstreamId> recentUpstreams(common::BucketIndex bucket) const;
    /// Those that a new owner cannot know from the newest settled map.
    [[nodiscard]] std::vector<common::UpstreamId> openedUpstreams(common::BucketIndex bucket) const;
    [[nodiscard]] const BucketRuntime *runtime(common::BucketIndex bucket) const;

    [[nodiscard]] const std::shared_ptr<const version::BucketMap> &map() const { return m_map; }

    [[nodiscard]] const std::optional<version::ServiceRoster> &roster() const { return m_roster; }

    void setAcknowledged(common::SettledRevision revision);

private:
    void rebuildMap();
    void noteFormer(const version::BucketMap &former);
    [[nodiscard]] ServiceView::Statuses statuses(const Outages &outages) const;
    /// Buckets whose packets cannot go to the default at once; notes diverted ones.
    [[nodiscard]] std::bitset<version::BucketCount>
    routedBuckets(const ServiceView::Statuses &statuses);
    /// Owners after the change and, if self owns or has owned the bucket, its runtime.
    [[nodiscard]] std::pair<BucketOwners, std::shared_ptr<BucketRuntime>>
    routeBucket(common::BucketIndex bucket, const OwnershipView &ownership, bool membersChanged,
                common::TimePoint now);
    void follow(BucketRuntime &runtime, common::BucketIndex bucket, const BucketOwners &after,
                const OwnershipView &ownership, common::TimePoint now) const;
    void sendBucket(common::BucketIndex bucket, BucketRuntime &runtime,
                    const OverrideStore &overrides, std::size_t &budget,
                    std::vector<OverrideBatch> &batches) const;
    [[nodiscard]] std::shared_ptr<const version::BucketMap> inForceMap() const;

    common::ServiceId m_service;
    std::optional<version::ServiceRoster> m_roster;
    /// Without the defaults once the map holds them.
    std::optional<version::SettledTable> m_settled;
    std::shared_ptr<const version::BucketMap> m_map;
    std::shared_ptr<const ServiceView> m_view;
    common::RosterVersion m_inForce;
    common::SettledRevision m_acknowledged;
    /// Maps by version from the one in force to the newest.
    std::map<common::RosterVersion, std::shared_ptr<const version::BucketMap>> m_pending;
    /// Of buckets in transition.
    RecentUpstreams m_recent;
    /// Settled buckets whose default was unusable here: flows may have been opened elsewhere.
    std::bitset<version::BucketCount> m_diverted;
    /// Of transitional buckets that this instance owns or has owned.
    std::map<common::BucketIndex, std::shared_ptr<BucketRuntime>> m_runtimes;
};

} // namespace banyanwall::connection
