#include "tests/coordinatorfixture.h"

using namespace banyanwall;
using namespace banyanwall::tests;

TEST_GROUP_BASE(Takeover, CoordinatorFixture) {};

// Guards against a dispatch after the lease ended, when the process was paused between slot request
// and grant, and against a dispatch deadline after the end of the lease.
TEST(Takeover, nonRepeatableRequestsAreNotDispatchedAfterTheLeaseEnds)
{
    coordinator.setPermit({ true, Start + 800ms });
    const auto first = arrival(1, false);
    CHECK_TRUE(grantSlot(coordinator.onRequest(first, moment)).deadline == Start + 800ms);
    const auto slotRequest = single<RequestSlot>(coordinator.onRequest(arrival(2, false), moment));
    CHECK_TRUE(dispatchRequest(3, true).deadline == Start + 5s);
    const auto issuedUnderLease = arrival(4, false);
    advance(900ms);
    const auto actions = coordinator.onSlotAnswer(slotRequest.slot, true, moment);
    checkRefused(actions, Verdict::NotRun, Reason::LeaseLost);
    CHECK_TRUE(single<ReleaseSlot>(actions).outcome == SlotOutcome::Unused);
    checkRefused(coordinator.onRequest(issuedUnderLease, moment), Verdict::NotRun,
                 Reason::LeaseLost);
    CHECK_TRUE(all<RequestSlot>(coordinator.onRequest(arrival(5, true), moment)).size() == 1);
    // The verdict stays although the lease is renewed, because the caller may have acted on it.
    coordinator.setPermit({ true, FarFuture });
    checkRefused(coordinator.onRequest(issuedUnderLease, moment), Verdict::NotRun,
                 Reason::LeaseLost);
}

