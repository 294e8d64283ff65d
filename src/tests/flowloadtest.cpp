// Compares the daemon's packet path (passive health checks) with rendezvous hashing alone, in a
// simulation of callers, instances and upstreams of one service. The tests guard against health
// checks that serve callers worse than no health checks, or that reset flows of running upstreams.
#include "benchmarks/flowload.h"

#include <CppUTest/TestHarness.h>

using namespace banyanwall;
using namespace std::chrono_literals;
using benchmarks::ChoiceKind;
using benchmarks::FlowLoad;
using benchmarks::FlowLoadResult;
using benchmarks::FlowLoadSizes;
using benchmarks::PassiveHealthChoice;
using benchmarks::RendezvousChoice;

namespace {

constexpr std::uint32_t Seed = 20261204;
// From the first lost packet until new flows avoid the upstream: callers retransmit a packet after
// 200 ms, and instances must suspect the upstream within half a second of that.
constexpr common::Duration AvoidedAfter = 700ms;

} // namespace

TEST_GROUP(FlowLoad)
{
    FlowLoadSizes sizes {};

    FlowLoadResult runLoad(const ChoiceKind &kind, const std::function<void(FlowLoad &)> &faults)
            const
    {
        FlowLoad load(kind, sizes, Seed);
        faults(load);
        return load.run();
    }

    static void crashThree(FlowLoad & load)
    {
        load.at(5s, [&load] {
            for (int upstream = 0; upstream < 3; ++upstream) {
                load.crash(upstream);
            }
        });
    }

    static void cutZone(FlowLoad & load)
    {
        load.at(5s, [&load] { load.cutZone(1, true); });
        load.at(11s, [&load] { load.cutZone(1, false); });
    }

    /// Opening packets that three crashed upstreams still get between the time when they should be
    /// avoided and 2.5 s after the crash, just before their directory entries are removed.
    static std::uint64_t openingsAfterCrash(const ChoiceKind &kind)
    {
        FlowLoad load(kind, {}, Seed);
        crashThree(load);
        std::uint64_t before = 0;
        std::uint64_t after = 0;
        const auto count = [&load] {
            return load.openings(0) + load.openings(1) + load.openings(2);
        };
        load.at(5s + AvoidedAfter, [&] { before = count(); });
        load.at(7s + 500ms, [&] { after = count(); });
        static_cast<void>(load.run());
        return after - before;
    }
};

// Without a fault, false suspicions would move flows away from good upstreams or reset them.
// Goodput may be lower than that of hashing by at most half a percent of the requests.
TEST(FlowLoad, faultFreeTrafficIsServedAsWellAsByHashing)
{
    const auto noFaults = [](FlowLoad &) {};
    const auto withHealthChecks = runLoad(PassiveHealthChoice {}, noFaults);
    LONGS_EQUAL(0, withHealthChecks.failed);
    LONGS_EQUAL(0, withHealthChecks.wrongResets);
    CHECK(withHealthChecks.goodput() > runLoad(RendezvousChoice {}, noFaults).goodput() - 0.005);
}

// Three upstreams crash without notice and stay in the directory for 2.6 s. Instances that wait for
// the directory keep opening flows to them.
TEST(FlowLoad, crashedUpstreamsGetFewNewFlowsBeforeTheirEntriesAreRemoved)
{
    CHECK(openingsAfterCrash(PassiveHealthChoice {}) * 3
          <= openingsAfterCrash(RendezvousChoice {}));
}

// Requests to crashed upstreams fail when the caller spends all its retries on them.
TEST(FlowLoad, crashFailsLessThanHalfOfTheRequestsThatFailWithHashing)
{
    const auto withHealthChecks = runLoad(PassiveHealthChoice {}, crashThree);
    CHECK(withHealthChecks.failed * 2 < runLoad(RendezvousChoice {}, crashThree).failed);
    LONGS_EQUAL(0, withHealthChecks.wrongResets);
}

// An upstream crashes for 2 s and restarts, four times. A suspicion from the last crash that
// outlives the restart would reset flows of the running upstream.
TEST(FlowLoad, flappingUpstreamCausesNoWrongResets)
{
    const auto flap = [](FlowLoad &load) {
        for (int turn = 0; turn < 4; ++turn) {
            load.at(3s + turn * 4s, [&load] { load.crash(0); });
            load.at(5s + turn * 4s, [&load] { load.restart(0); });
        }
    };
    const auto withHealthChecks = runLoad(PassiveHealthChoice {}, flap);
    LONGS_EQUAL(0, withHealthChecks.wrongResets);
    CHECK(withHealthChecks.goodput() >= runLoad(RendezvousChoice {}, flap).goodput());
}

// A zone is cut off from the others for six seconds while callers still reach all instances.
// Instances that keep choosing upstreams across the cut fail those requests.
TEST(FlowLoad, zoneCutFailsLessThanAFifthOfTheRequestsThatFailWithHashing)
{
    const auto withHealthChecks = runLoad(PassiveHealthChoice {}, cutZone);
    CHECK(withHealthChecks.failed * 5 < runLoad(RendezvousChoice {}, cutZone).failed);
    LONGS_EQUAL(0, withHealthChecks.wrongResets);
}

