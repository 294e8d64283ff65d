#include "connection/loadpicture.h"

#include "loadzone.h"

#include <CppUTest/TestHarness.h>

using namespace banyanwall;
using namespace std::chrono_literals;
using connection::LoadReport;
using tests::Bancada;
using tests::LoadZone;

TEST_GROUP(LoadDemand)
{
    LoadZone::Instance single { 3 };
    common::TimePoint now { 100s };

    void advance(common::Duration duration)
    {
        for (const auto end = now + duration; now < end;) {
            now += 100ms;
            single.picture.refresh(now);
        }
    }

    /// Busy slots that an instance knows divided by those that the callers need.
    static double demandRatio(const LoadZone::Options &options)
    {
        LoadZone zone(options, [](std::size_t, std::mt19937_64 &) { return 1.0; });
        zone.run(20s);
        const auto demands = zone.instance(0).picture.demands(zone.now());
        LONGS_EQUAL(1, demands.size());
        CHECK(demands[0].service == Bancada);
        // Requests take 100 ms.
        return demands[0].busySlots
                / (static_cast<double>(options.instances) * options.requestRate * 0.1);
    }
};

TEST(LoadDemand, demandOfTheZoneIsThatOfAllInstances)
{
    DOUBLES_EQUAL(1.0, demandRatio({}), 0.15);
}

// No report of one of 20 instances arrives; it counts as one that has left.
TEST(LoadDemand, silentInstanceChangesLittle)
{
    DOUBLES_EQUAL(1.0, demandRatio({ .silentInstances = 1 }), 0.15);
}

// Half of the reports are lost.
TEST(LoadDemand, demandIsKnownWithLostReports)
{
    DOUBLES_EQUAL(1.0, demandRatio({ .reportLoss = 0.5 }), 0.2);
}

// The store lists instances for 10 minutes after they have left, and their callers' packets go to
// the instances that are left. Demand would count them twice.
TEST(LoadDemand, instancesThatHaveLeftBringNoDemand)
{
    single.picture.setZoneInstances(20);
    LoadReport report;
    report.demands = { { .service = Bancada, .busySlots = 2.0 } };
    const auto run = [&](std::uint64_t instances, int seconds) {
        for (int second = 0; second < seconds; ++second) {
            for (std::uint64_t sender = 1; sender <= instances; ++sender) {
                single.picture.onPeerReport(report, now, sender);
            }
            advance(1s);
        }
    };
    run(19, 10);
    DOUBLES_EQUAL(19 * 2.0, single.picture.demands(now)[0].busySlots, 4.0);
    run(5, 20);
    DOUBLES_EQUAL(5 * 2.0, single.picture.demands(now)[0].busySlots, 2.0);
}

// All reports are lost. An instance with 200 requests a second sees little scatter.
TEST(LoadDemand, withoutReportsDemandIsOwnTimesInstances)
{
    DOUBLES_EQUAL(1.0, demandRatio({ .instances = 5, .requestRate = 200.0, .reportLoss = 1.0 }),
                  0.2);
}

// A rush of 6 s in which requests wait for a slot and take five times as long. The work of requests
// is the same, and so is the usual time; a demand that counts the wait would keep openings refused
// after the rush.
TEST(LoadDemand, waitForASlotIsNoWork)
{
    LoadZone::Options options { .instances = 1, .requestRate = 20.0 };
    LoadZone zone(options, [](std::size_t, std::mt19937_64 &) { return 1.0; });
    zone.run(10s);
    const auto before = zone.instance(0).picture.demands(zone.now())[0].busySlots;
    zone.setCost([](std::size_t, std::mt19937_64 &) { return 5.0; });
    zone.run(6s);
    const auto during = zone.instance(0).picture.demands(zone.now())[0].busySlots;
    CHECK(during < 1.5 * before);
    zone.setCost([](std::size_t, std::mt19937_64 &) { return 1.0; });
    zone.run(2s);
    CHECK(zone.instance(0).picture.demands(zone.now())[0].busySlots < 1.3 * before);
}
