#include "process/settledplanner.h"

#include <algorithm>
#include <iterator>
#include <memory>

namespace banyanwall::process {

namespace {

std::vector<common::BucketIndex>
bucketIndexes(const google::protobuf::RepeatedField<std::uint32_t> &numbers)
{
    std::vector<common::BucketIndex> indexes;
    std::ranges::transform(numbers, std::back_inserter(indexes),
                           [](auto number) { return common::BucketIndex(number); });
    return indexes;
}

} // namespace

SettledPlanner::SettledPlanner(const connection::FlowRouter &router,
                               const ServiceDirectory &directory)
    : m_router(router)
    , m_directory(directory)
{ }

void SettledPlanner::onIdleBuckets(common::InstanceId sender,
                                   const wire::proto::IdleBuckets &report)
{
    m_reports[common::ServiceId(report.service())].bySender[sender] = {
        common::SettledRevision(report.settled_revision()),
        common::RosterVersion(report.roster_version()), bucketIndexes(report.buckets()),
        bucketIndexes(report.clean())
    };
}

void SettledPlanner::removeReports(common::InstanceId sender)
{
    for (auto &[service, reports] : m_reports) {
        reports.bySender.erase(sender);
    }
}

std::optional<wire::proto::SettledMap>
SettledPlanner::plan(const DocumentApplier::CustomerState &customer,
                     const std::vector<common::ZoneId> &unreachableZones) const
{
    if (customer.inForce != customer.rosterVersion
        || customer.rosterVersion == common::RosterVersion()) {
        return std::nullopt;
    }
    const auto view = m_directory.view();
    std::vector<std::shared_ptr<const version::BucketMap>> maps;
    std::vector<version::SettledTableInput> inputs;
    for (const auto service : customer.services) {
        const auto map = m_router.map(service);
        const auto known = version::findSettled(customer.settled, service);
        if (map == nullptr || map->rosterVersion() != customer.rosterVersion
            || (known && map->settledRevision() != known->revision)) {
            return std::nullopt;
        }
        version::SettledTableInput input {
            *map, *view->services.at(service), reportsFor(service), {}, {}
        };
        for (const auto &upstream : input.roster.upstreams) {
            if (view->upstreams.at(upstream.id).isLost) {
                input.lost.insert(upstream.id);
            }
            if (std::ranges::find(unreachableZones, upstream.zone) != unreachableZones.end()) {
                input.unreachable.insert(upstream.id);
            }
        }
        maps.push_back(map);
        inputs.push_back(std::move(input));
    }
    return version::planSettledMap(inputs, customer.settled);
}

std::vector<version::TransitionReport> SettledPlanner::reportsFor(common::ServiceId service) const
{
    std::vector<version::TransitionReport> transitionReports;
    const auto reports = m_reports.find(service);
    if (reports != m_reports.end()) {
        std::ranges::transform(reports->second.bySender, std::back_inserter(transitionReports),
                               [](const auto &report) { return report.second; });
    }
    return transitionReports;
}

} // namespace banyanwall::process
