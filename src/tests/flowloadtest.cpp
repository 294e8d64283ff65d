#include "benchmarks/flowload.h"

#include <CppUTest/TestHarness.h>

using namespace banyanwall;
using namespace std::chrono_literals;
using benchmarks::ChoiceKind;
using benchmarks::EvidenceChoice;
using benchmarks::FlowLoad;
using benchmarks::FlowLoadResult;
using benchmarks::FlowLoadSizes;
using benchmarks::RendezvousChoice;

namespace {

constexpr std::uint32_t Seed = 20261204;
// From the first lost packet to the time when other upstreams are chosen: callers repeat a packet
// after 200 ms, and half a second is the target for the verdict.
constexpr common::Duration AvoidedAfter = 700ms;

} // namespace

TEST_GROUP(FlowLoad)
{
    FlowLoadSizes sizes {};

    FlowLoadResult play(const ChoiceKind &kind, const std::function<void(FlowLoad &)> &faults) const
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

    /// Opening packets that three crashed upstreams get once they should be avoided.
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

// Pattern: calm traffic. Evidence must not make it worse than the hash alone.
TEST(FlowLoad, calmTrafficIsServedAsByTheHashAlone)
{
    const auto nothing = [](FlowLoad &) {};
    const auto evidence = play(EvidenceChoice {}, nothing);
    LONGS_EQUAL(0, evidence.failed);
    LONGS_EQUAL(0, evidence.wrongResets);
    CHECK(evidence.goodput() > play(RendezvousChoice {}, nothing).goodput() - 0.005);
}

// Pattern: upstreams crash without a word and stay listed for seconds.
TEST(FlowLoad, crashedUpstreamsAreAvoidedWithinHalfASecond)
{
    CHECK(openingsAfterCrash(EvidenceChoice {}) * 3 <= openingsAfterCrash(RendezvousChoice {}));
}

TEST(FlowLoad, crashFailsFewerThanHalfOfWhatTheHashAloneFails)
{
    const auto evidence = play(EvidenceChoice {}, crashThree);
    CHECK(evidence.failed * 2 < play(RendezvousChoice {}, crashThree).failed);
    LONGS_EQUAL(0, evidence.wrongResets);
}

// Pattern: an upstream goes down and up by turns.
TEST(FlowLoad, flappingUpstreamClosesNoFlowWrongly)
{
    const auto flap = [](FlowLoad &load) {
        for (int turn = 0; turn < 4; ++turn) {
            load.at(3s + turn * 4s, [&load] { load.crash(0); });
            load.at(5s + turn * 4s, [&load] { load.restart(0); });
        }
    };
    const auto evidence = play(EvidenceChoice {}, flap);
    LONGS_EQUAL(0, evidence.wrongResets);
    CHECK(evidence.goodput() >= play(RendezvousChoice {}, flap).goodput());
}

// Pattern: a zone is cut off for six seconds; callers still reach all instances.
TEST(FlowLoad, zoneCutFailsLessThanAFifthOfWhatTheHashAloneFails)
{
    const auto evidence = play(EvidenceChoice {}, cutZone);
    CHECK(evidence.failed * 5 < play(RendezvousChoice {}, cutZone).failed);
    LONGS_EQUAL(0, evidence.wrongResets);
}

// Pattern: all callers reconnect at once, as after a kill of all instances.
TEST(FlowLoad, reconnectOfAllCallersFailsNothing)
{
    const auto reconnect = [](FlowLoad &load) { load.at(5s, [&load] { load.reconnectAll(); }); };
    LONGS_EQUAL(0, play(EvidenceChoice {}, reconnect).failed);
}

// Pattern: many small instances, each of which sees one flow in a hundred, and a mass crash. Some
// instance always hears nothing from a zone for a while; its flows must stay open.
TEST(FlowLoad, massCrashInALargeFleetClosesNoFlowWrongly)
{
    sizes = { .instancesOfAZone = 38,
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
    const auto evidence = play(EvidenceChoice {}, crash);
    LONGS_EQUAL(0, evidence.wrongResets);
    CHECK(evidence.failed * 5 < play(RendezvousChoice {}, crash).failed);
}

// Pattern: upstreams take requests and leave every second one without an answer; nothing is
// repeated, because the packets themselves arrive.
TEST(FlowLoad, upstreamsThatHangGetFewNewFlows)
{
    const auto openingsOfHanging = [this](const ChoiceKind &kind) {
        FlowLoad load(kind, sizes, Seed);
        std::uint64_t before = 0;
        load.at(5s, [&load] {
            load.setMuteEvery(0, 2);
            load.setMuteEvery(1, 2);
        });
        const auto count = [&load] { return load.openings(0) + load.openings(1); };
        load.at(7s, [&] { before = count(); });
        LONGS_EQUAL(0, load.run().wrongResets);
        return count() - before;
    };
    CHECK(openingsOfHanging(EvidenceChoice {}) * 2 < openingsOfHanging(RendezvousChoice {}));
}

// Pattern: the same, seen by instances with one flow in a hundred each.
TEST(FlowLoad, hangingUpstreamsOfALargeFleetFailFewerRequests)
{
    sizes = { .instancesOfAZone = 38,
              .upstreams = 120,
              .slots = 2,
              .feeds = 1'138,
              .submissions = 325.0,
              .duration = 12s };
    const auto hang = [](FlowLoad &load) {
        load.at(3s, [&load] {
            for (int upstream = 0; upstream < 17; ++upstream) {
                load.setMuteEvery(upstream, 2);
            }
        });
    };
    const auto evidence = play(EvidenceChoice {}, hang);
    LONGS_EQUAL(0, evidence.wrongResets);
    CHECK(evidence.failed < play(RendezvousChoice {}, hang).failed);
}

// Pattern: a service near its capacity. Answer times show which upstreams have room.
TEST(FlowLoad, nearlyFullServiceIsServedBetterThanByTheHashAlone)
{
    sizes.upstreams = 6;
    const auto nothing = [](FlowLoad &) {};
    const auto evidence = play(EvidenceChoice {}, nothing);
    CHECK(evidence.goodput() > play(RendezvousChoice {}, nothing).goodput());
    LONGS_EQUAL(0, evidence.wrongResets);
}

// Pattern: more callers than a service can bear. Evidence against all upstreams must not drive
// flows from one to the next.
TEST(FlowLoad, overloadIsNoWorseThanByTheHashAlone)
{
    sizes.upstreams = 5;
    const auto nothing = [](FlowLoad &) {};
    const auto evidence = play(EvidenceChoice {}, nothing);
    const auto hash = play(RendezvousChoice {}, nothing);
    // One in a hundred requests is chance.
    CHECK(evidence.share(evidence.failed) < hash.share(hash.failed) + 0.01);
    CHECK(evidence.goodput() > hash.goodput() - 0.01);
    LONGS_EQUAL(0, evidence.wrongResets);
}
