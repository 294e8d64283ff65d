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

} // namespace

proto::DirectoryMessage encodeSilence(const connection::SilenceReports &reports)
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
    for (const auto &heard : reports.heardZones) {
        auto &entry = *silence.add_heard_zones();
        entry.set_zone(heard.zone.value());
        const auto age = std::chrono::ceil<std::chrono::milliseconds>(heard.age);
        entry.set_age_ms(static_cast<std::uint32_t>(age.count()));
    }
    return message;
}

connection::SilenceReports decodeSilence(const proto::SilenceReport &report)
{
    connection::SilenceReports reports {
        .upstreams = idsOf<common::UpstreamSerial>(report.upstreams()),
        .recovered = idsOf<common::UpstreamSerial>(report.recovered()),
        .zones = idsOf<common::ZoneId>(report.zones()),
    };
    std::ranges::transform(report.heard_zones(), std::back_inserter(reports.heardZones),
                           [](const auto &heard) {
                               return connection::HeardZone {
                                   common::ZoneId(heard.zone()),
                                   std::chrono::milliseconds(heard.age_ms()),
                               };
                           });
    return reports;
}

} // namespace banyanwall::wire
