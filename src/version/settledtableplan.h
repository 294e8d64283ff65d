#pragma once

#include "common/ids.h"
#include "documents.pb.h"
#include "version/bucketmap.h"
#include "version/roster.h"

#include <optional>
#include <set>
#include <vector>

namespace banyanwall::version {

/// Report of a bucket owner about its transitional buckets, for one settled revision and roster.
struct TransitionReport
{
    common::SettledRevision revision;
    common::RosterVersion rosterVersion;
    /// Buckets of which no packet was forwarded to the default upstream for the idle limit.
    std::vector<common::BucketIndex> idle;
    /// Buckets without an override to another upstream than the open upstream of rosterVersion.
    std::vector<common::BucketIndex> clean;
};

/// State of one service, as known to the instance that plans the settled map of its customer.
struct SettledTableInput
{
    /// Map of the newest known roster and settled revision.
    const BucketMap &map;
    const ServiceRoster &roster;
    /// Reports for other revisions or rosters than those of the map are ignored.
    std::vector<TransitionReport> reports;
    /// Upstreams that failed without notice.
    std::set<common::UpstreamId> lost;
    /// Upstreams in zones from which this instance receives no messages.
    std::set<common::UpstreamId> unreachable;
};

/// Returns the next settled table of a service, one revision above that of the map. Empty if
/// current is up to date, or if current is not the table from which the map was built: a plan from
/// an older map would revert defaults. current is empty before the first table was written.
///
/// - The open upstream becomes the default of buckets that are idle, and at once of buckets whose
///   default is lost, withdrawn or not in the roster.
/// - A bucket is no longer transitional when its default and open upstream are equal and no
///   override names another upstream.
/// - A bucket is transitional while its default cannot be used, because its new flows are opened at
///   another upstream.
/// - A new roster alone leads to a new table, which accounts for the transitional buckets of the
///   roster.
[[nodiscard]] std::optional<SettledTable> planSettled(const SettledTableInput &input,
                                                      const std::optional<SettledTable> &current);

/// Returns the settled map of a customer that follows the current one. Empty if the current one is
/// up to date. Services that are not in services are removed from the map.
[[nodiscard]] std::optional<wire::proto::SettledMap>
planSettledMap(const std::vector<SettledTableInput> &services,
               const wire::proto::SettledMap &current);

/// Returns the form of a table in messages and in the store, without its revision, which the
/// enclosing map holds.
[[nodiscard]] wire::proto::SettledService toProto(common::ServiceId service,
                                                  const SettledTable &table);
/// Empty if a field has the wrong size or a position is out of range.
[[nodiscard]] std::optional<SettledTable> fromProto(const wire::proto::SettledService &service,
                                                    common::SettledRevision revision);
/// Returns the table of one service. Empty if the map does not hold the service or its entry is
/// malformed.
[[nodiscard]] std::optional<SettledTable> findSettled(const wire::proto::SettledMap &map,
                                                      common::ServiceId service);

} // namespace banyanwall::version
