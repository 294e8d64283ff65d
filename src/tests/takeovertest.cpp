#include "tests/coordinatorfixture.h"

using namespace banyanwall;
using namespace banyanwall::tests;

TEST_GROUP_BASE(Takeover, CoordinatorFixture) {};

// Guards against a dispatch after the lease ended while the process was paused between ask and
// grant, and against a dispatch deadline beyond the lease.
TEST(Takeover, nonRepeatableRequestsStayWithinTheLease)
{
    coordinator.setPermit({ true, Start + 800ms });
    const auto first = arrival(1, false);
    CHECK_TRUE(dispatched(coordinator.onRequest(first, moment)).deadline == Start + 800ms);
    const auto ask = only<AskSlot>(coordinator.onRequest(arrival(2, false), moment));
    CHECK_TRUE(start(3, true).deadline == Start + 5s);
    const auto issuedUnderLease = arrival(4, false);
    pass(900ms);
    const auto actions = coordinator.onSlotAnswer(ask.slot, true, moment);
    checkRefused(actions, Verdict::NotRun, Reason::LeaseLost);
    CHECK_TRUE(only<ReleaseSlot>(actions).outcome == SlotOutcome::Unused);
    checkRefused(coordinator.onRequest(issuedUnderLease, moment), Verdict::NotRun,
                 Reason::LeaseLost);
    CHECK_TRUE(all<AskSlot>(coordinator.onRequest(arrival(5, true), moment)).size() == 1);
    // The verdict stays although the lease is back: the caller may have acted on it.
    coordinator.setPermit({ true, Never });
    checkRefused(coordinator.onRequest(issuedUnderLease, moment), Verdict::NotRun,
                 Reason::LeaseLost);
}

