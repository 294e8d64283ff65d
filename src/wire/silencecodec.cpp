#include "wire/silencecodec.h"

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

proto::DirectoryMessage encodeSilence(const connection::PassiveHealthReport &reports)
{
    proto::DirectoryMessage message;
    auto &silence = *message.mutable_silence();
    for (const auto upstream : reports.upstreams) {
        silence.add_upstreams(upstream.value());
    }
    for (const auto upstream : reports.recovered) {
        silence.add_recovered(upstream.value());
    }
    for (const auto zone : reports.zones) {
        silence.add_zones(zone.value());
    }
    for (const auto &heard : reports.respondingZones) {
        auto &entry = *silence.add_heard_zones();
        entry.set_zone(heard.zone.value());
        entry.set_age_ms(milliseconds(heard.age));
    }
    for (const auto &waiting : reports.waitingFlows) {
        encodeFlow(waiting, *silence.add_waiting_flows());
    }
    for (const auto &overdue : reports.overdueFlows) {
        encodeFlow(overdue, *silence.add_overdue_flows());
    }
    for (const auto &heard : reports.respondingUpstreams) {
        auto &entry = *silence.add_heard_upstreams();
        entry.set_upstream(heard.upstream.value());
        entry.set_age_ms(milliseconds(heard.age));
    }
    return message;
}

connection::PassiveHealthReport decodeSilence(const proto::SilenceReport &report)
{
    connection::PassiveHealthReport reports {
        .upstreams = idsOf<common::UpstreamSerial>(report.upstreams()),
        .recovered = idsOf<common::UpstreamSerial>(report.recovered()),
        .zones = idsOf<common::ZoneId>(report.zones()),
    };
    std::ranges::transform(report.heard_zones(), std::back_inserter(reports.respondingZones),
                           [](const auto &heard) {
                               return connection::RespondingZone {
                                   common::ZoneId(heard.zone()),
                                   std::chrono::milliseconds(heard.age_ms()),
                               };
                           });
    std::ranges::transform(report.waiting_flows(), std::back_inserter(reports.waitingFlows),
                           decodeFlow);
    std::ranges::transform(report.overdue_flows(), std::back_inserter(reports.overdueFlows),
                           decodeFlow);
    std::ranges::transform(report.heard_upstreams(),
                           std::back_inserter(reports.respondingUpstreams), [](const auto &heard) {
                               return connection::RespondingUpstream {
                                   common::UpstreamSerial(heard.upstream()),
                                   std::chrono::milliseconds(heard.age_ms()),
                               };
                           });
    return reports;
}

} // namespace banyanwall::wire
