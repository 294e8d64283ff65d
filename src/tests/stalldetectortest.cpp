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
        CHECK_FALSE(detector.isStale());
    }
}

TEST(StallDetector, firstWakeupIsNoStall)
{
    detector.onWakeup(now);
    CHECK_FALSE(detector.isStale());
}

// Machine frozen for seconds: its socket is full of opening packets of before (soak, seed 405).
TEST(StallDetector, packetsAreStaleUntilTheSocketIsEmpty)
{
    detector.onWakeup(now);
    detector.onWakeup(now + 3s);
    CHECK(detector.isStale());
    detector.onWakeup(now + 3100ms);
    CHECK(detector.isStale());
    detector.onSocketEmpty();
    CHECK_FALSE(detector.isStale());
    detector.onWakeup(now + 3200ms);
    CHECK_FALSE(detector.isStale());
}
