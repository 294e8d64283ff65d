#include "tests/coordinatorfixture.h"

using namespace banyanwall;
using namespace banyanwall::tests;

TEST_GROUP_BASE(Coordinator, CoordinatorFixture) {};

// Guards against truncated, mixed or repeated answers when fragments arrive late, out of order and
// twice.
TEST(Coordinator, deliversTheWholeAnswerOnce)
{
    const auto dispatch = dispatchRequest(1, false);
    for (const auto index : { 2U, 0U, 2U }) {
        const auto actions =
                coordinator.onAnswer(fragmentOf(dispatch.slot, "one two three", index, 3), moment);
        CHECK_TRUE(all<DeliverAnswer>(actions).empty());
    }
    advance(30ms);
    const auto actions =
            coordinator.onAnswer(fragmentOf(dispatch.slot, "one two three", 1, 3), moment);
    STRCMP_EQUAL("one two three", single<DeliverAnswer>(actions).payload.c_str());
    const auto release = single<ReleaseSlot>(actions);
    CHECK_TRUE(release.outcome == SlotOutcome::Answered);
    CHECK_TRUE(release.latency == 30ms);
    LONGS_EQUAL(0, coordinator.inProgress());
    CHECK_TRUE(single<CountDrop>(answer(dispatch.slot)).reason == Reason::StaleAttempt);
}

// Guards against a second run of a non-repeatable request by its duplicates: while it runs, after
// its answer, after the stored answer was dropped for lack of memory, and after its marker was
// removed.
TEST(Coordinator, duplicateGetsTheStoredAnswerAndIsNotDispatched)
{
    const auto request = arrival(1, false);
    const auto dispatch = grantSlot(coordinator.onRequest(request, moment));
    CHECK_TRUE(coordinator.onRequest(request, moment).empty());
    answer(dispatch.slot);
    STRCMP_EQUAL("answer",
                 single<DeliverAnswer>(coordinator.onRequest(request, moment)).payload.c_str());

    const std::string large(1U << 20U, 'x');
    for (std::uint64_t id = 10; id < 20; ++id) {
        answer(dispatchRequest(id, true).slot, large);
    }
    checkRefused(coordinator.onRequest(request, moment), Verdict::MayHaveRun,
                 Reason::AnswerDropped);
    tickAfter(9s);
    CHECK_TRUE(all<RequestSlot>(coordinator.onRequest(request, moment)).empty());
    tickAfter(2s);
    LONGS_EQUAL(0, coordinator.finishedCount());
    checkRefused(coordinator.onRequest(request, moment), Verdict::MayHaveRun,
                 Reason::DeadlineExceeded);
}

