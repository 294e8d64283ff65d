#include "request/coordinator.h"
#include "common/hash.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace banyanwall;
using namespace banyanwall::request;
using namespace std::chrono_literals;
using common::AttemptNumber;
using common::Reason;
using common::RequestKey;
using common::ServiceId;
using common::UpstreamId;
using common::Verdict;
using connection::SlotKey;
using connection::SlotOutcome;

namespace {

const ServiceId Service(7);
const common::WallTime Start(1'000'000s);
const common::WallTime Never(2'000'000s);

template<typename T>
std::vector<T> all(const RequestActions &actions)
{
    std::vector<T> found;
    for (const auto &action : actions) {
        if (const auto *match = std::get_if<T>(&action)) {
            found.push_back(*match);
        }
    }
    return found;
}

template<typename T>
T only(const RequestActions &actions)
{
    const auto found = all<T>(actions);
    LONGS_EQUAL(1, found.size());
    return found.empty() ? T {} : found.front();
}

version::ServiceRoster roster(std::uint32_t upstreams, std::uint64_t rosterVersion = 1)
{
    version::ServiceRoster made;
    made.customer = common::CustomerId(1);
    made.service = Service;
    made.version = common::RosterVersion(rosterVersion);
    made.slotsPerUpstream = 3;
    for (std::uint32_t id = 1; id <= upstreams; ++id) {
        made.upstreams.push_back({ UpstreamId(id), common::ZoneId(1), {} });
    }
    return made;
}

AnswerFragment fragmentOf(SlotKey slot, const std::string &answer, std::uint32_t index,
                          std::uint32_t count)
{
    const auto part = answer.size() / count;
    const auto length = index + 1 == count ? std::string::npos : part;
    return { slot.request,
             slot.attempt,
             index,
             count,
             common::hashBytes(answer),
             answer.substr(index * part, length) };
}

} // namespace

TEST_GROUP(Coordinator)
{
    Coordinator coordinator { 42 };
    Moment moment { common::TimePoint(100s), Start };

    void setup() override
    {
        coordinator.applyRoster(roster(4));
        coordinator.setPermit({ true, Never });
    }

    void pass(common::Duration duration)
    {
        moment.now += duration;
        moment.wall += std::chrono::duration_cast<std::chrono::milliseconds>(duration);
    }

    RequestActions tickAfter(common::Duration duration)
    {
        pass(duration);
        return coordinator.onTick(moment);
    }

    RequestArrival arrival(std::uint64_t id, bool repeatable)
    {
        return { RequestKey(id), Service,          id,     repeatable, 0,
                 moment.wall,    moment.wall + 5s, "work", "token" };
    }

    DispatchRequest dispatched(const RequestActions &asking)
    {
        const auto ask = only<AskSlot>(asking);
        return only<DispatchRequest>(coordinator.onSlotAnswer(ask.slot, true, moment));
    }

    DispatchRequest start(std::uint64_t id, bool repeatable)
    {
        return dispatched(coordinator.onRequest(arrival(id, repeatable), moment));
    }

    RequestActions answer(SlotKey slot, const std::string &content = "answer")
    {
        return coordinator.onAnswer(fragmentOf(slot, content, 0, 1), moment);
    }

    /// Requests that finish at once and so earn retries.
    void earnRetries(std::uint64_t count)
    {
        for (std::uint64_t id = 100'000; id < 100'000 + 10 * count; ++id) {
            only<DeliverAnswer>(answer(start(id, true).slot));
        }
    }

    void checkRefused(const RequestActions &actions, Verdict verdict, Reason reason)
    {
        const auto refused = only<RefuseRequest>(actions);
        CHECK_TRUE(refused.verdict == verdict);
        STRCMP_EQUAL(std::string(common::toString(reason)).c_str(),
                     std::string(common::toString(refused.reason)).c_str());
    }
};

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
    tickAfter(5'100ms);
    CHECK_TRUE(only<ReleaseSlot>(tickAfter(200ms)).outcome == SlotOutcome::TimedOut);
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

// Guards against a dispatch after the lease ended while the process was paused between ask and
// grant, and against a dispatch deadline beyond the lease.
TEST(Coordinator, nonRepeatableRequestsStayWithinTheLease)
{
    coordinator.setPermit({ true, Start + 800ms });
    const auto first = arrival(1, false);
    CHECK_TRUE(dispatched(coordinator.onRequest(first, moment)).deadline == Start + 800ms);
    const auto ask = only<AskSlot>(coordinator.onRequest(arrival(2, false), moment));
    CHECK_TRUE(start(3, true).deadline == Start + 5s);
    pass(900ms);
    const auto actions = coordinator.onSlotAnswer(ask.slot, true, moment);
    checkRefused(actions, Verdict::NotRun, Reason::LeaseLost);
    CHECK_TRUE(only<ReleaseSlot>(actions).outcome == SlotOutcome::Unused);
    checkRefused(coordinator.onRequest(arrival(4, false), moment), Verdict::NotRun,
                 Reason::LeaseLost);
    CHECK_TRUE(all<AskSlot>(coordinator.onRequest(arrival(5, true), moment)).size() == 1);
    // The verdict stays although the lease is back: the caller may have acted on it.
    coordinator.setPermit({ true, Never });
    checkRefused(coordinator.onRequest(arrival(4, false), moment), Verdict::NotRun,
                 Reason::LeaseLost);
}

// Guards against a second run by the successor, and a false NotRun, when a coordinator failed, also
// for a duplicate that arrives during the fence and while the store is down.
TEST(Coordinator, takeoverAnswersMayHaveRunForWhatAnotherInstanceMayHaveDispatched)
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
    pass(2'600ms);
    checkRefused(coordinator.onRequest(during, moment), Verdict::MayHaveRun,
                 Reason::AwaitingTakeover);
    start(3, false);
}

// Guards against NotRun for a repeatable request that the former coordinator may have dispatched.
TEST(Coordinator, repeatableRequestAfterTakeoverRunsButIsNeverNotRun)
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

// Guards against a planned stop that cuts requests in progress (P9).
TEST(Coordinator, shutdownFinishesWhatIsInProgress)
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
TEST(Coordinator, ownerChangeAbandonsPendingAsks)
{
    const auto ask = only<AskSlot>(coordinator.onRequest(arrival(1, false), moment));
    const auto actions = coordinator.onOwnerChange(ask.upstream, moment);
    CHECK_TRUE(only<ReleaseSlot>(actions).slot == ask.slot);
    CHECK_TRUE(only<AskSlot>(actions).slot != ask.slot);
    CHECK_TRUE(all<DispatchRequest>(coordinator.onSlotAnswer(ask.slot, true, moment)).empty());
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
