#include "process/stalldetector.h"

#include <CppUTest/TestHarness.h>

using namespace banyanwall;
using namespace std::chrono_literals;

TEST_GROUP(StallDetector)
{
    process::StallDetector detector;
    common::TimePoint now { 100s };
};

TEST(StallDetector, frequentWakeupsAreNoStall)
{
    for (int wakeup = 0; wakeup < 50; ++wakeup) {
        detector.onWakeup(now + wakeup * 100ms);
        CHECK_FALSE(detector.hasStalePackets());
    }
}

TEST(StallDetector, firstWakeupIsNoStall)
{
    detector.onWakeup(now);
    CHECK_FALSE(detector.hasStalePackets());
}

// After a machine was frozen for seconds, its socket is full of opening packets from before, whose
// callers no longer wait for an answer to them (soak test, seed 405).
TEST(StallDetector, packetsAreStaleUntilTheSocketIsEmpty)
{
    detector.onWakeup(now);
    detector.onWakeup(now + 3s);
    CHECK(detector.hasStalePackets());
    detector.onWakeup(now + 3100ms);
    CHECK(detector.hasStalePackets());
    detector.onSocketEmpty();
    CHECK_FALSE(detector.hasStalePackets());
    detector.onWakeup(now + 3200ms);
    CHECK_FALSE(detector.hasStalePackets());
}
