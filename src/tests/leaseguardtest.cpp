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

Moment after(common::Duration elapsed)
{
    return { Begin + elapsed,
             BeginWall + std::chrono::duration_cast<std::chrono::milliseconds>(elapsed) };
}

} // namespace

TEST_GROUP(LeaseGuard)
{
    LeaseGuard guard;

    void setup() override
    {
        guard.onRenewed(Begin);
    }

    bool mayDispatchAfter(common::Duration elapsed)
    {
        return guard.permit(after(elapsed)).mayDispatchNonRepeatable;
    }
};

// Guards against dispatches by an instance that has never obtained a lease.
TEST(LeaseGuard, noPermitBeforeTheFirstRenewal)
{
    const LeaseGuard fresh;
    CHECK_FALSE(fresh.permit(after(0s)).mayDispatchNonRepeatable);
}

// Guards against an instance that dispatches after its lease ended, as after a pause, and against a
// lease term that is counted from the arrival of the response instead of the send time of the
// renewal.
TEST(LeaseGuard, permitEndsALeaseTermAfterTheRenewalWasSent)
{
    CHECK_TRUE(mayDispatchAfter(9'499ms));
    CHECK_FALSE(mayDispatchAfter(9'500ms));
    CHECK_FALSE(mayDispatchAfter(60s));
    CHECK_TRUE(guard.permit(after(3s)).latestDeadline == BeginWall + 9'500ms);
}

// Guards against a wrong lease end when renewal responses are lost or arrive in the wrong order.
TEST(LeaseGuard, lostAndReorderedRenewalResponsesKeepTheLatestKnownEnd)
{
    // The response to a renewal sent after 3 s is lost.
    CHECK_FALSE(mayDispatchAfter(9'500ms));
    guard.onRenewed(Begin + 6s);
    guard.onRenewed(Begin + 3s);
    CHECK_TRUE(mayDispatchAfter(15'499ms));
    CHECK_FALSE(mayDispatchAfter(15'500ms));
}

// Guards against dispatches after the store reported that the lease has expired, also when a
// response from before the loss arrives late, and against a guard that never grants a permit again.
TEST(LeaseGuard, lostLeaseEndsThePermitUntilTheNextRenewal)
{
    guard.onLost();
    CHECK_FALSE(mayDispatchAfter(1s));
    guard.onRenewed(Begin);
    CHECK_FALSE(mayDispatchAfter(1s));
    guard.setStoreReachable(false);
    guard.onAcknowledgements(12, 12, Begin);
    CHECK_FALSE(mayDispatchAfter(1s));
    guard.onRenewed(Begin + 2s);
    CHECK_TRUE(mayDispatchAfter(2s));
}

// Guards against an instance that stops dispatching in a store outage although most members receive
// its heartbeats.
TEST(LeaseGuard, majorityExtendsThePermitDuringAStoreOutage)
{
    guard.setStoreReachable(false);
    guard.onAcknowledgements(7, 12, Begin + 30s);
    CHECK_TRUE(mayDispatchAfter(31s));
    CHECK_TRUE(guard.permit(after(31s)).latestDeadline == BeginWall + 34'500ms);
    // The acknowledgements are older than MaxAcknowledgementAge, as after a pause.
    CHECK_FALSE(mayDispatchAfter(32'001ms));
}

// Guards against both halves of a partition dispatching while the store is unreachable.
TEST(LeaseGuard, permitEndsDuringAStoreOutageWithoutAMajority)
{
    guard.setStoreReachable(false);
    guard.onAcknowledgements(6, 13, Begin + 30s);
    CHECK_FALSE(mayDispatchAfter(30s));
    guard.onAcknowledgements(7, 13, Begin + 30s);
    CHECK_TRUE(mayDispatchAfter(30s));
    // Seven of fourteen members, this instance included, are not a majority.
    guard.onAcknowledgements(6, 13, Begin + 31s);
    CHECK_FALSE(mayDispatchAfter(31s));
}

// Guards against an instance that continues to dispatch because of acknowledgements although the
// store is reachable and its lease has ended.
TEST(LeaseGuard, majorityDoesNotExtendThePermitWhileTheStoreIsReachable)
{
    guard.onAcknowledgements(12, 12, Begin + 30s);
    CHECK_FALSE(mayDispatchAfter(30s));
}

// Guards against dispatch deadlines that become too short in a store outage shortly before the
// lease ends. The later end of lease and acknowledgements must apply.
TEST(LeaseGuard, permitLastsUntilTheLaterEndOfLeaseAndAcknowledgements)
{
    guard.setStoreReachable(false);
    guard.onAcknowledgements(12, 12, Begin + 9s);
    CHECK_TRUE(guard.permit(after(9'400ms)).latestDeadline == BeginWall + 13'500ms);
    guard.onAcknowledgements(12, 12, Begin + 1s);
    CHECK_TRUE(guard.permit(after(2s)).latestDeadline == BeginWall + 9'500ms);
}
