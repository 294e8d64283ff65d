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

/// Members that may be owners, as the router selects them: without suspected members and without
/// members of unreachable zones.
struct OwnershipView
{
    common::InstanceId self;
    std::shared_ptr<const OwnerSelector> members;
    /// Difference between the previous members and the present ones.
    MemberChange change;
    /// The present members without self. While self is joining, the former owners are selected
    /// from them.
    std::shared_ptr<const OwnerSelector> otherMembers;
    /// Self joined or rejoined a short time ago, so that other members hold all earlier overrides.
    bool isJoining = false;
    std::set<common::InstanceId> liveMembers;
};

/// Upstreams and zones that cannot be used at present.
struct Outages
{
    std::set<common::UpstreamId> lostUpstreams;
    std::set<common::ZoneId> unreachableZones;
};

/// Control state of one service on one instance: the maps of the roster versions that are being
/// rolled out, and the runtime of its transitional buckets. Protected by the control lock of the
/// router.
class ServiceTable
{
public:
    explicit ServiceTable(common::ServiceId service);

    /// False when the roster is not newer than the known one.
    bool applyRoster(const version::ServiceRoster &roster);
    /// False when the table is not newer than the known one.
    bool applySettled(const version::SettledTable &settled);
    /// False when the map in force stays the same.
    bool setInForce(common::RosterVersion version);
    /// For all buckets that self owns, awaits a handover from the other owner.
    void restartHandovers(common::InstanceId self, common::TimePoint now);
    /// A member restarted under its id and has lost its overrides. Queues handovers to it for the
    /// buckets that self and the member own, and stops awaiting handovers from it.
    void onMemberRestarted(common::InstanceId self, common::InstanceId member,
                           common::TimePoint now);
    /// Once the settled revision is acknowledged, removes the overrides that name the default of
    /// their bucket, and the runtimes of settled buckets.
    void removeRedundantOverrides(OverrideStore &overrides);

    /// Builds the view for the packet path. When the members have changed, updates the owners and
    /// handovers of the routed buckets; otherwise takes the owners from the previous view.
    void buildView(const OwnershipView &ownership, const Outages &outages, bool membersChanged,
                   common::TimePoint now);

    /// Null before a roster is known.
    [[nodiscard]] const std::shared_ptr<const ServiceView> &view() const { return m_view; }

    [[nodiscard]] IdleBucketReport idleReport(common::InstanceId self,
                                              const OverrideStore &overrides,
                                              common::TimePoint now) const;
    /// Appends handovers of at most budget records and reduces budget by their number. An empty
    /// batch counts as one record.
    void takeHandovers(const OverrideStore &overrides, std::size_t &budget, common::TimePoint now,
                       std::vector<OverrideBatch> &batches);
    void acceptHandover(const OverrideBatch &batch, OverrideStore &overrides,
                        common::TimePoint now);

    void takeHandoverRequests(common::InstanceId self, const OverrideStore &overrides,
                              std::size_t maxRequests, common::TimePoint now,
                              std::vector<HandoverRequest> &requests);
    /// True when the sender holds all requested records already, so that it lacks only the
    /// confirmation. Otherwise queues the handover, if self holds the records.
    [[nodiscard]] bool acceptHandoverRequest(common::InstanceId self, common::InstanceId sender,
                                             const HandoverRequest &request,
                                             const OverrideStore &overrides, common::TimePoint now);

    /// Upstreams where a flow of the bucket may have been opened: open and default upstream of the
    /// newest map, then open upstreams of former rosters, newest first.
    [[nodiscard]] std::vector<common::UpstreamId>
    searchCandidates(common::BucketIndex bucket) const;
    /// The search candidates without the default upstream, which a new owner knows from the settled
    /// map.
    [[nodiscard]] std::vector<common::UpstreamId>
    recentOpenUpstreams(common::BucketIndex bucket) const;
    [[nodiscard]] const BucketRuntime *runtime(common::BucketIndex bucket) const;

    [[nodiscard]] const std::shared_ptr<const version::BucketMap> &map() const { return m_map; }

    [[nodiscard]] const std::optional<version::ServiceRoster> &roster() const { return m_roster; }

    void setAcknowledged(common::SettledRevision revision);

private:
    void rebuildMap();
    /// Adds the open upstreams of the former map to m_recentUpstreams.
    void recordFormerOpens(const version::BucketMap &former);
    [[nodiscard]] ServiceView::Statuses statuses(const Outages &outages) const;
    /// Buckets whose packets cannot go straight to the default upstream. Marks the settled ones
    /// among them in m_divertedBuckets.
    [[nodiscard]] std::bitset<version::BucketCount>
    routedBuckets(const ServiceView::Statuses &statuses);
    /// Owners by the present members and, if self owns or has owned the bucket, its updated
    /// runtime.
    [[nodiscard]] std::pair<BucketOwners, std::shared_ptr<BucketRuntime>>
    routeBucket(common::BucketIndex bucket, const OwnershipView &ownership, bool membersChanged,
                common::TimePoint now);
    /// Updates the awaited and pending handovers of a bucket; after are its new owners.
    void updateHandovers(BucketRuntime &runtime, common::BucketIndex bucket,
                         const BucketOwners &after, const OwnershipView &ownership,
                         common::TimePoint now) const;
    /// Appends the next batch of each pending handover of the bucket.
    void appendBatches(common::BucketIndex bucket, BucketRuntime &runtime,
                       const OverrideStore &overrides, std::size_t &budget,
                       std::vector<OverrideBatch> &batches) const;
    [[nodiscard]] std::shared_ptr<const version::BucketMap> inForceMap() const;

    common::ServiceId m_service;
    std::optional<version::ServiceRoster> m_roster;
    /// Its defaults are cleared once the map holds them.
    std::optional<version::SettledTable> m_settled;
    std::shared_ptr<const version::BucketMap> m_map;
    std::shared_ptr<const ServiceView> m_view;
    common::RosterVersion m_inForce;
    common::SettledRevision m_acknowledged;
    /// Maps by version from the one in force to the newest.
    std::map<common::RosterVersion, std::shared_ptr<const version::BucketMap>> m_mapsByVersion;
    /// Open upstreams of former rosters for the transitional buckets.
    RecentUpstreams m_recentUpstreams;
    /// Settled buckets whose default could not be used here, so that their flows may have been
    /// opened at another upstream.
    std::bitset<version::BucketCount> m_divertedBuckets;
    /// Runtimes of the routed buckets that this instance owns or has owned.
    std::map<common::BucketIndex, std::shared_ptr<BucketRuntime>> m_runtimes;
};

} // namespace banyanwall::connection