// All feeds lose their flows at the same time, as after all instances were killed, and open new
// ones. Openings that all go to few upstreams would fill their queues.
TEST(FlowLoad, reconnectOfAllCallersFailsNoRequests)
{
    const auto reconnect = [](FlowLoad &load) { load.at(5s, [&load] { load.reconnectAll(); }); };
    LONGS_EQUAL(0, runLoad(PassiveHealthChoice {}, reconnect).failed);
}

// 30 of 120 upstreams crash in a fleet of 114 instances, each of which sees about one flow in a
// hundred. By chance, some instance then gets no response from any upstream of a zone for a while.
// An instance that concludes from this that the zone is unreachable resets flows of running
// upstreams.
TEST(FlowLoad, massCrashInALargeFleetCausesNoWrongResets)
{
    sizes = { .instancesPerZone = 38,
              .upstreams = 120,
              .slots = 2,
              .feeds = 1'138,
              .submissions = 325.0,
              .duration = 12s };
    const auto crash = [](FlowLoad &load) {
        load.at(3s, [&load] {
            for (int upstream = 0; upstream < 30; ++upstream) {
                load.crash(upstream);
            }
        });
    };
    const auto withHealthChecks = runLoad(PassiveHealthChoice {}, crash);
    LONGS_EQUAL(0, withHealthChecks.wrongResets);
    CHECK(withHealthChecks.failed * 5 < runLoad(RendezvousChoice {}, crash).failed);
}

// Two upstreams acknowledge all requests and leave every second one without an answer. The callers
// see no lost packet, so there are no retransmissions that could show the fault.
TEST(FlowLoad, upstreamsThatLeaveRequestsUnansweredGetFewNewFlows)
{
    const auto openingsAfterFault = [this](const ChoiceKind &kind) {
        FlowLoad load(kind, sizes, Seed);
        std::uint64_t before = 0;
        load.at(5s, [&load] {
            load.dropAnswerEvery(0, 2);
            load.dropAnswerEvery(1, 2);
        });
        const auto count = [&load] { return load.openings(0) + load.openings(1); };
        load.at(7s, [&] { before = count(); });
        LONGS_EQUAL(0, load.run().wrongResets);
        return count() - before;
    };
    CHECK(openingsAfterFault(PassiveHealthChoice {}) * 2 < openingsAfterFault(RendezvousChoice {}));
}

// 17 of 120 upstreams leave every second request unanswered in a fleet of 114 instances. Each
// instance sees about one flow in a hundred, too few requests per upstream to detect the fault
// alone.
TEST(FlowLoad, unansweredRequestsInALargeFleetFailFewerRequestsThanWithHashing)
{
    sizes = { .instancesPerZone = 38,
              .upstreams = 120,
              .slots = 2,
              .feeds = 1'138,
              .submissions = 325.0,
              .duration = 12s };
    const auto leaveUnanswered = [](FlowLoad &load) {
        load.at(3s, [&load] {
            for (int upstream = 0; upstream < 17; ++upstream) {
                load.dropAnswerEvery(upstream, 2);
            }
        });
    };
    const auto withHealthChecks = runLoad(PassiveHealthChoice {}, leaveUnanswered);
    LONGS_EQUAL(0, withHealthChecks.wrongResets);
    CHECK(withHealthChecks.failed < runLoad(RendezvousChoice {}, leaveUnanswered).failed);
}

// Six upstreams are just enough for the load. Hashing overloads some of them by chance; answer
// times show which upstreams have free slots.
TEST(FlowLoad, nearlyFullServiceIsServedBetterThanByHashing)
{
    sizes.upstreams = 6;
    const auto noFaults = [](FlowLoad &) {};
    const auto withHealthChecks = runLoad(PassiveHealthChoice {}, noFaults);
    CHECK(withHealthChecks.goodput() > runLoad(RendezvousChoice {}, noFaults).goodput());
    LONGS_EQUAL(0, withHealthChecks.wrongResets);
}

// Five upstreams are too few for the load, so that all of them answer late or not at all. Instances
// that then suspect every upstream in turn would move flows from one to the next without gain.
TEST(FlowLoad, overloadIsServedNoWorseThanByHashing)
{
    sizes.upstreams = 5;
    const auto noFaults = [](FlowLoad &) {};
    const auto withHealthChecks = runLoad(PassiveHealthChoice {}, noFaults);
    const auto withHashing = runLoad(RendezvousChoice {}, noFaults);
    // Differences of up to one request in a hundred are chance.
    CHECK(withHealthChecks.share(withHealthChecks.failed)
          < withHashing.share(withHashing.failed) + 0.01);
    CHECK(withHealthChecks.goodput() > withHashing.goodput() - 0.01);
    LONGS_EQUAL(0, withHealthChecks.wrongResets);
}

// Long flows that stay in their zone survive the cut of another zone; by hash, two thirds of them
// cross zones.
TEST(FlowLoad, flowsOfTheOwnZoneSurviveTheCutOfAnother)
{
    const auto lost = [](const FlowLoadResult &result) {
        return result.share(result.late + result.failed);
    };
    const auto byLoad = runLoad(benchmarks::LoadChoice {}, cutZone);
    CHECK(lost(byLoad) * 4 < lost(runLoad(PassiveHealthChoice {}, cutZone)));
    LONGS_EQUAL(0, byLoad.wrongResets);
}
