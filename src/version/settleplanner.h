#pragma once

#include "common/ids.h"
#include "documents.pb.h"
#include "version/bucketmap.h"
#include "version/roster.h"

#include <optional>
#include <set>
#include <vector>

namespace banyanwall::version {

/// What a bucket owner reported of its transitional buckets.
struct IdleEvidence
{
    common::SettledRevision revision;
    common::RosterVersion rosterVersion;
    /// No packet went by default for the idle limit.
    std::vector<common::BucketIndex> idle;
    /// No override names another upstream than the open upstream of rosterVersion.
    std::vector<common::BucketIndex> clean;
};

/// State of one service as the planner of its customer knows it.
struct SettleInput
{
    /// Of the newest known roster and settled revision.
    const BucketMap &map;
    const ServiceRoster &roster;
    /// Reports; those of other revisions or rosters are ignored.
    std::vector<IdleEvidence> evidence;
    /// Upstreams that failed without notice.
    std::set<common::UpstreamId> lost;
    /// Upstreams in zones from which nothing is heard.
    std::set<common::UpstreamId> unreachable;
};

/// Computes the next settled table of a service, one revision above that of the map, or nothing
/// when current is up to date or is not the table of the map: a plan from an older map would
/// revert defaults. current is empty before the first table was written.
///
/// - Idle buckets get their open upstream as default.
/// - Buckets whose default is lost, withdrawn or not in the roster get it at once.
/// - A transition ends when default and open upstream are equal and no override differs from them.
/// - Buckets whose default cannot be used are in transition, because opens go elsewhere.
/// - A new roster alone leads to a new table, which accounts for its transitional buckets.
[[nodiscard]] std::optional<SettledTable> planSettled(const SettleInput &input,
                                                      const std::optional<SettledTable> &current);

/// Computes the next settled map of a customer from the current one, or nothing when it is up to
/// date. Services without input leave the map.
[[nodiscard]] std::optional<wire::proto::SettledMap>
planSettledMap(const std::vector<SettleInput> &services, const wire::proto::SettledMap &current);

/// Wire form of a table; the revision belongs to the enclosing map.
[[nodiscard]] wire::proto::SettledService toProto(common::ServiceId service,
                                                  const SettledTable &table);
/// Empty when sizes or indexes do not fit.
[[nodiscard]] std::optional<SettledTable> fromProto(const wire::proto::SettledService &service,
                                                    common::SettledRevision revision);
/// Table of one service in a map; empty when the map does not name it or is malformed.
[[nodiscard]] std::optional<SettledTable> findSettled(const wire::proto::SettledMap &map,
                                                      common::ServiceId service);

} // namespace banyanwall::version
