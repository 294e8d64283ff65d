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

std::uint32_t toMilliseconds(common::Duration age)
{
    return static_cast<std::uint32_t>(std::chrono::ceil<std::chrono::milliseconds>(age).count());
}

void encodeFlow(const connection::WaitingFlow &flow, proto::WaitingFlow &entry)
{
    entry.set_upstream(flow.upstream.value());
    entry.set_flow(flow.flow);
}

void encodeRestart(const connection::AssumedRestart &restart, common::TimePoint now,
                   proto::AssumedRestart &entry)
{
    entry.set_upstream(restart.upstream.value());
    entry.set_silent_age_ms(toMilliseconds(now - restart.silentSince));
    entry.set_response_age_ms(toMilliseconds(now - restart.respondedAt));
    entry.set_path_suspected(restart.isPathSuspected);
}

connection::WaitingFlow decodeFlow(const proto::WaitingFlow &entry)
{
    return { common::UpstreamSerial(entry.upstream()), entry.flow() };
}

} // namespace

proto::DirectoryMessage encodePassiveHealth(const connection::PassiveHealthReport &report,
                                            common::TimePoint now)
{
    proto::DirectoryMessage message;
    auto &encoded = *message.mutable_silence();
    for (const auto upstream : report.upstreams) {
        encoded.add_upstreams(upstream.value());
    }
    for (const auto upstream : report.unopened) {
        encoded.add_unopened(upstream.value());
    }
    for (const auto upstream : report.recovered) {
        encoded.add_recovered(upstream.value());
    }
    for (const auto zone : report.zones) {
        encoded.add_zones(zone.value());
    }
    for (const auto &responding : report.respondingZones) {
        auto &entry = *encoded.add_heard_zones();
        entry.set_zone(responding.zone.value());
        entry.set_age_ms(toMilliseconds(responding.age));
    }
    for (const auto &waitingFlow : report.waitingFlows) {
        encodeFlow(waitingFlow, *encoded.add_waiting_flows());
    }
    for (const auto &overdueFlow : report.overdueFlows) {
        encodeFlow(overdueFlow, *encoded.add_overdue_flows());
    }
    for (const auto &responding : report.respondingUpstreams) {
        auto &entry = *encoded.add_heard_upstreams();
        entry.set_upstream(responding.upstream.value());
        entry.set_age_ms(toMilliseconds(responding.age));
    }
    for (const auto &restart : report.assumedRestarts) {
        encodeRestart(restart, now, *encoded.add_assumed_restarts());
    }
    return message;
}

connection::PassiveHealthReport decodePassiveHealth(const proto::SilenceReport &encoded,
                                                    common::TimePoint now)
{
    connection::PassiveHealthReport report {
        .upstreams = idsOf<common::UpstreamSerial>(encoded.upstreams()),
        .unopened = idsOf<common::UpstreamSerial>(encoded.unopened()),
        .recovered = idsOf<common::UpstreamSerial>(encoded.recovered()),
        .zones = idsOf<common::ZoneId>(encoded.zones()),
    };
    std::ranges::transform(encoded.heard_zones(), std::back_inserter(report.respondingZones),
                           [](const auto &responding) {
                               return connection::RespondingZone {
                                   common::ZoneId(responding.zone()),
                                   std::chrono::milliseconds(responding.age_ms()),
                               };
                           });
    std::ranges::transform(encoded.waiting_flows(), std::back_inserter(report.waitingFlows),
                           decodeFlow);
    std::ranges::transform(encoded.overdue_flows(), std::back_inserter(report.overdueFlows),
                           decodeFlow);
    std::ranges::transform(encoded.heard_upstreams(),
                           std::back_inserter(report.respondingUpstreams),
                           [](const auto &responding) {
                               return connection::RespondingUpstream {
                                   common::UpstreamSerial(responding.upstream()),
                                   std::chrono::milliseconds(responding.age_ms()),
                               };
                           });
    std::ranges::transform(encoded.assumed_restarts(), std::back_inserter(report.assumedRestarts),
                           [&](const auto &restart) {
                               return connection::AssumedRestart {
                                   common::UpstreamSerial(restart.upstream()),
                                   now - std::chrono::milliseconds(restart.silent_age_ms()),
                                   now - std::chrono::milliseconds(restart.response_age_ms()),
                                   restart.path_suspected(),
                               };
                           });
    return report;
}

} // namespace banyanwall::wire
