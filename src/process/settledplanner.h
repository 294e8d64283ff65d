#pragma once

#include "connection/flowrouter.h"
#include "process/documentapplier.h"
#include "process/servicedirectory.h"
#include "version/settledtableplan.h"

#include <map>
#include <optional>
#include <vector>

namespace banyanwall::process {

/// Collects the reports of idle buckets and plans the next settled map of a customer from them. A
/// planned map takes effect only after a compare-and-swap write to the store. Not thread-safe; runs
/// on the control thread.
class SettledPlanner
{
public:
    SettledPlanner(const connection::FlowRouter &router, const ServiceDirectory &directory);

    /// Replaces the sender's previous report on the service.
    void onIdleBuckets(common::InstanceId sender, const wire::proto::IdleBuckets &report);
    /// Removes the reports of a departed member.
    void removeReports(common::InstanceId sender);
    /// Next settled map; empty when nothing is to change, when the customer's newest roster is not
    /// in force yet, or when the router's maps do not include that roster and the current settled
    /// map yet.
    [[nodiscard]] std::optional<wire::proto::SettledMap>
    plan(const DocumentApplier::CustomerState &customer,
         const std::vector<common::ZoneId> &unreachableZones) const;

private:
    struct ServiceReports
    {
        std::map<common::InstanceId, version::TransitionReport> bySender;
    };

    [[nodiscard]] std::vector<version::TransitionReport>
    reportsFor(common::ServiceId service) const;

    const connection::FlowRouter &m_router;
    const ServiceDirectory &m_directory;
    std::map<common::ServiceId, ServiceReports> m_reports;
};

} // namespace banyanwall::process
