#include "admissionload.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <vector>

using namespace banyanwall;
using namespace std::chrono_literals;
using tests::AdmissionLoad;

namespace {

// Targets for callers: part of what an oracle could answer within the aim that is answered.
constexpr double MinOfOracle = 0.85;
constexpr double MinWithRoom = 0.98;
constexpr double MinHighPriority = 0.95;
// Largest change of an admitted share in 200 ms.
constexpr double MaxShareStep = 0.1;
// Usual traffic keeps a fifth of the slots busy.
constexpr double UsualLoad = 0.2;

/// Callers with two priorities: the higher one brings two fifths of the work.
const std::vector<AdmissionLoad::Kind> ShortFlows {
    { .priority = 0, .part = 0.4, .work = 39ms, .responseAim = 500ms, .timeBudget = 4s },
    { .priority = 1, .part = 0.6, .work = 30ms, .responseAim = 400ms, .timeBudget = 4s },
};

/// As ShortFlows, with flows that stay open for 20 requests.
std::vector<AdmissionLoad::Kind> longFlows()
{
    auto kinds = ShortFlows;
    for (auto &kind : kinds) {
        kind.requestsPerFlow = 20;
        kind.pause = 900ms;
    }
    return kinds;
}

} // namespace

TEST_GROUP(AdmissionLoad) { static AdmissionLoad fleet(AdmissionLoad::Options options = {}) {
        if (options.kinds.empty()) { options.kinds = ShortFlows;
}
AdmissionLoad load(options);
load.play(3s, UsualLoad);
return load;
}

/// No scheduler answers more than its slots can do.
static double oracle(double load)
{
    return std::min(1.0, 1.0 / load);
}

/// Prints the figures: a bound that is met says little about how far it is met.
static void print(const char *name, double load, const AdmissionLoad &fleet, std::size_t period)
{
    const auto &counts = fleet.counts(period);
    std::printf("\n%s, %.1f times the room: %.3f of the oracle within the aim, high priority "
                "%.3f, low %.3f, %llu tries refused",
                name, load, fleet.goodput(period) / oracle(load), counts.front().inAimShare(),
                counts.back().inAimShare(),
                static_cast<unsigned long long>(fleet.refusals(period)));
}

static void checkOverload(const char *name, const AdmissionLoad::Options &options, double load)
{
    auto callers = fleet(options);
    callers.play(4s, load);
    const auto overload = callers.play(10s, load);
    // The requests of the period are answered or refused for good by then.
    callers.play(2s, UsualLoad);
    const auto after = callers.play(3s, UsualLoad);
    callers.play(4s, UsualLoad);
    print(name, load, callers, overload);
    CHECK(callers.goodput(overload) >= MinOfOracle * oracle(load));
    CHECK(callers.goodput(after) >= MinWithRoom);
    if (load == 1.5) {
        CHECK(callers.counts(overload).front().inAimShare() >= MinHighPriority);
    }
}
}
;

// Load: bursts of 2, 2.5 and 4 times the usual traffic, all within the room. Nothing may be
// refused.
TEST(AdmissionLoad, burstsWithinTheRoomAreAdmitted)
{
    for (const auto times : { 2.0, 2.5, 4.0 }) {
        auto callers = fleet();
        const auto burst = callers.play(8s, times * UsualLoad);
        callers.play(4s, UsualLoad);
        LONGS_EQUAL(0, callers.refusals(burst));
        CHECK(callers.goodput(burst) >= MinWithRoom);
    }
}

// Load: nine tenths of the room.
TEST(AdmissionLoad, nearlyFullServiceKeepsItsAim)
{
    auto callers = fleet();
    const auto busy = callers.play(10s, 0.9);
    callers.play(4s, UsualLoad);
    print("nearly full", 0.9, callers, busy);
    CHECK(callers.goodput(busy) >= MinWithRoom);
}

// Load: 1.2 to 2 times the room; refused callers give up.
TEST(AdmissionLoad, overloadOfCallersThatDoNotReturn)
{
    for (const auto load : { 1.2, 1.5, 2.0 }) {
        checkOverload("no retries", { .retries = 0 }, load);
    }
}

// Load: 1.2 to 2 times the room in a retry storm: refused callers return after 100 ms and 200 ms.
TEST(AdmissionLoad, overloadOfCallersThatReturnAtOnce)
{
    for (const auto load : { 1.2, 1.5, 2.0 }) {
        checkOverload("two quick retries", { .retries = 2 }, load);
    }
}

// Load: a retry storm of callers that back off: they return after 600 ms and 1,200 ms, when their
// aim has passed. Retries must not take the room of callers that can still be answered in time.
TEST(AdmissionLoad, overloadOfCallersThatBackOff)
{
    for (const auto load : { 1.2, 1.5, 2.0 }) {
        checkOverload("two late retries", { .retries = 2, .backoff = 600ms }, load);
    }
}

// Load: quick retries at instances that get 20 requests a second each, so that their own
// observations are few.
TEST(AdmissionLoad, overloadAtManySmallInstances)
{
    for (const auto load : { 1.2, 1.5, 2.0 }) {
        checkOverload("150 instances", { .instances = 150, .retries = 2 }, load);
    }
}

// Load: quick retries while the demand is known with a lag of 2 s, as in large zones whose
// instances seldom report. A share that followed the demand alone would swing.
TEST(AdmissionLoad, overloadWithDemandKnownLate)
{
    for (const auto load : { 1.2, 1.5, 2.0 }) {
        checkOverload("late demand", { .retries = 2, .demandWindow = 3s }, load);
    }
}