// Guards against a verdict of NotRun for a request that may have run, and against a retry of it.
// The answer is lost, and the upstream's refusal arrives after the caller has its verdict.
TEST(Coordinator, lostAnswerOfNonRepeatableRequestIsMayHaveRun)
{
    earnRetries(3);
    const auto dispatch = dispatchRequest(1, false);
    CHECK_TRUE(tickAfter(4'900ms).empty());
    const auto actions = tickAfter(200ms);
    checkRefused(actions, Verdict::MayHaveRun, Reason::UpstreamTimeout);
    LONGS_EQUAL(1, all<CancelDispatch>(actions).size());
    // The upstream may still be running the request, so its slot stays held.
    CHECK_TRUE(all<ReleaseSlot>(actions).empty());
    LONGS_EQUAL(1, coordinator.heldSlots(dispatch.upstream).size());

    const auto late = coordinator.onRefusal(dispatch.slot, DispatchRefusal::Shed, moment);
    CHECK_TRUE(single<ReleaseSlot>(late).outcome == SlotOutcome::Shed);
    CHECK_TRUE(all<RequestSlot>(late).empty());
    LONGS_EQUAL(0, coordinator.heldSlots(dispatch.upstream).size());
}

// Guards against slots that are never released because the upstream neither answers nor refuses.
TEST(Coordinator, slotOfUnresponsiveUpstreamTimesOut)
{
    dispatchRequest(1, false);
    tickAfter(5'000ms);
    // The slot is held for twelve usual latencies after the deadline, because a cold upstream may
    // still be running the request.
    CHECK_TRUE(tickAfter(599ms).empty());
    CHECK_TRUE(single<ReleaseSlot>(tickAfter(1ms)).outcome == SlotOutcome::TimedOut);
}

// Guards against giving up after the first refusal of an upstream, and against a verdict of
// MayHaveRun when every upstream has refused. Retries must go to other upstreams until the limit
// per request.
TEST(Coordinator, refusalIsRetriedOnOtherUpstreamsAndEndsAsNotRun)
{
    earnRetries(3);
    auto dispatch = dispatchRequest(1, false);
    std::vector<UpstreamId> used;
    for (int retries = 0; retries < 2; ++retries) {
        used.push_back(dispatch.upstream);
        const auto actions =
                coordinator.onRefusal(dispatch.slot, DispatchRefusal::Draining, moment);
        CHECK_TRUE(single<CountRetry>(actions).reason == Reason::UpstreamDraining);
        dispatch = grantSlot(actions);
        CHECK_TRUE(std::ranges::find(used, dispatch.upstream) == used.end());
    }
    checkRefused(coordinator.onRefusal(dispatch.slot, DispatchRefusal::Shed, moment),
                 Verdict::NotRun, Reason::RetryBudgetExhausted);
    CHECK_TRUE(all<RequestSlot>(coordinator.onRequest(arrival(1, false), moment)).empty());
}

// Guards against a second slot request, and a slot that is never released, when a refusal arrives
// while the retry of the same request already waits for a slot.
TEST(Coordinator, lateRefusalDoesNotStartASecondRetry)
{
    earnRetries(3);
    const auto first = dispatchRequest(1, true);
    const auto slotRequest = single<RequestSlot>(tickAfter(500ms));
    const auto late = coordinator.onRefusal(first.slot, DispatchRefusal::Shed, moment);
    CHECK_TRUE(all<RequestSlot>(late).empty());
    CHECK_TRUE(all<CountRetry>(late).empty());
    single<DispatchRequest>(coordinator.onSlotAnswer(slotRequest.slot, true, moment));
    single<DeliverAnswer>(answer(slotRequest.slot));
}

// Guards against mixing the answers of two attempts, and against a slot that is never released when
// the other attempt has answered first.
TEST(Coordinator, firstCompleteAnswerIsDeliveredAndTheOtherAttemptCancelled)
{
    earnRetries(1);
    const auto first = dispatchRequest(1, true);
    CHECK_TRUE(coordinator.onAnswer(fragmentOf(first.slot, "first answer", 0, 2), moment).empty());
    const auto second = grantSlot(tickAfter(500ms));
    CHECK_TRUE(first.upstream != second.upstream);
    CHECK_TRUE(coordinator.onAnswer(fragmentOf(second.slot, "other answer", 1, 2), moment).empty());
    const auto actions =
            coordinator.onAnswer(fragmentOf(second.slot, "other answer", 0, 2), moment);
    STRCMP_EQUAL("other answer", single<DeliverAnswer>(actions).payload.c_str());
    CHECK_TRUE(single<CancelDispatch>(actions).slot == first.slot);
    const auto late = coordinator.onAnswer(fragmentOf(first.slot, "first answer", 1, 2), moment);
    CHECK_TRUE(single<CountDrop>(late).reason == Reason::StaleAttempt);
    CHECK_TRUE(single<ReleaseSlot>(late).upstream == first.upstream);
}

// Guards against delivery of an altered answer, and against a second run of a non-repeatable
// request because its answer was altered.
TEST(Coordinator, alteredAnswerIsDroppedAndNotRetried)
{
    earnRetries(1);
    auto fragment = fragmentOf(dispatchRequest(1, false).slot, "answer", 0, 1);
    fragment.payload = "altered";
    const auto actions = coordinator.onAnswer(fragment, moment);
    CHECK_TRUE(single<CountDrop>(actions).reason == Reason::ChecksumMismatch);
    checkRefused(actions, Verdict::MayHaveRun, Reason::ChecksumMismatch);
    CHECK_TRUE(all<RequestSlot>(actions).empty());
}

// Guards against a second run when a refusal arrives from an upstream whose answer has begun to
// arrive.
TEST(Coordinator, refusalAfterTheFirstFragmentIsIgnored)
{
    earnRetries(1);
    const auto dispatch = dispatchRequest(1, false);
    CHECK_TRUE(coordinator.onAnswer(fragmentOf(dispatch.slot, "two parts", 0, 2), moment).empty());
    const auto refused = coordinator.onRefusal(dispatch.slot, DispatchRefusal::Shed, moment);
    CHECK_TRUE(single<CountDrop>(refused).reason == Reason::StaleAttempt);
    single<DeliverAnswer>(
            coordinator.onAnswer(fragmentOf(dispatch.slot, "two parts", 1, 2), moment));
}

// Guards against a retry budget that is used up permanently because finished requests still count
// as retries in progress.
TEST(Coordinator, finishedRequestsReturnTheirRetriesToTheBudget)
{
    earnRetries(40);
    for (std::uint64_t id = 1; id <= 40; ++id) {
        const auto first = dispatchRequest(id, true);
        const auto second = grantSlot(
                coordinator.onRefusal(first.slot, DispatchRefusal::WrongIncarnation, moment));
        single<DeliverAnswer>(answer(second.slot));
        for (std::uint64_t earning = 1; earning <= 10; ++earning) {
            answer(dispatchRequest(1'000 * id + earning, true).slot);
        }
    }
}

// Guards against a request that waits past its deadline, or sends slot requests to the owners
// without a limit, when all slots are in use.
TEST(Coordinator, waitsForASlotUntilTheDeadline)
{
    auto actions = coordinator.onRequest(arrival(1, false), moment);
    std::size_t slotRequests = 0;
    std::vector<UpstreamId> firstRound;
    for (; !all<RequestSlot>(actions).empty(); ++slotRequests) {
        const auto slotRequest = single<RequestSlot>(actions);
        firstRound.push_back(slotRequest.upstream);
        actions = coordinator.onSlotAnswer(slotRequest.slot, false, moment);
    }
    std::ranges::sort(firstRound);
    LONGS_EQUAL(4, slotRequests);
    CHECK_TRUE(std::ranges::adjacent_find(firstRound) == firstRound.end());
    while (moment.wall < Start + 4'900ms) {
        for (const auto &slotRequest : all<RequestSlot>(tickAfter(Coordinator::TickInterval))) {
            ++slotRequests;
            CHECK_TRUE(
                    all<DispatchRequest>(coordinator.onSlotAnswer(slotRequest.slot, false, moment))
                            .empty());
        }
    }
    CHECK_TRUE(slotRequests > 20);
    CHECK_TRUE(slotRequests < 200);
    checkRefused(tickAfter(100ms), Verdict::NotRun, Reason::NoSlot);
}

// Guards against a request that hangs, or a slot that is never released, when a grant is lost, late
// or duplicated.
TEST(Coordinator, lostLateAndDuplicatedGrantsLeakNoSlot)
{
    const auto slotRequest = single<RequestSlot>(coordinator.onRequest(arrival(1, false), moment));
    const auto retransmitted = single<RequestSlot>(tickAfter(60ms));
    CHECK_TRUE(retransmitted.slot == slotRequest.slot);
    const auto nextActions = tickAfter(60ms);
    CHECK_TRUE(single<ReleaseSlot>(nextActions).slot == slotRequest.slot);
    const auto dispatch = grantSlot(nextActions);

    const auto late = coordinator.onSlotAnswer(slotRequest.slot, true, moment);
    CHECK_TRUE(single<ReleaseSlot>(late).upstream == slotRequest.upstream);
    CHECK_TRUE(all<DispatchRequest>(late).empty());
    CHECK_TRUE(coordinator.onSlotAnswer(dispatch.slot, true, moment).empty());
    answer(dispatch.slot);
    LONGS_EQUAL(1, all<ReleaseSlot>(coordinator.onSlotAnswer(dispatch.slot, true, moment)).size());
}

// Guards against a dispatch whose answer cannot arrive before the deadline and which would change
// the verdict from NotRun to MayHaveRun. The grant was received but not read while the process was
// paused.
TEST(Coordinator, grantJustBeforeTheDeadlineIsNotUsed)
{
    const auto slotRequest = single<RequestSlot>(coordinator.onRequest(arrival(1, false), moment));
    advance(4'960ms);
    const auto actions = coordinator.onSlotAnswer(slotRequest.slot, true, moment);
    checkRefused(actions, Verdict::NotRun, Reason::NoSlot);
    CHECK_TRUE(single<ReleaseSlot>(actions).outcome == SlotOutcome::Unused);
}

// Guards against new dispatches to an upstream that is draining, also when the roster changes
// between slot request and grant, and when an older roster arrives afterwards.
TEST(Coordinator, onlyActiveUpstreamsGetDispatches)
{
    const auto slotRequest = single<RequestSlot>(coordinator.onRequest(arrival(1, false), moment));
    auto next = roster(4, 2);
    for (auto &upstream : next.upstreams) {
        if (upstream.id != UpstreamId(2)) {
            upstream.state = version::UpstreamState::Draining;
        }
    }
    coordinator.applyRoster(next);
    coordinator.applyRoster(roster(4, 1));
    const auto actions = coordinator.onSlotAnswer(slotRequest.slot,
                                                  slotRequest.upstream != UpstreamId(2), moment);
    for (const auto &dispatch : all<DispatchRequest>(actions)) {
        CHECK_TRUE(dispatch.upstream == UpstreamId(2));
    }
    for (std::uint64_t id = 10; id < 60; ++id) {
        CHECK_TRUE(dispatchRequest(id, true).upstream == UpstreamId(2));
    }
    next.version = common::RosterVersion(3);
    next.upstreams.clear();
    coordinator.applyRoster(next);
    checkRefused(coordinator.onRequest(arrival(99, true), moment), Verdict::NotRun,
                 Reason::NoUpstream);
}

// Guards against a second run by a late retransmission: the contract now allows longer requests, so
// that the deadline of the finished request has not passed yet.
TEST(Coordinator, finishedRequestIsNotRunAgainAfterTheContractAllowsLongerRequests)
{
    auto request = arrival(1, false);
    request.deadline = moment.wall + 40s;
    single<DeliverAnswer>(answer(grantSlot(coordinator.onRequest(request, moment)).slot));
    CHECK_TRUE(tickAfter(16s).empty());
    auto edited = roster(4, 2);
    edited.longestRequest = std::chrono::seconds(30);
    coordinator.applyRoster(edited);
    single<DeliverAnswer>(coordinator.onRequest(request, moment));
}

// Guards against one upstream that gets all load after several upstreams return with a small share
// each.
TEST(Coordinator, upstreamsWithSmallSharesGetEqualLoad)
{
    auto returning = roster(4, 2);
    for (auto &upstream : returning.upstreams) {
        upstream.sharePercent = 1;
    }
    coordinator.applyRoster(returning);
    std::map<UpstreamId, int> dispatches;
    for (std::uint64_t id = 1; id <= 400; ++id) {
        ++dispatches[dispatchRequest(id, true).upstream];
    }
    LONGS_EQUAL(4, dispatches.size());
    for (const auto &[upstream, count] : dispatches) {
        CHECK_TRUE(count > 60);
    }
}

// Guards against dispatches to an upstream that is known to be busy while others are idle.
TEST(Coordinator, prefersLessLoadedUpstreams)
{
    coordinator.setReportedLoad(UpstreamId(1), 1'000);
    std::size_t dispatchesToBusiest = 0;
    for (std::uint64_t id = 1; id <= 200; ++id) {
        dispatchesToBusiest += dispatchRequest(id, true).upstream == UpstreamId(1) ? 1 : 0;
    }
    // Expected are 200 / 16 dispatches: the upstream is chosen only if both draws return it.
    CHECK_TRUE(dispatchesToBusiest < 30);
}

// Guards against a false verdict on cancellation, which must be NotRun before the dispatch and
// MayHaveRun after it, and against a dispatch when the grant arrives after the cancellation.
TEST(Coordinator, cancellationIsNotRunBeforeTheDispatchAndMayHaveRunAfterIt)
{
    const auto slotRequest = single<RequestSlot>(coordinator.onRequest(arrival(1, false), moment));
    const auto waiting = coordinator.onCancel(RequestKey(1), moment);
    checkRefused(waiting, Verdict::NotRun, Reason::Cancelled);
    CHECK_TRUE(single<ReleaseSlot>(waiting).slot == slotRequest.slot);
    const auto late = coordinator.onSlotAnswer(slotRequest.slot, true, moment);
    CHECK_TRUE(all<DispatchRequest>(late).empty());
    CHECK_TRUE(all<RequestSlot>(coordinator.onRequest(arrival(1, false), moment)).empty());

    const auto dispatch = dispatchRequest(2, false);
    const auto running = coordinator.onCancel(RequestKey(2), moment);
    checkRefused(running, Verdict::MayHaveRun, Reason::Cancelled);
    CHECK_TRUE(single<CancelDispatch>(running).slot == dispatch.slot);
    LONGS_EQUAL(0, coordinator.inProgress());
}

// Guards against one customer that takes all of an instance's capacity, and against requests beyond
// the contract's rate.
TEST(Coordinator, admissionEnforcesRateAndFairShare)
{
    coordinator.setInProgressBound(10);
    auto other = roster(4);
    other.customer = common::CustomerId(2);
    other.service = ServiceId(8);
    other.requestsPerSecond = 20;
    coordinator.applyRoster(other);
    for (std::uint64_t id = 1; id <= 10; ++id) {
        dispatchRequest(id, true);
    }
    checkRefused(coordinator.onRequest(arrival(11, true), moment), Verdict::NotRun,
                 Reason::FairShare);
    for (std::uint64_t id = 20; id < 25; ++id) {
        auto request = arrival(id, true);
        request.service = other.service;
        LONGS_EQUAL(1, all<RequestSlot>(coordinator.onRequest(request, moment)).size());
    }
    coordinator.setInProgressBound(1'000);
    std::size_t admitted = 0;
    for (std::uint64_t id = 30; id < 130; ++id) {
        auto request = arrival(id, true);
        request.service = other.service;
        admitted += all<RequestSlot>(coordinator.onRequest(request, moment)).size();
    }
    LONGS_EQUAL(22 - 5, admitted);
}
