#include "wire/loadreportcodec.h"

#include <CppUTest/TestHarness.h>

#include <random>

using namespace banyanwall;
using namespace std::chrono_literals;
using connection::LoadReport;

namespace {

LoadReport largestReport(std::size_t upstreams, std::size_t demands)
{
    LoadReport report;
    report.upstreams.assign(upstreams,
                            { common::FlowToken(0xffffffffU), 3.0, connection::MaxReportedAnswers,
                              connection::MaxReportedWork });
    report.demands.assign(demands,
                          { .service = common::ServiceId(0xffffffffU),
                            .zone = common::ZoneId(0xffffffffU),
                            .busySlots = connection::MaxReportedSlots });
    return report;
}

} // namespace

TEST_GROUP(LoadReportCodec) {};

TEST(LoadReportCodec, reportIsUnchangedAfterARoundTrip)
{
    LoadReport report;
    report.upstreams = { { common::FlowToken(7), 1.75, 12, 340ms },
                         { common::FlowToken(8), 1.0, 0, 20ms },
                         { common::FlowToken(9), 0.5, 1, 0ms } };
    report.demands = { { common::ServiceId(1), common::ZoneId(10), 2.125 },
                       { .service = common::ServiceId(2), .busySlots = 0.0 } };
    CHECK(report == wire::decodeLoadReport(wire::encodeLoadReport(report).load()));
}

// The budget of 1 KB/s counts this bound.
TEST(LoadReportCodec, encodedSizeIsWithinTheBound)
{
    for (const std::size_t rows : { 0U, 1U, 7U, 8U, 9U, 60U }) {
        auto report = largestReport(rows, 1);
        CHECK(wire::encodeLoadReport(report).ByteSizeLong() <= report.maxEncodedBytes());
        for (auto &row : report.upstreams) {
            row.workLeft = {};
        }
        report.demands[0].zone = {};
        CHECK(wire::encodeLoadReport(report).ByteSizeLong() <= report.maxEncodedBytes());
    }
}

TEST(LoadReportCodec, rowsWithoutUsableValuesAreLeftOut)
{
    wire::proto::LoadReport encoded;
    encoded.add_upstreams()->set_answers(5);
    encoded.add_upstreams()->set_token(7);
    encoded.add_demands()->set_work_ms_per_s(5);
    CHECK(wire::decodeLoadReport(encoded).isEmpty());
}

// Damaged bytes either fail to parse or give a report of bounded size.
TEST(LoadReportCodec, damagedBytesDoNoHarm)
{
    const auto bytes = wire::encodeLoadReport(largestReport(20, 3)).SerializeAsString();
    std::mt19937 random(7);
    for (int round = 0; round < 20'000; ++round) {
        auto damaged = bytes.substr(0, random() % (bytes.size() + 1));
        for (int change = 0; change < 3 && !damaged.empty(); ++change) {
            damaged[random() % damaged.size()] = static_cast<char>(random());
        }
        wire::proto::DirectoryMessage message;
        if (!message.ParseFromString(damaged) || !message.has_load()) {
            continue;
        }
        const auto report = wire::decodeLoadReport(message.load());
        CHECK(report.upstreams.size() <= 200 && report.demands.size() <= 200);
        for (const auto &row : report.upstreams) {
            CHECK(row.slowness > 0.0 && row.workLeft >= 0ms);
        }
    }
}