// Load: two bursts of 1.5 times the room with 2 s of usual traffic in between. The second one must
// not find the share of the first one, and its high priority must not lose. The demand is known
// with a lag, so that the first 2 s of a burst are printed and not judged.
TEST(AdmissionLoad, secondBurstIsServedLikeTheFirst)
{
    auto callers = fleet();
    for (int burst = 0; burst < 2; ++burst) {
        const auto start = callers.play(2s, 1.5);
        const auto rest = callers.play(4s, 1.5);
        const auto between = callers.play(2s, UsualLoad);
        print("start of a burst", 1.5, callers, start);
        print("rest of it", 1.5, callers, rest);
        std::printf("; 2 s after it %.3f", callers.goodput(between));
        CHECK(callers.goodput(rest) >= MinOfOracle * oracle(1.5));
        CHECK(callers.counts(rest).front().inAimShare() >= MinHighPriority);
    }
}

// Load: a burst beside a withdrawn zone of four. Within the room that is left, nothing is refused;
// beyond it, the room that is left is used.
TEST(AdmissionLoad, burstBesideAWithdrawnZone)
{
    auto callers = fleet();
    for (auto &upstream : callers.upstreams) {
        upstream.isUsable = upstream.zone != 0;
    }
    const auto left = 0.75;
    const auto within = callers.play(6s, 0.8 * left);
    const auto beyond = callers.play(10s, 1.5 * left);
    callers.play(4s, UsualLoad);
    print("withdrawn zone", 1.5, callers, beyond);
    LONGS_EQUAL(0, callers.refusals(within));
    CHECK(callers.goodput(beyond) >= MinOfOracle * oracle(1.5));
    CHECK(callers.counts(beyond).front().inAimShare() >= MinHighPriority);
}

// Load: half of the upstreams take three times as long, and callers bring 1.5 times what is left.
TEST(AdmissionLoad, slowHalfOfTheUpstreams)
{
    auto callers = fleet();
    for (std::size_t number = 0; number < callers.upstreams.size(); number += 2) {
        callers.upstreams[number].slowness = 3.0;
    }
    const auto left = (1.0 + 1.0 / 3) / 2;
    callers.play(4s, 1.5 * left);
    const auto burst = callers.play(10s, 1.5 * left);
    callers.play(4s, UsualLoad);
    print("slow half", 1.5, callers, burst);
    CHECK(callers.goodput(burst) >= MinOfOracle * oracle(1.5));
    CHECK(callers.counts(burst).front().inAimShare() >= MinHighPriority);
}

// Load: 1.5 times the room while no instance hears of the others. Instances without figures refuse
// nothing, and refuse as before once they hear of others again.
TEST(AdmissionLoad, instancesWithoutFiguresRefuseNothing)
{
    auto callers = fleet();
    callers.play(4s, 1.5);
    for (auto &instance : callers.instances) {
        instance.hasFigures = false;
    }
    callers.play(3s, 1.5);
    const auto before = callers.refusedTries();
    callers.play(3s, 1.5);
    LONGS_EQUAL(before, callers.refusedTries());
    for (auto &instance : callers.instances) {
        instance.hasFigures = true;
    }
    callers.play(4s, 1.5);
    const auto seeing = callers.play(6s, 1.5);
    callers.play(4s, UsualLoad);
    print("after figures return", 1.5, callers, seeing);
    CHECK(callers.goodput(seeing) >= MinOfOracle * oracle(1.5));
}

// Load: 1.5 times the room; a tenth of the instances is lost in the middle. The callers come to the
// others, whose shares must stay: the room has not changed.
TEST(AdmissionLoad, lostInstancesDoNotChangeTheShares)
{
    auto callers = fleet();
    callers.play(4s, 1.5);
    const auto before = callers.play(6s, 1.5);
    const auto shareBefore = callers.meanShare;
    callers.instances[3].isRunning = false;
    callers.instances[7].isRunning = false;
    const auto after = callers.play(6s, 1.5);
    const auto shareAfter = callers.meanShare;
    callers.play(4s, UsualLoad);
    print("before the loss", 1.5, callers, before);
    print("after the loss", 1.5, callers, after);
    std::printf("; mean share %.3f and %.3f", shareBefore, shareAfter);
    DOUBLES_EQUAL(shareBefore, shareAfter, MaxShareStep);
    CHECK(callers.goodput(after) >= MinOfOracle * oracle(1.5));
    CHECK(callers.counts(after).front().inAimShare() >= MinHighPriority);
}

// Load: 1.5 times the room by flows that stay open for 20 requests. Open flows cannot be refused;
// the high priority must be admitted although open flows of the low one hold the room.
TEST(AdmissionLoad, highPriorityIsAdmittedBesideOpenFlows)
{
    auto callers = fleet({ .kinds = longFlows() });
    callers.play(20s, 1.5);
    const auto burst = callers.play(10s, 1.5);
    callers.play(4s, UsualLoad);
    std::printf("\nlong flows, 1.5 times the room: high priority %.3f, low %.3f",
                callers.counts(burst).front().inAimShare(),
                callers.counts(burst).back().inAimShare());
    CHECK(callers.counts(burst).front().inAimShare() >= MinHighPriority);
}
