#include "tests/coordinatorfixture.h"

using namespace banyanwall;
using namespace banyanwall::tests;

TEST_GROUP_BASE(Coordinator, CoordinatorFixture) {};

// Guards against answers that are cut or mixed when fragments arrive late and out of order (P5).
TEST(Coordinator, deliversTheWholeAnswerOnce)
{
    const auto dispatch = start(1, false);
    for (const auto index : { 2U, 0U, 2U }) {
        const auto actions =
                coordinator.onAnswer(fragmentOf(dispatch.slot, "one two three", index, 3), moment);
        CHECK_TRUE(all<DeliverAnswer>(actions).empty());
    }
    pass(30ms);
    const auto actions =
            coordinator.onAnswer(fragmentOf(dispatch.slot, "one two three", 1, 3), moment);
    STRCMP_EQUAL("one two three", only<DeliverAnswer>(actions).payload.c_str());
    const auto release = only<ReleaseSlot>(actions);
    CHECK_TRUE(release.outcome == SlotOutcome::Answered);
    CHECK_TRUE(release.latency == 30ms);
    LONGS_EQUAL(0, coordinator.inProgress());
    CHECK_TRUE(only<CountDrop>(answer(dispatch.slot)).reason == Reason::StaleAttempt);
}

// Guards against a second run of a non-repeatable request by its duplicates, before and after its
// answer, and after the memory for answers ran out (P7).
TEST(Coordinator, duplicateGetsStoredStateAndNeverASecondDispatch)
{
    const auto request = arrival(1, false);
    const auto dispatch = dispatched(coordinator.onRequest(request, moment));
    CHECK_TRUE(coordinator.onRequest(request, moment).empty());
    answer(dispatch.slot);
    STRCMP_EQUAL("answer",
                 only<DeliverAnswer>(coordinator.onRequest(request, moment)).payload.c_str());

    const std::string large(1U << 20U, 'x');
    for (std::uint64_t id = 10; id < 20; ++id) {
        answer(start(id, true).slot, large);
    }
    checkRefused(coordinator.onRequest(request, moment), Verdict::MayHaveRun,
                 Reason::AnswerDropped);
    tickAfter(9s);
    CHECK_TRUE(all<AskSlot>(coordinator.onRequest(request, moment)).empty());
    tickAfter(2s);
    LONGS_EQUAL(0, coordinator.remembered());
    checkRefused(coordinator.onRequest(request, moment), Verdict::MayHaveRun,
                 Reason::DeadlineExceeded);
}

