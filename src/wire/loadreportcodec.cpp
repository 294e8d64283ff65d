#include "wire/loadreportcodec.h"

#include <algorithm>
#include <cmath>

namespace banyanwall::wire {

namespace {

constexpr double Percent = 100.0;
constexpr double MillisecondsPerSecond = 1'000.0;
// A report of this many rows does not fit into one datagram.
constexpr std::size_t MaxRows = 200;

std::uint32_t roundedUp(double value)
{
    return static_cast<std::uint32_t>(std::ceil(value));
}

void encode(const connection::ReportedUpstream &row, proto::UpstreamLoad &out)
{
    out.set_token(row.upstream.value());
    if (row.answers > 0) {
        out.set_slowness_percent(static_cast<std::uint32_t>(std::lround(row.slowness * Percent)));
        out.set_answers(row.answers);
    }
    const auto work = std::chrono::round<std::chrono::milliseconds>(row.workLeft);
    out.set_work_left_ms(static_cast<std::uint32_t>(work.count()));
}

connection::ReportedUpstream decode(const proto::UpstreamLoad &in)
{
    const bool hasAnswers = in.answers() > 0 && in.slowness_percent() > 0;
    return { .upstream = common::FlowToken(in.token()),
             .slowness = hasAnswers ? in.slowness_percent() / Percent : 1.0,
             .answers = hasAnswers ? in.answers() : 0,
             .workLeft = std::chrono::milliseconds(in.work_left_ms()) };
}

} // namespace

proto::DirectoryMessage encodeLoadReport(const connection::LoadReport &report)
{
    proto::DirectoryMessage message;
    auto &encoded = *message.mutable_load();
    for (const auto &row : report.upstreams) {
        encode(row, *encoded.add_upstreams());
    }
    for (const auto &row : report.demands) {
        auto &entry = *encoded.add_demands();
        entry.set_service(row.service.value());
        entry.set_zone(row.zone.value());
        entry.set_work_ms_per_s(roundedUp(row.busySlots * MillisecondsPerSecond));
    }
    return message;
}

connection::LoadReport decodeLoadReport(const proto::LoadReport &encoded)
{
    connection::LoadReport report;
    for (const auto &entry : encoded.upstreams()) {
        const auto row = decode(entry);
        const bool isUsable = row.upstream != common::FlowToken()
                && (row.answers > 0 || row.workLeft > common::Duration());
        if (isUsable && report.upstreams.size() < MaxRows) {
            report.upstreams.push_back(row);
        }
    }
    for (const auto &entry : encoded.demands()) {
        if (entry.service() != 0 && report.demands.size() < MaxRows) {
            report.demands.push_back(
                    { .service = common::ServiceId(entry.service()),
                      .zone = common::ZoneId(entry.zone()),
                      .busySlots = entry.work_ms_per_s() / MillisecondsPerSecond });
        }
    }
    return report;
}

} // namespace banyanwall::wire
