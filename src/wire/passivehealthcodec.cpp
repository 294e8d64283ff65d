#include "wire/passivehealthcodec.h"

#include <algorithm>

namespace banyanwall::wire {

namespace {

template<typename Id>
std::vector<Id> idsOf(const auto &numbers)
{
    std::vector<Id> ids;
    std::ranges::transform(numbers, std::back_inserter(ids),
                           [](auto number) { return Id(number); });
    return ids;
}

std::uint32_t milliseconds(common::Duration age)
{
    return static_cast<std::uint32_t>(std::chrono::ceil<std::chrono::milliseconds>(age).count());
}

void encodeFlow(const connection::WaitingFlow &flow, proto::WaitingFlow &entry)
{
    entry.set_upstream(flow.upstream.value());
    entry.set_flow(flow.flow);
}

connection::WaitingFlow decodeFlow(const proto::WaitingFlow &entry)
{
    return { common::UpstreamSerial(entry.upstream()), entry.flow() };
}

} // namespace

proto::DirectoryMessage encodePassiveHealth(const connection::PassiveHealthReport &reports)
{
    proto::DirectoryMessage message;
    auto &report = *message.mutable_silence();
    for (const auto upstream : reports.upstreams) {
        report.add_upstreams(upstream.value());
    }
    for (const auto upstream : reports.recovered) {
        report.add_recovered(upstream.value());
    }
    for (const auto zone : reports.zones) {
        report.add_zones(zone.value());
    }
    for (const auto &responding : reports.respondingZones) {
        auto &entry = *report.add_heard_zones();
        entry.set_zone(responding.zone.value());
        entry.set_age_ms(milliseconds(responding.age));
    }
    for (const auto &waitingFlow : reports.waitingFlows) {
        encodeFlow(waitingFlow, *report.add_waiting_flows());
    }
    for (const auto &overdueFlow : reports.overdueFlows) {
        encodeFlow(overdueFlow, *report.add_overdue_flows());
    }
    for (const auto &responding : reports.respondingUpstreams) {
        auto &entry = *report.add_heard_upstreams();
        entry.set_upstream(responding.upstream.value());
        entry.set_age_ms(milliseconds(responding.age));
    }
    return message;
}

connection::PassiveHealthReport decodePassiveHealth(const proto::SilenceReport &report)
{
    connection::PassiveHealthReport reports {
        .upstreams = idsOf<common::UpstreamSerial>(report.upstreams()),
        .recovered = idsOf<common::UpstreamSerial>(report.recovered()),
        .zones = idsOf<common::ZoneId>(report.zones()),
    };
    std::ranges::transform(report.heard_zones(), std::back_inserter(reports.respondingZones),
                           [](const auto &responding) {
                               return connection::RespondingZone {
                                   common::ZoneId(responding.zone()),
                                   std::chrono::milliseconds(responding.age_ms()),
                               };
                           });
    std::ranges::transform(report.waiting_flows(), std::back_inserter(reports.waitingFlows),
                           decodeFlow);
    std::ranges::transform(report.overdue_flows(), std::back_inserter(reports.overdueFlows),
                           decodeFlow);
    std::ranges::transform(report.heard_upstreams(),
                           std::back_inserter(reports.respondingUpstreams),
                           [](const auto &responding) {
                               return connection::RespondingUpstream {
                                   common::UpstreamSerial(responding.upstream()),
                                   std::chrono::milliseconds(responding.age_ms()),
                               };
                           });
    return reports;
}

} // namespace banyanwall::wire