// Guards against NotRun for a request that may run (P6), and a retry of it (P7), when the answer is
// lost and the refusal comes too late.
TEST(Coordinator, lostAnswerOfNonRepeatableRequestIsMayHaveRun)
{
    earnRetries(3);
    const auto dispatch = start(1, false);
    CHECK_TRUE(tickAfter(4'900ms).empty());
    const auto actions = tickAfter(200ms);
    checkRefused(actions, Verdict::MayHaveRun, Reason::UpstreamTimeout);
    LONGS_EQUAL(1, all<CancelDispatch>(actions).size());
    // The upstream may still run it, so the slot is not free yet.
    CHECK_TRUE(all<ReleaseSlot>(actions).empty());
    LONGS_EQUAL(1, coordinator.heldSlots(dispatch.upstream).size());

    const auto late = coordinator.onRefusal(dispatch.slot, DispatchRefusal::Shed, moment);
    CHECK_TRUE(only<ReleaseSlot>(late).outcome == SlotOutcome::Shed);
    CHECK_TRUE(all<AskSlot>(late).empty());
    LONGS_EQUAL(0, coordinator.heldSlots(dispatch.upstream).size());
}

// Guards against slots that are never freed when the upstream stays silent.
TEST(Coordinator, slotOfSilentUpstreamEndsAsTimedOut)
{
    start(1, false);
    tickAfter(5'000ms);
    // Twelve usual answer times, in which a cold upstream may still be at work.
    CHECK_TRUE(tickAfter(599ms).empty());
    CHECK_TRUE(only<ReleaseSlot>(tickAfter(1ms)).outcome == SlotOutcome::TimedOut);
}

// Guards against giving up, or a false verdict, after an explicit refusal.
TEST(Coordinator, explicitRefusalIsRetriedElsewhereAndThenTrulyNotRun)
{
    earnRetries(3);
    auto dispatch = start(1, false);
    std::vector<UpstreamId> used;
    for (int retries = 0; retries < 2; ++retries) {
        used.push_back(dispatch.upstream);
        const auto actions =
                coordinator.onRefusal(dispatch.slot, DispatchRefusal::Draining, moment);
        CHECK_TRUE(only<CountRetry>(actions).reason == Reason::UpstreamDraining);
        dispatch = dispatched(actions);
        CHECK_TRUE(std::ranges::find(used, dispatch.upstream) == used.end());
    }
    checkRefused(coordinator.onRefusal(dispatch.slot, DispatchRefusal::Shed, moment),
                 Verdict::NotRun, Reason::RetryBudgetExhausted);
    CHECK_TRUE(all<AskSlot>(coordinator.onRequest(arrival(1, false), moment)).empty());
}

// Guards against a second ask, and a leaked slot, when a refusal arrives while the retry of the
// same request already waits for a slot.
TEST(Coordinator, lateRefusalDoesNotStartASecondRetry)
{
    earnRetries(3);
    const auto first = start(1, true);
    const auto ask = only<AskSlot>(tickAfter(500ms));
    const auto late = coordinator.onRefusal(first.slot, DispatchRefusal::Shed, moment);
    CHECK_TRUE(all<AskSlot>(late).empty());
    CHECK_TRUE(all<CountRetry>(late).empty());
    only<DispatchRequest>(coordinator.onSlotAnswer(ask.slot, true, moment));
    only<DeliverAnswer>(answer(ask.slot));
}

// Guards against mixing the answers of two attempts, and against a slot leak of the one that lost.
TEST(Coordinator, firstOfTwoAttemptsWinsAndTheOtherIsCancelled)
{
    earnRetries(1);
    const auto first = start(1, true);
    CHECK_TRUE(coordinator.onAnswer(fragmentOf(first.slot, "first answer", 0, 2), moment).empty());
    const auto second = dispatched(tickAfter(500ms));
    CHECK_TRUE(first.upstream != second.upstream);
    CHECK_TRUE(coordinator.onAnswer(fragmentOf(second.slot, "other answer", 1, 2), moment).empty());
    const auto actions =
            coordinator.onAnswer(fragmentOf(second.slot, "other answer", 0, 2), moment);
    STRCMP_EQUAL("other answer", only<DeliverAnswer>(actions).payload.c_str());
    CHECK_TRUE(only<CancelDispatch>(actions).slot == first.slot);
    const auto late = coordinator.onAnswer(fragmentOf(first.slot, "first answer", 1, 2), moment);
    CHECK_TRUE(only<CountDrop>(late).reason == Reason::StaleAttempt);
    CHECK_TRUE(only<ReleaseSlot>(late).upstream == first.upstream);
}

// Guards against delivering an altered answer, and against running a non-repeatable request again
// because of it.
TEST(Coordinator, alteredAnswerIsDroppedWithItsReason)
{
    earnRetries(1);
    auto fragment = fragmentOf(start(1, false).slot, "answer", 0, 1);
    fragment.payload = "altered";
    const auto actions = coordinator.onAnswer(fragment, moment);
    CHECK_TRUE(only<CountDrop>(actions).reason == Reason::ChecksumMismatch);
    checkRefused(actions, Verdict::MayHaveRun, Reason::ChecksumMismatch);
    CHECK_TRUE(all<AskSlot>(actions).empty());
}

// Guards against a second run when a refusal contradicts an answer that has begun to arrive.
TEST(Coordinator, refusalAfterTheFirstFragmentIsIgnored)
{
    earnRetries(1);
    const auto dispatch = start(1, false);
    CHECK_TRUE(coordinator.onAnswer(fragmentOf(dispatch.slot, "two parts", 0, 2), moment).empty());
    const auto refused = coordinator.onRefusal(dispatch.slot, DispatchRefusal::Shed, moment);
    CHECK_TRUE(only<CountDrop>(refused).reason == Reason::StaleAttempt);
    only<DeliverAnswer>(coordinator.onAnswer(fragmentOf(dispatch.slot, "two parts", 1, 2), moment));
}

// Guards against a retry budget that runs out for good because finished requests keep their part.
TEST(Coordinator, finishedRequestsGiveTheirRetriesBack)
{
    earnRetries(40);
    for (std::uint64_t id = 1; id <= 40; ++id) {
        const auto first = start(id, true);
        const auto second = dispatched(
                coordinator.onRefusal(first.slot, DispatchRefusal::WrongIncarnation, moment));
        only<DeliverAnswer>(answer(second.slot));
        for (std::uint64_t earning = 1; earning <= 10; ++earning) {
            answer(start(1'000 * id + earning, true).slot);
        }
    }
}

// Guards against waiting for ever, or hammering the owners, when all slots are busy.
TEST(Coordinator, waitsForASlotUntilTheDeadline)
{
    auto actions = coordinator.onRequest(arrival(1, false), moment);
    std::size_t asks = 0;
    std::vector<UpstreamId> round;
    for (; !all<AskSlot>(actions).empty(); ++asks) {
        const auto ask = only<AskSlot>(actions);
        round.push_back(ask.upstream);
        actions = coordinator.onSlotAnswer(ask.slot, false, moment);
    }
    std::ranges::sort(round);
    LONGS_EQUAL(4, asks);
    CHECK_TRUE(std::ranges::adjacent_find(round) == round.end());
    while (moment.wall < Start + 4'900ms) {
        for (const auto &ask : all<AskSlot>(tickAfter(Coordinator::TickInterval))) {
            ++asks;
            CHECK_TRUE(all<DispatchRequest>(coordinator.onSlotAnswer(ask.slot, false, moment))
                               .empty());
        }
    }
    CHECK_TRUE(asks > 20);
    CHECK_TRUE(asks < 200);
    checkRefused(tickAfter(100ms), Verdict::NotRun, Reason::NoSlot);
}

// Guards against a request that hangs, or a slot that leaks, when a grant is lost, late or doubled.
TEST(Coordinator, lostAndLateGrantsCostNoSlot)
{
    const auto ask = only<AskSlot>(coordinator.onRequest(arrival(1, false), moment));
    const auto again = only<AskSlot>(tickAfter(60ms));
    CHECK_TRUE(again.slot == ask.slot);
    const auto moved = tickAfter(60ms);
    CHECK_TRUE(only<ReleaseSlot>(moved).slot == ask.slot);
    const auto dispatch = dispatched(moved);

    const auto late = coordinator.onSlotAnswer(ask.slot, true, moment);
    CHECK_TRUE(only<ReleaseSlot>(late).upstream == ask.upstream);
    CHECK_TRUE(all<DispatchRequest>(late).empty());
    CHECK_TRUE(coordinator.onSlotAnswer(dispatch.slot, true, moment).empty());
    answer(dispatch.slot);
    LONGS_EQUAL(1, all<ReleaseSlot>(coordinator.onSlotAnswer(dispatch.slot, true, moment)).size());
}

// Guards against a dispatch whose answer cannot arrive in time, which would turn a true NotRun into
// MayHaveRun; the grant waited while the process was paused.
TEST(Coordinator, grantJustBeforeTheDeadlineIsNotUsed)
{
    const auto ask = only<AskSlot>(coordinator.onRequest(arrival(1, false), moment));
    pass(4'960ms);
    const auto actions = coordinator.onSlotAnswer(ask.slot, true, moment);
    checkRefused(actions, Verdict::NotRun, Reason::NoSlot);
    CHECK_TRUE(only<ReleaseSlot>(actions).outcome == SlotOutcome::Unused);
}

// Guards against new work on an upstream that is leaving (P8), also when the roster changes between
// ask and grant.
TEST(Coordinator, onlyActiveUpstreamsGetDispatches)
{
    const auto ask = only<AskSlot>(coordinator.onRequest(arrival(1, false), moment));
    auto next = roster(4, 2);
    for (auto &upstream : next.upstreams) {
        if (upstream.id != UpstreamId(2)) {
            upstream.state = version::UpstreamState::Draining;
        }
    }
    coordinator.applyRoster(next);
    coordinator.applyRoster(roster(4, 1));
    const auto actions = coordinator.onSlotAnswer(ask.slot, ask.upstream != UpstreamId(2), moment);
    for (const auto &dispatch : all<DispatchRequest>(actions)) {
        CHECK_TRUE(dispatch.upstream == UpstreamId(2));
    }
    for (std::uint64_t id = 10; id < 60; ++id) {
        CHECK_TRUE(start(id, true).upstream == UpstreamId(2));
    }
    next.version = common::RosterVersion(3);
    next.upstreams.clear();
    coordinator.applyRoster(next);
    checkRefused(coordinator.onRequest(arrival(99, true), moment), Verdict::NotRun,
                 Reason::NoUpstream);
}

// Guards against a second run by a late copy when the contract allows longer requests by then.
TEST(Coordinator, longerRequestsAfterAnEditDoNotReviveAFinishedOne)
{
    auto request = arrival(1, false);
    request.deadline = moment.wall + 40s;
    only<DeliverAnswer>(answer(dispatched(coordinator.onRequest(request, moment)).slot));
    CHECK_TRUE(tickAfter(16s).empty());
    auto edited = roster(4, 2);
    edited.longestRequest = std::chrono::seconds(30);
    coordinator.applyRoster(edited);
    only<DeliverAnswer>(coordinator.onRequest(request, moment));
}

// Guards against all returning upstreams with a small share losing their load to the first one.
TEST(Coordinator, smallSharesStillSpreadTheLoad)
{
    auto returning = roster(4, 2);
    for (auto &upstream : returning.upstreams) {
        upstream.sharePercent = 1;
    }
    coordinator.applyRoster(returning);
    std::map<UpstreamId, int> dispatches;
    for (std::uint64_t id = 1; id <= 400; ++id) {
        ++dispatches[start(id, true).upstream];
    }
    LONGS_EQUAL(4, dispatches.size());
    for (const auto &[upstream, count] : dispatches) {
        CHECK_TRUE(count > 60);
    }
}

// Guards against a lopsided load when the coordinator knows that upstreams are busy.
TEST(Coordinator, prefersLessLoadedUpstreams)
{
    coordinator.setLoadHint(UpstreamId(1), 1'000);
    std::size_t busiest = 0;
    for (std::uint64_t id = 1; id <= 200; ++id) {
        busiest += start(id, true).upstream == UpstreamId(1) ? 1 : 0;
    }
    // Chosen only when both draws hit it, one time in sixteen.
    CHECK_TRUE(busiest < 30);
}

// Guards against a false verdict on cancellation, before and after the dispatch.
TEST(Coordinator, cancellationGivesATrueVerdict)
{
    const auto ask = only<AskSlot>(coordinator.onRequest(arrival(1, false), moment));
    const auto waiting = coordinator.onCancel(RequestKey(1), moment);
    checkRefused(waiting, Verdict::NotRun, Reason::Cancelled);
    CHECK_TRUE(only<ReleaseSlot>(waiting).slot == ask.slot);
    const auto late = coordinator.onSlotAnswer(ask.slot, true, moment);
    CHECK_TRUE(all<DispatchRequest>(late).empty());
    CHECK_TRUE(all<AskSlot>(coordinator.onRequest(arrival(1, false), moment)).empty());

    const auto dispatch = start(2, false);
    const auto running = coordinator.onCancel(RequestKey(2), moment);
    checkRefused(running, Verdict::MayHaveRun, Reason::Cancelled);
    CHECK_TRUE(only<CancelDispatch>(running).slot == dispatch.slot);
    LONGS_EQUAL(0, coordinator.inProgress());
}

// Guards against one customer that takes the whole instance, and against requests beyond the
// contract's rate.
TEST(Coordinator, admissionKeepsRateAndFairShare)
{
    coordinator.setInProgressBound(10);
    auto other = roster(4);
    other.customer = common::CustomerId(2);
    other.service = ServiceId(8);
    other.requestsPerSecond = 20;
    coordinator.applyRoster(other);
    for (std::uint64_t id = 1; id <= 10; ++id) {
        start(id, true);
    }
    checkRefused(coordinator.onRequest(arrival(11, true), moment), Verdict::NotRun,
                 Reason::FairShare);
    for (std::uint64_t id = 20; id < 25; ++id) {
        auto request = arrival(id, true);
        request.service = other.service;
        LONGS_EQUAL(1, all<AskSlot>(coordinator.onRequest(request, moment)).size());
    }
    coordinator.setInProgressBound(1'000);
    std::size_t admitted = 0;
    for (std::uint64_t id = 30; id < 130; ++id) {
        auto request = arrival(id, true);
        request.service = other.service;
        admitted += all<AskSlot>(coordinator.onRequest(request, moment)).size();
    }
    LONGS_EQUAL(22 - 5, admitted);
}
