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
    for (const auto zone : reports.heardZones) {
        silence.add_heard_zones(zone.value());
    }
    return message;
}

connection::SilenceReports decodeSilence(const proto::SilenceReport &report)
{
    return { .upstreams = idsOf<common::UpstreamSerial>(report.upstreams()),
             .recovered = idsOf<common::UpstreamSerial>(report.recovered()),
             .zones = idsOf<common::ZoneId>(report.zones()),
             .heardZones = idsOf<common::ZoneId>(report.heard_zones()) };
}

} // namespace banyanwall::wire