// Guards against NotRun, or a second run, of a request that a successor has dispatched. The lease
// ended while this process was paused, and a duplicate of the request was only read afterwards.
TEST(Takeover, requestIssuedAfterTheLeaseEndedGetsMayHaveRun)
{
    coordinator.setPermit({ true, Start + 1s });
    CHECK_TRUE(coordinator.onTick(moment).empty());
    advance(2s);
    const auto delayedRequest = arrival(1, false);
    advance(1s);
    checkRefused(coordinator.onRequest(delayedRequest, moment), Verdict::MayHaveRun,
                 Reason::LeaseLost);
    coordinator.setPermit({ true, FarFuture });
    checkRefused(coordinator.onRequest(delayedRequest, moment), Verdict::MayHaveRun,
                 Reason::IssuedBeforeTakeover);
    checkRefused(coordinator.onRequest(arrival(2, false), moment), Verdict::MayHaveRun,
                 Reason::AwaitingTakeover);
    advance(3'100ms);
    dispatchRequest(3, false);
}

// Guards against a missed end of the lease. The process was paused, and the lease ended and was
// renewed before the next event, so that no event saw the instance without a lease.
TEST(Takeover, leaseRenewedBetweenTwoEventsCountsAsTakeover)
{
    coordinator.setPermit({ true, Start + 1s });
    CHECK_TRUE(coordinator.onTick(moment).empty());
    advance(1'500ms);
    const auto delayedRequest = arrival(1, false);
    coordinator.setPermit({ true, FarFuture });
    checkRefused(coordinator.onRequest(delayedRequest, moment), Verdict::MayHaveRun,
                 Reason::AwaitingTakeover);
}

// Guards against a second run by the successor, and against a false NotRun, after a coordinator
// failed. This includes a duplicate that arrives during the fence, and a successor without a permit
// because the store is unreachable.
TEST(Takeover, requestsOfTakenOverKeysGetMayHaveRunUntilTheFenceEnds)
{
    coordinator.setTakeover(Start + 1s, Start + 4s,
                            [](RequestKey key) { return key.value() < 50; });
    coordinator.setPermit({});
    const auto before = arrival(1, false);
    advance(2s);
    checkRefused(coordinator.onRequest(before, moment), Verdict::MayHaveRun,
                 Reason::IssuedBeforeTakeover);
    coordinator.setPermit({ true, FarFuture });
    const auto during = arrival(2, false);
    checkRefused(coordinator.onRequest(during, moment), Verdict::MayHaveRun,
                 Reason::AwaitingTakeover);
    dispatchRequest(60, false);
    advance(2'400ms);
    // The caller's clock may be ahead, so the fence applies for up to 500 ms longer.
    checkRefused(coordinator.onRequest(arrival(3, false), moment), Verdict::MayHaveRun,
                 Reason::AwaitingTakeover);
    advance(200ms);
    checkRefused(coordinator.onRequest(during, moment), Verdict::MayHaveRun,
                 Reason::AwaitingTakeover);
    dispatchRequest(4, false);
}

// Guards against a successor that is granted the slot of its predecessor by the owner, or whose
// dispatch the upstream treats as a duplicate of the predecessor's.
TEST(Takeover, coordinatorsOfOneRequestUseDifferentAttemptNumbers)
{
    Coordinator successor(43);
    successor.applyRoster(roster(4));
    const auto ownRequest = single<RequestSlot>(coordinator.onRequest(arrival(1, true), moment));
    const auto other = single<RequestSlot>(successor.onRequest(arrival(1, true), moment));
    CHECK_TRUE(ownRequest.slot.request == other.slot.request);
    CHECK_TRUE(ownRequest.slot.attempt != other.slot.attempt);
}

// Guards against NotRun for a repeatable request that the former coordinator may have dispatched.
TEST(Takeover, repeatableRequestIssuedBeforeTheFenceEndsRunsButNeverGetsNotRun)
{
    coordinator.setTakeover(Start, Start + 2s);
    const auto request = arrival(1, true);
    advance(100ms);
    LONGS_EQUAL(1, all<RequestSlot>(coordinator.onRequest(request, moment)).size());
    checkRefused(coordinator.onCancel(request.key, moment), Verdict::MayHaveRun, Reason::Cancelled);
    coordinator.beginShutdown();
    checkRefused(coordinator.onRequest(arrival(2, true), moment), Verdict::MayHaveRun,
                 Reason::ShuttingDown);
}

// Guards against NotRun for a repeatable request that a successor may be running: after its key
// moved to another instance, after a pause of this process, and after loss of contact with the
// peers.
TEST(Takeover, repeatableRequestThatASuccessorMayRunNeverGetsNotRun)
{
    single<RequestSlot>(coordinator.onRequest(arrival(1, true), moment));
    single<RequestSlot>(coordinator.onRequest(arrival(2, true), moment));
    single<RequestSlot>(coordinator.onRequest(arrival(3, false), moment));
    coordinator.setKeysLost([](RequestKey key) { return key.value() != 1; });
    checkRefused(coordinator.onCancel(RequestKey(2), moment), Verdict::MayHaveRun,
                 Reason::Cancelled);
    checkRefused(coordinator.onCancel(RequestKey(3), moment), Verdict::NotRun, Reason::Cancelled);
    advance(2'100ms);
    checkRefused(coordinator.onCancel(RequestKey(1), moment), Verdict::MayHaveRun,
                 Reason::Cancelled);
    single<RequestSlot>(coordinator.onRequest(arrival(4, true), moment));
    checkRefused(coordinator.onCancel(RequestKey(4), moment), Verdict::MayHaveRun,
                 Reason::Cancelled);
    advance(1'600ms);
    coordinator.onIsolated(moment.wall);
    CHECK_TRUE(all<RequestSlot>(coordinator.onTick(moment)).empty());
    advance(1'500ms);
    CHECK_TRUE(coordinator.onTick(moment).empty());
    advance(1'600ms);
    single<RequestSlot>(coordinator.onRequest(arrival(5, true), moment));
    checkRefused(coordinator.onCancel(RequestKey(5), moment), Verdict::NotRun, Reason::Cancelled);
}

// Guards against a planned stop that interrupts requests in progress.
TEST(Takeover, shutdownCompletesRequestsInProgress)
{
    const auto running = dispatchRequest(1, false);
    const auto waiting = single<RequestSlot>(coordinator.onRequest(arrival(2, false), moment));
    coordinator.beginShutdown();
    checkRefused(coordinator.onRequest(arrival(3, false), moment), Verdict::NotRun,
                 Reason::ShuttingDown);
    LONGS_EQUAL(2, coordinator.inProgress());
    single<DeliverAnswer>(answer(running.slot));
    single<DispatchRequest>(coordinator.onSlotAnswer(waiting.slot, true, moment));
    single<DeliverAnswer>(answer(waiting.slot));
    LONGS_EQUAL(0, coordinator.inProgress());
}

// Guards against use of a grant that a former upstream owner sent late and the new owner does not
// know.
TEST(Takeover, ownerChangeAbandonsPendingSlotRequests)
{
    const auto slotRequest = single<RequestSlot>(coordinator.onRequest(arrival(1, false), moment));
    const auto actions = coordinator.onOwnerChange(slotRequest.upstream, moment);
    CHECK_TRUE(single<ReleaseSlot>(actions).slot == slotRequest.slot);
    CHECK_TRUE(single<RequestSlot>(actions).slot != slotRequest.slot);
    CHECK_TRUE(
            all<DispatchRequest>(coordinator.onSlotAnswer(slotRequest.slot, true, moment)).empty());
}