// Guards against NotRun, or a second run, of a request that a successor dispatched while this
// process was paused beyond its lease; its copy waited in the socket meanwhile.
TEST(Takeover, requestIssuedAfterTheLeaseEndedMayHaveRunElsewhere)
{
    coordinator.setPermit({ true, Start + 1s });
    CHECK_TRUE(coordinator.onTick(moment).empty());
    pass(2s);
    const auto waited = arrival(1, false);
    pass(1s);
    checkRefused(coordinator.onRequest(waited, moment), Verdict::MayHaveRun, Reason::LeaseLost);
    coordinator.setPermit({ true, Never });
    checkRefused(coordinator.onRequest(waited, moment), Verdict::MayHaveRun,
                 Reason::IssuedBeforeTakeover);
    checkRefused(coordinator.onRequest(arrival(2, false), moment), Verdict::MayHaveRun,
                 Reason::AwaitingTakeover);
    pass(3'100ms);
    start(3, false);
}

// Guards against missing the end of the lease when it is back before the first event after a pause.
TEST(Takeover, leaseThatCameBackBetweenTwoEventsCountsAsTakeover)
{
    coordinator.setPermit({ true, Start + 1s });
    CHECK_TRUE(coordinator.onTick(moment).empty());
    pass(1'500ms);
    const auto waited = arrival(1, false);
    coordinator.setPermit({ true, Never });
    checkRefused(coordinator.onRequest(waited, moment), Verdict::MayHaveRun,
                 Reason::AwaitingTakeover);
}

// Guards against a second run by the successor, and a false NotRun, when a coordinator failed, also
// for a duplicate that arrives during the fence and while the store is down.
TEST(Takeover, takeoverAnswersMayHaveRunForWhatAnotherInstanceMayHaveDispatched)
{
    coordinator.setTakeover(Start + 1s, Start + 4s,
                            [](RequestKey key) { return key.value() < 50; });
    coordinator.setPermit({});
    const auto before = arrival(1, false);
    pass(2s);
    checkRefused(coordinator.onRequest(before, moment), Verdict::MayHaveRun,
                 Reason::IssuedBeforeTakeover);
    coordinator.setPermit({ true, Never });
    const auto during = arrival(2, false);
    checkRefused(coordinator.onRequest(during, moment), Verdict::MayHaveRun,
                 Reason::AwaitingTakeover);
    start(60, false);
    pass(2'400ms);
    // The caller's clock may be ahead of the fence end.
    checkRefused(coordinator.onRequest(arrival(3, false), moment), Verdict::MayHaveRun,
                 Reason::AwaitingTakeover);
    pass(200ms);
    checkRefused(coordinator.onRequest(during, moment), Verdict::MayHaveRun,
                 Reason::AwaitingTakeover);
    start(4, false);
}

// Guards against a successor that shares the slot of its predecessor at the owner, or whose
// dispatch the upstream takes for a copy of the predecessor's.
TEST(Takeover, coordinatorsUseDifferentAttemptNumbers)
{
    Coordinator successor(43);
    successor.applyRoster(roster(4));
    const auto mine = only<AskSlot>(coordinator.onRequest(arrival(1, true), moment));
    const auto other = only<AskSlot>(successor.onRequest(arrival(1, true), moment));
    CHECK_TRUE(mine.slot.request == other.slot.request);
    CHECK_TRUE(mine.slot.attempt != other.slot.attempt);
}

// Guards against NotRun for a repeatable request that the former coordinator may have dispatched.
TEST(Takeover, repeatableRequestAfterTakeoverRunsButIsNeverNotRun)
{
    coordinator.setTakeover(Start, Start + 2s);
    const auto request = arrival(1, true);
    pass(100ms);
    LONGS_EQUAL(1, all<AskSlot>(coordinator.onRequest(request, moment)).size());
    checkRefused(coordinator.onCancel(request.key, moment), Verdict::MayHaveRun, Reason::Cancelled);
    coordinator.beginShutdown();
    checkRefused(coordinator.onRequest(arrival(2, true), moment), Verdict::MayHaveRun,
                 Reason::ShuttingDown);
}

// Guards against NotRun for a repeatable request that a successor runs meanwhile: after a pause of
// this process, without contact to the peers, and after the key moved to another instance.
TEST(Takeover, repeatableRequestThatASuccessorMayRunIsNeverNotRun)
{
    only<AskSlot>(coordinator.onRequest(arrival(1, true), moment));
    only<AskSlot>(coordinator.onRequest(arrival(2, true), moment));
    only<AskSlot>(coordinator.onRequest(arrival(3, false), moment));
    coordinator.setKeysLost([](RequestKey key) { return key.value() != 1; });
    checkRefused(coordinator.onCancel(RequestKey(2), moment), Verdict::MayHaveRun,
                 Reason::Cancelled);
    checkRefused(coordinator.onCancel(RequestKey(3), moment), Verdict::NotRun, Reason::Cancelled);
    pass(2'100ms);
    checkRefused(coordinator.onCancel(RequestKey(1), moment), Verdict::MayHaveRun,
                 Reason::Cancelled);
    only<AskSlot>(coordinator.onRequest(arrival(4, true), moment));
    checkRefused(coordinator.onCancel(RequestKey(4), moment), Verdict::MayHaveRun,
                 Reason::Cancelled);
    pass(1'600ms);
    coordinator.noteIsolation(moment.wall);
    CHECK_TRUE(all<AskSlot>(coordinator.onTick(moment)).empty());
    pass(1'500ms);
    CHECK_TRUE(coordinator.onTick(moment).empty());
    pass(1'600ms);
    only<AskSlot>(coordinator.onRequest(arrival(5, true), moment));
    checkRefused(coordinator.onCancel(RequestKey(5), moment), Verdict::NotRun, Reason::Cancelled);
}

// Guards against a planned stop that cuts requests in progress (P9).
TEST(Takeover, shutdownFinishesWhatIsInProgress)
{
    const auto running = start(1, false);
    const auto waiting = only<AskSlot>(coordinator.onRequest(arrival(2, false), moment));
    coordinator.beginShutdown();
    checkRefused(coordinator.onRequest(arrival(3, false), moment), Verdict::NotRun,
                 Reason::ShuttingDown);
    LONGS_EQUAL(2, coordinator.inProgress());
    only<DeliverAnswer>(answer(running.slot));
    only<DispatchRequest>(coordinator.onSlotAnswer(waiting.slot, true, moment));
    only<DeliverAnswer>(answer(waiting.slot));
    LONGS_EQUAL(0, coordinator.inProgress());
}

// Guards against a grant of a former upstream owner that the new one does not know.
TEST(Takeover, ownerChangeAbandonsPendingAsks)
{
    const auto ask = only<AskSlot>(coordinator.onRequest(arrival(1, false), moment));
    const auto actions = coordinator.onOwnerChange(ask.upstream, moment);
    CHECK_TRUE(only<ReleaseSlot>(actions).slot == ask.slot);
    CHECK_TRUE(only<AskSlot>(actions).slot != ask.slot);
    CHECK_TRUE(all<DispatchRequest>(coordinator.onSlotAnswer(ask.slot, true, moment)).empty());
}
