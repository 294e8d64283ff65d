#pragma once

#include "connection/flowrouter.h"
#include "process/documentapplier.h"
#include "process/servicedirectory.h"
#include "version/settleplanner.h"

#include <map>
#include <optional>
#include <vector>

namespace banyanwall::process {

/// Collects the reports of idle buckets and plans the next settled map of a customer with them. The
/// result takes effect only by compare-and-swap in the store. Not thread-safe; runs on the control
/// thread.
class SettledPlanner
{
public:
    SettledPlanner(const connection::FlowRouter &router, const ServiceDirectory &directory);

    /// Replaces the former report of this sender about the service.
    void onIdleBuckets(common::InstanceId sender, const wire::proto::IdleBuckets &report);
    /// Drops the reports of a member that is gone.
    void forget(common::InstanceId sender);
    /// Next settled map; empty when there is nothing to change, or when the roster of the customer
    /// is not in force or not in the router's maps yet.
    [[nodiscard]] std::optional<wire::proto::SettledMap>
    plan(const DocumentApplier::CustomerState &customer,
         const std::vector<common::ZoneId> &silentZones) const;

private:
    struct ServiceReports
    {
        std::map<common::InstanceId, version::TransitionReport> bySender;
    };

    [[nodiscard]] std::vector<version::TransitionReport>
    evidenceOf(common::ServiceId service) const;

    const connection::FlowRouter &m_router;
    const ServiceDirectory &m_directory;
    std::map<common::ServiceId, ServiceReports> m_reports;
};

} // namespace banyanwall::process
