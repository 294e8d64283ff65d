#include "request/leaseguard.h"

#include <CppUTest/TestHarness.h>

using namespace banyanwall;
using namespace std::chrono_literals;
using common::TimePoint;
using common::WallTime;
using request::LeaseGuard;
using request::Moment;

namespace {

const TimePoint Begin(100s);
const WallTime BeginWall(1'000'000s);

Moment after(common::Duration passed)
{
    return { Begin + passed,
             BeginWall + std::chrono::duration_cast<std::chrono::milliseconds>(passed) };
}

} // namespace

TEST_GROUP(LeaseGuard)
{
    LeaseGuard guard;

    void setup() override
    {
        guard.onRenewed(Begin);
    }

    bool fencedAfter(common::Duration passed)
    {
        return guard.permit(after(passed)).fenced;
    }
};

// Guards against dispatches without any lease.
TEST(LeaseGuard, noPermitBeforeTheFirstRenewal)
{
    const LeaseGuard fresh;
    CHECK_FALSE(fresh.permit(after(0s)).fenced);
}

// Guards against a holder that was paused and goes on after its lease ended, and against counting
// the lease from the arrival of the answer instead of the send time.
TEST(LeaseGuard, permitEndsWithTheLeaseBySendTime)
{
    CHECK_TRUE(fencedAfter(9'499ms));
    CHECK_FALSE(fencedAfter(9'500ms));
    CHECK_FALSE(fencedAfter(60s));
    CHECK_TRUE(guard.permit(after(3s)).latestDeadline == BeginWall + 9'500ms);
}

// Guards against a lease that is taken as renewed, or shortened, when renewal answers are lost or
// arrive in the wrong order.
TEST(LeaseGuard, lostAndReorderedRenewalAnswersKeepTheLastKnownEnd)
{
    // The answer to a renewal sent after 3 s is lost.
    CHECK_FALSE(fencedAfter(9'500ms));
    guard.onRenewed(Begin + 6s);
    guard.onRenewed(Begin + 3s);
    CHECK_TRUE(fencedAfter(15'499ms));
    CHECK_FALSE(fencedAfter(15'500ms));
}

// Guards against dispatches after the store said that the lease is gone, also when an answer from
// before the loss arrives late, and against a guard that never recovers.
TEST(LeaseGuard, lostLeaseEndsThePermitUntilANewOne)
{
    guard.onLost();
    CHECK_FALSE(fencedAfter(1s));
    guard.onRenewed(Begin);
    CHECK_FALSE(fencedAfter(1s));
    guard.setStoreReachable(false);
    guard.onAcknowledgements(12, 12, Begin);
    CHECK_FALSE(fencedAfter(1s));
    guard.onRenewed(Begin + 2s);
    CHECK_TRUE(fencedAfter(2s));
}

// Guards against a stop of service by a store outage while the members still hear this instance.
TEST(LeaseGuard, storeDownWithMajorityContinues)
{
    guard.setStoreReachable(false);
    guard.onAcknowledgements(7, 12, Begin + 30s);
    CHECK_TRUE(fencedAfter(31s));
    CHECK_TRUE(guard.permit(after(31s)).latestDeadline == BeginWall + 34'500ms);
    // Older than the acknowledgement age, as after a pause.
    CHECK_FALSE(fencedAfter(32'001ms));
}

// Guards against two halves of a partition that both dispatch while the store is down.
TEST(LeaseGuard, storeDownWithoutMajorityStops)
{
    guard.setStoreReachable(false);
    guard.onAcknowledgements(6, 13, Begin + 30s);
    CHECK_FALSE(fencedAfter(30s));
    guard.onAcknowledgements(7, 13, Begin + 30s);
    CHECK_TRUE(fencedAfter(30s));
    // Half of a fleet of fourteen, this instance included, is not a majority.
    guard.onAcknowledgements(6, 13, Begin + 31s);
    CHECK_FALSE(fencedAfter(31s));
}

// Guards against an instance that keeps dispatching by acknowledgements although the store is up
// and has let its lease end.
TEST(LeaseGuard, reachableStoreDecidesAlone)
{
    guard.onAcknowledgements(12, 12, Begin + 30s);
    CHECK_FALSE(fencedAfter(30s));
}

// Guards against dispatch deadlines that shrink to nothing just before the lease ends in a store
// outage.
TEST(LeaseGuard, laterOfBothPromisesCounts)
{
    guard.setStoreReachable(false);
    guard.onAcknowledgements(12, 12, Begin + 9s);
    CHECK_TRUE(guard.permit(after(9'400ms)).latestDeadline == BeginWall + 13'500ms);
    guard.onAcknowledgements(12, 12, Begin + 1s);
    CHECK_TRUE(guard.permit(after(2s)).latestDeadline == BeginWall + 9'500ms);
}
