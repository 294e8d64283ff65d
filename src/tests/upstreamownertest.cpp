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

// Guards against an upstream that gets its full load as soon as it has started: the window starts
// at one slot and grows with fast answers.
TEST(UpstreamOwner, windowStartsAtOneAndGrowsByFastAnswers)
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

// Guards against a window that grows because the release message of one answer arrives several
// times.
TEST(UpstreamOwner, repeatedReleaseDoesNotGrowTheWindow)
{
    CHECK_TRUE(owner.acquire(key(1), Hold, now));
    for (int repetition = 0; repetition < 20; ++repetition) {
        owner.release(key(1), SlotOutcome::Answered, UsualLatency, now);
    }
    LONGS_EQUAL(1, owner.window());
}

// Guards against a second slot for one attempt: when the grant message is lost, the coordinator
// requests the slot again.
TEST(UpstreamOwner, repeatedRequestGetsTheSameSlot)
{
    warmUp();
    CHECK_TRUE(owner.acquire(key(1), Hold, now));
    CHECK_TRUE(owner.acquire(key(1), Hold, now));
    LONGS_EQUAL(1, owner.busySlots(now));
    LONGS_EQUAL(2, grantAll(2));
}

// Guards against full load on an upstream that has become cold without a restart. Its health
// endpoint keeps reporting it as healthy, so only the slow answers show it.
TEST(UpstreamOwner, slowAnswersLowerTheWindowDespiteGoodHealthReports)
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

// Guards against a window that grows repeatedly on an upstream that is still cold after its fall on
// slow answers. Growth is slower until the window is full again, but neither after that nor in an
// ordinary start.
TEST(UpstreamOwner, windowGrowsSlowlyAfterAFallOnSlowAnswers)
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

// Guards against further grants to an upstream that has become cold before its first slow answer
// arrives, and against a dead holder whose grant blocks the upstream until its hold time ends.
TEST(UpstreamOwner, overdueGrantsPreventFurtherGrants)
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

// Guards against a new grant when all slots are overdue and the first one is released: the overdue
// grants count as slow answers and lower the window.
TEST(UpstreamOwner, overdueGrantsCountAsSlowAnswers)
{
    warmUp();
    LONGS_EQUAL(3, grantAll(1));
    now += 5 * UsualLatency;
    owner.release(key(1), SlotOutcome::Answered, 5 * UsualLatency, now);
    CHECK_FALSE(owner.acquire(key(20), Hold, now));
    LONGS_EQUAL(1, owner.window());
}

// Guards against a window that grows on answers of two to four times the usual latency, and against
// a fall on single slow answers that do not follow each other.
TEST(UpstreamOwner, moderatelySlowAnswersLeaveTheWindowUnchanged)
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

// Guards against a window that stays up after a shed or timed-out attempt, a new incarnation or a
// bad health report; each of them lowers it at once.
TEST(UpstreamOwner, shedTimeoutRestartAndBadHealthLowerTheWindow)
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

// Guards against a grant above the window when the window falls while all slots are in use.
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

// Guards against slots that stay busy for ever because their holder died, and against a window that
// changes with the expiry of such grants.
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

// Guards against a new owner that grants slots which the previous owner has granted already. The
// new owner grants nothing until the longest request that may hold one has ended.
TEST(UpstreamOwner, newOwnerGrantsNothingBeforeTheLongestRequestEnded)
{
    UpstreamOwner newOwner(3, UsualLatency, LongestRequest, now);
    CHECK_FALSE(newOwner.acquire(key(1), Hold, now + LongestRequest - 1us));
    LONGS_EQUAL(3, newOwner.busySlots(now));
    CHECK_TRUE(newOwner.acquire(key(1), Hold, now + LongestRequest));
}

// Guards against a new owner that keeps waiting although all peers have reported their grants, or
// that grants the reported slots again.
TEST(UpstreamOwner, newOwnerAdoptsReportedGrants)
{
    UpstreamOwner newOwner(3, UsualLatency, LongestRequest, now);
    newOwner.adoptGrants({ key(1) }, Hold, false, now);
    CHECK_FALSE(newOwner.acquire(key(9), Hold, now));
    CHECK_TRUE(newOwner.acquire(key(1), Hold, now));
    newOwner.adoptGrants({ key(1), key(2) }, Hold, true, now);
    LONGS_EQUAL(2, newOwner.busySlots(now));
    CHECK_FALSE(newOwner.acquire(key(9), Hold, now));
    newOwner.release(key(1), SlotOutcome::Answered, UsualLatency, now);
    newOwner.release(key(2), SlotOutcome::Answered, UsualLatency, now);
    CHECK_TRUE(newOwner.acquire(key(9), Hold, now));
    LONGS_EQUAL(1, newOwner.window());
}

// Guards against more connections a second than a cold upstream accepts: the limit is in proportion
// to its window.
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
