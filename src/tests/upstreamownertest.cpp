#include "connection/upstreamowner.h"

#include <CppUTest/TestHarness.h>

using namespace banyanwall;
using namespace std::chrono_literals;
using common::Duration;
using common::Incarnation;
using common::TimePoint;
using connection::SlotKey;
using connection::SlotOutcome;
using connection::UpstreamOwner;

namespace {

constexpr Duration UsualLatency = 50ms;
constexpr Duration LongestRequest = 10s;
constexpr Duration Hold = 2s;

SlotKey key(std::uint64_t request, std::uint32_t attempt = 1)
{
    return { common::RequestKey(request), common::AttemptNumber(attempt) };
}

} // namespace

TEST_GROUP(UpstreamOwner)
{
    TimePoint now { 100s };
    UpstreamOwner owner { 3, UsualLatency, LongestRequest, TimePoint(80s) };

    void answer(std::uint64_t first, std::uint64_t count, Duration latency)
    {
        for (auto request = first; request < first + count; ++request) {
            CHECK_TRUE(owner.acquire(key(request), Hold, now));
            owner.release(key(request), SlotOutcome::Answered, latency, now);
        }
    }

    void warmUp()
    {
        answer(1'000, 16, UsualLatency);
        LONGS_EQUAL(3, owner.window());
    }

    std::uint32_t grantAll(std::uint64_t first)
    {
        std::uint32_t granted = 0;
        for (auto request = first; request < first + 10; ++request) {
            granted += owner.acquire(key(request), Hold, now) ? 1 : 0;
        }
        return granted;
    }
};

// Guards against a cold upstream that gets its full load at once (P3).
TEST(UpstreamOwner, windowStartsAtOneAndGrowsByGoodAnswers)
{
    LONGS_EQUAL(1, grantAll(1));
    owner.release(key(1), SlotOutcome::Unused, {}, now);
    answer(20, 7, UsualLatency);
    LONGS_EQUAL(1, owner.window());
    answer(30, 1, UsualLatency);
    LONGS_EQUAL(2, owner.window());
    answer(40, 50, UsualLatency);
    LONGS_EQUAL(3, owner.window());
    LONGS_EQUAL(3, grantAll(200));
}

// Guards against counting one answer twice when its release message arrives twice.
TEST(UpstreamOwner, repeatedReleaseDoesNotGrowTheWindow)
{
    CHECK_TRUE(owner.acquire(key(1), Hold, now));
    for (int copy = 0; copy < 20; ++copy) {
        owner.release(key(1), SlotOutcome::Answered, UsualLatency, now);
    }
    LONGS_EQUAL(1, owner.window());
}

// Guards against a lost grant message that costs a second slot when it is asked for again.
TEST(UpstreamOwner, repeatedAskGetsTheSameSlot)
{
    warmUp();
    CHECK_TRUE(owner.acquire(key(1), Hold, now));
    CHECK_TRUE(owner.acquire(key(1), Hold, now));
    LONGS_EQUAL(1, owner.busySlots(now));
    LONGS_EQUAL(2, grantAll(2));
}

// Guards against full load on an upstream that turned cold without warning, while its health
// endpoint says that all is well.
TEST(UpstreamOwner, coldTurnLowersTheWindowDespiteGoodHealthReports)
{
    warmUp();
    owner.observeHealth(true, 0, now);
    answer(1, 2, 5 * UsualLatency);
    LONGS_EQUAL(3, owner.window());
    owner.observeHealth(true, 0, now);
    answer(3, 1, 5 * UsualLatency);
    LONGS_EQUAL(1, owner.window());
    owner.observeHealth(true, 0, now);
    LONGS_EQUAL(1, owner.window());
    LONGS_EQUAL(1, grantAll(10));
}

// Guards against a window that grows again and again on an upstream that is still cold, and against
// slow growth that outlasts the cold turn or delays an ordinary start.
TEST(UpstreamOwner, windowGrowsSlowlyAfterAColdTurn)
{
    answer(300, 8, 10 * UsualLatency);
    warmUp();
    answer(1, 3, 5 * UsualLatency);
    answer(10, 39, UsualLatency);
    LONGS_EQUAL(1, owner.window());
    answer(50, 1, UsualLatency);
    LONGS_EQUAL(2, owner.window());
    answer(60, 40, UsualLatency);
    LONGS_EQUAL(3, owner.window());
    CHECK_TRUE(owner.acquire(key(200), Hold, now));
    owner.release(key(200), SlotOutcome::Shed, {}, now);
    warmUp();
}

// Guards against grants to an upstream that turned cold, in the time until its first slow answers
// arrive, and against a holder that died and blocks its upstream until its grant ends.
TEST(UpstreamOwner, overdueGrantsHoldBackFurtherOnes)
{
    warmUp();
    CHECK_TRUE(owner.acquire(key(1), Hold, now));
    now += 4 * UsualLatency + UpstreamOwner::GrantTravelTime;
    CHECK_TRUE(owner.acquire(key(2), Hold, now));
    now += 1us;
    CHECK_FALSE(owner.acquire(key(3), Hold, now));
    LONGS_EQUAL(3, owner.window());
    now += 8 * UsualLatency;
    owner.release(key(2), SlotOutcome::Answered, UsualLatency, now);
    LONGS_EQUAL(2, grantAll(10));
}

// Guards against a window that stays open when all slots are overdue and the first one is free
// again.
TEST(UpstreamOwner, overdueGrantsCountAsSlowAnswers)
{
    warmUp();
    LONGS_EQUAL(3, grantAll(1));
    now += 5 * UsualLatency;
    owner.release(key(1), SlotOutcome::Answered, 5 * UsualLatency, now);
    CHECK_FALSE(owner.acquire(key(20), Hold, now));
    LONGS_EQUAL(1, owner.window());
}

// Guards against a window that grows on answers which are slower than usual, and against one slow
// answer that makes an upstream cold.
TEST(UpstreamOwner, middlingAnswersNeitherGrowNorShrink)
{
    answer(1, 40, 3 * UsualLatency);
    LONGS_EQUAL(1, owner.window());
    warmUp();
    for (std::uint64_t request = 100; request < 120; request += 2) {
        answer(request, 1, 5 * UsualLatency);
        answer(request + 1, 1, 3 * UsualLatency);
    }
    LONGS_EQUAL(3, owner.window());
}

// Guards against ignoring each of the signs of overload that lower the window at once.
TEST(UpstreamOwner, shedTimeoutRestartAndBadHealthFallBackToOne)
{
    owner.observeIncarnation(Incarnation(5), now);
    warmUp();
    CHECK_TRUE(owner.acquire(key(1), Hold, now));
    owner.release(key(1), SlotOutcome::Shed, {}, now);
    LONGS_EQUAL(1, owner.window());
    warmUp();
    CHECK_TRUE(owner.acquire(key(2), Hold, now));
    owner.release(key(2), SlotOutcome::TimedOut, Hold, now);
    LONGS_EQUAL(1, owner.window());
    warmUp();
    owner.observeIncarnation(Incarnation(4), now);
    LONGS_EQUAL(3, owner.window());
    owner.observeIncarnation(Incarnation(6), now);
    LONGS_EQUAL(1, owner.window());
    warmUp();
    owner.observeHealth(true, 4, now);
    LONGS_EQUAL(2, owner.window());
    owner.observeHealth(false, 0, now);
    LONGS_EQUAL(1, owner.window());
}

// Guards against more grants than the window after it fell while all slots were in use.
TEST(UpstreamOwner, loweredWindowGrantsNothingUntilEnoughSlotsAreFree)
{
    warmUp();
    LONGS_EQUAL(3, grantAll(1));
    owner.observeHealth(false, 0, now);
    LONGS_EQUAL(0, owner.freeSlots(now));
    owner.release(key(1), SlotOutcome::Answered, UsualLatency, now);
    owner.release(key(2), SlotOutcome::Answered, UsualLatency, now);
    LONGS_EQUAL(0, grantAll(20));
    owner.release(key(3), SlotOutcome::Answered, UsualLatency, now);
    LONGS_EQUAL(1, grantAll(30));
}

// Guards against slots that stay taken for ever when their holder died, and against a window that
// grows over such a loss.
TEST(UpstreamOwner, grantsOfADeadHolderExpire)
{
    warmUp();
    LONGS_EQUAL(3, grantAll(1));
    now += Hold - 1us;
    LONGS_EQUAL(0, grantAll(20));
    now += 1us;
    LONGS_EQUAL(3, grantAll(30));
    LONGS_EQUAL(3, owner.window());
}

// Guards against a new owner that grants slots which its predecessor has granted already.
TEST(UpstreamOwner, newOwnerGrantsNothingBeforeTheLongestRequestEnded)
{
    UpstreamOwner fresh(3, UsualLatency, LongestRequest, now);
    CHECK_FALSE(fresh.acquire(key(1), Hold, now + LongestRequest - 1us));
    LONGS_EQUAL(3, fresh.busySlots(now));
    CHECK_TRUE(fresh.acquire(key(1), Hold, now + LongestRequest));
}

// Guards against a new owner that waits although all peers have reported, or that forgets what they
// reported.
TEST(UpstreamOwner, newOwnerAdoptsReportedGrants)
{
    UpstreamOwner fresh(3, UsualLatency, LongestRequest, now);
    fresh.adoptGrants({ key(1) }, Hold, false, now);
    CHECK_FALSE(fresh.acquire(key(9), Hold, now));
    CHECK_TRUE(fresh.acquire(key(1), Hold, now));
    fresh.adoptGrants({ key(1), key(2) }, Hold, true, now);
    LONGS_EQUAL(2, fresh.busySlots(now));
    CHECK_FALSE(fresh.acquire(key(9), Hold, now));
    fresh.release(key(1), SlotOutcome::Answered, UsualLatency, now);
    fresh.release(key(2), SlotOutcome::Answered, UsualLatency, now);
    CHECK_TRUE(fresh.acquire(key(9), Hold, now));
    LONGS_EQUAL(1, fresh.window());
}

// Guards against a rush of connections on a cold upstream.
TEST(UpstreamOwner, opensOfAColdUpstreamFollowItsWindow)
{
    const auto atOne = owner.opensPerSecond(4'400);
    CHECK_TRUE(atOne.has_value());
    answer(1, 8, UsualLatency);
    const auto atTwo = owner.opensPerSecond(4'400);
    CHECK_TRUE(atTwo.has_value());
    LONGS_EQUAL(4'400 / 30 / 3, atOne.value_or(0));
    LONGS_EQUAL(4'400 * 2 / 30 / 3, atTwo.value_or(0));
    warmUp();
    CHECK_FALSE(owner.opensPerSecond(4'400).has_value());
}
