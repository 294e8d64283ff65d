#include "request/requestrunner.h"

#include "common/hash.h"

#include <algorithm>
#include <utility>

namespace banyanwall::request {

using common::Duration;
using common::Reason;
using common::TimePoint;
using common::Verdict;
using common::WallTime;
using connection::SlotKey;
using connection::SlotOutcome;
using Outcome = DispatchedAttempt::Outcome;

namespace {

using std::chrono::milliseconds;

// An owner answers within one round trip between zones; a later answer counts as lost.
constexpr Duration AskTimeout = milliseconds(60);
constexpr std::uint32_t MaxAskTransmissions = 2;
// Bounds the control traffic of one waiting request.
constexpr std::uint32_t AsksPerRound = 4;
constexpr Duration FirstBackoff = milliseconds(10);
constexpr Duration MaxBackoff = milliseconds(160);
// A repeatable request is tried elsewhere after this many usual answer times, which a loaded but
// healthy upstream stays under.
constexpr int AttemptTimeoutFactor = 8;
constexpr Duration MinAttemptTimeout = milliseconds(200);
// Time that an upstream may still run a request after its deadline, in usual answer times. A cold
// upstream that has more requests than it can handle takes over ten of them.
constexpr int HoldMarginFactor = 12;
// Duplicated grants of a finished request are given back within this time.
constexpr Duration LingerTime = std::chrono::seconds(1);

// Bits of an attempt number that count the attempts of one coordinator.
constexpr std::uint32_t AttemptBits = 12;

std::uint32_t firstAttemptOf(std::uint64_t seed)
{
    const auto base = static_cast<std::uint32_t>(common::hashPair(seed, AttemptBits));
    return (base << AttemptBits) + 1;
}

Reason reasonOf(DispatchRefusal refusal)
{
    switch (refusal) {
    case DispatchRefusal::Shed:
        return Reason::UpstreamShed;
    case DispatchRefusal::Deadline:
        return Reason::DeadlineExceeded;
    case DispatchRefusal::Draining:
        return Reason::UpstreamDraining;
    case DispatchRefusal::WrongService:
        return Reason::WrongService;
    case DispatchRefusal::WrongIncarnation:
        return Reason::WrongIncarnation;
    }
    return Reason::UpstreamShed;
}

} // namespace

RequestRunner::RequestRunner(UpstreamChooser &chooser, RequestTable &table, Admission &admission,
                             std::uint64_t seed)
    : m_chooser(chooser)
    , m_table(table)
    , m_admission(admission)
    , m_firstAttempt(firstAttemptOf(seed))
{ }

void RequestRunner::setPermit(const DispatchPermit &permit)
{
    m_permit = permit;
}

bool RequestRunner::mayDispatch(bool repeatable, WallTime wall) const
{
    // The permit may be old: the process can have been paused since it was set.
    return repeatable || (m_permit.fenced && wall < m_permit.latestDeadline);
}

void RequestRunner::onSlotAnswer(RequestStep step, SlotKey slot, bool granted)
{
    auto &progress = step.progress();
    if (!progress.ask || progress.ask->number != slot.attempt) {
        returnStaleGrant(step, slot, granted);
        return;
    }
    const auto ask = *progress.ask;
    if (granted) {
        dispatch(step, ask);
    } else {
        progress.ask.reset();
        m_chooser.avoid(ask.upstream, step.moment.now + UpstreamChooser::AvoidAfterDenial);
        askNext(step);
    }
    schedule(step);
}

void RequestRunner::returnStaleGrant(RequestStep step, SlotKey slot, bool granted)
{
    const auto &progress = step.progress();
    const auto *attempt = step.progress().find(slot.attempt);
    const auto index = slot.attempt.value() - m_firstAttempt;
    if (!granted || index >= progress.asked.size() || (attempt != nullptr && attempt->slotHeld)) {
        return;
    }
    // A grant that came too late or twice; without this the slot would be lost until its expiry.
    step.actions.emplace_back(ReleaseSlot { progress.service, progress.asked[index], slot,
                                            SlotOutcome::Unused, Duration() });
}

void RequestRunner::onAnswer(RequestStep step, DispatchedAttempt &attempt, AnswerFragment fragment)
{
    if (step.record.verdict || attempt.outcome != Outcome::Unknown) {
        // The first fragment of an attempt that lost shows that the upstream is done with it.
        step.actions.emplace_back(CountDrop { Reason::StaleAttempt });
        settle(step, attempt, SlotOutcome::Answered);
    } else {
        takeFragment(step, attempt, std::move(fragment));
    }
    schedule(step);
}

void RequestRunner::onRefusal(RequestStep step, DispatchedAttempt &attempt, DispatchRefusal refusal)
{
    if (attempt.outcome != Outcome::Unknown || !attempt.assembler.isEmpty()) {
        step.actions.emplace_back(CountDrop { Reason::StaleAttempt });
        return;
    }
    attempt.outcome = Outcome::Refused;
    m_chooser.avoid(attempt.upstream, step.moment.now + UpstreamChooser::AvoidAfterRefusal);
    settle(step, attempt,
           refusal == DispatchRefusal::Shed ? SlotOutcome::Shed : SlotOutcome::Unused);
    if (step.record.verdict) {
        step.actions.emplace_back(CountDrop { Reason::StaleAttempt });
    } else {
        retryOrGiveUp(step, reasonOf(refusal));
    }
    schedule(step);
}

void RequestRunner::onOwnerChange(RequestStep step)
{
    dropAsk(step);
    askNext(step);
    schedule(step);
}

void RequestRunner::cancel(RequestStep step)
{
    giveUp(step, Reason::Cancelled);
    schedule(step);
}

void RequestRunner::begin(RequestStep step, RequestArrival arrival, WallTime deadline, bool foreign)
{
    const auto &roster = *m_chooser.roster(arrival.service);
    const auto left = std::min<Duration>(deadline - step.moment.wall, roster.longestRequest);
    auto progress = std::make_unique<RequestProgress>();
    progress->customer = roster.customer;
    progress->service = arrival.service;
    progress->requestId = arrival.requestId;
    progress->repeatable = arrival.repeatable;
    progress->foreign = foreign;
    progress->deadline = step.moment.wall + std::chrono::duration_cast<milliseconds>(left);
    progress->deadlineAt = step.moment.now + left;
    progress->slotsEndAt = progress->deadlineAt + HoldMarginFactor * roster.usualLatency;
    progress->payload = std::move(arrival.payload);
    progress->returnToken = std::move(arrival.returnToken);
    progress->backoff = FirstBackoff;
    step.record.progress = std::move(progress);
    m_budget.onRequest();
    askNext(step);
    schedule(step);
}

void RequestRunner::askNext(RequestStep step)
{
    auto &progress = step.progress();
    if (!mayDispatch(progress.repeatable, step.moment.wall)) {
        giveUp(step, Reason::LeaseLost);
        return;
    }
    if (m_chooser.activeCount(progress.service) == 0) {
        if (!progress.isOutstanding()) {
            giveUp(step, Reason::NoUpstream);
        }
        return;
    }
    const auto upstream = progress.asksInRound < AsksPerRound
            ? m_chooser.choose(progress.service, progress.excluded, step.moment.now)
            : std::nullopt;
    if (!upstream) {
        progress.askAgainAt = step.moment.now + m_chooser.jittered(progress.backoff);
        progress.backoff = std::min(2 * progress.backoff, MaxBackoff);
        return;
    }
    ++progress.asksInRound;
    progress.excluded.push_back(*upstream);
    const auto number = m_firstAttempt + static_cast<std::uint32_t>(progress.asked.size());
    progress.asked.push_back(*upstream);
    progress.ask = PendingAsk { common::AttemptNumber(number), *upstream, step.moment.now };
    step.actions.emplace_back(AskSlot { progress.service,
                                        *upstream,
                                        { step.key, progress.ask->number },
                                        progress.slotsEndAt - step.moment.now });
}

void RequestRunner::dropAsk(RequestStep step)
{
    auto &progress = step.progress();
    if (progress.ask) {
        // The grant may be on its way.
        step.actions.emplace_back(ReleaseSlot { progress.service,
                                                progress.ask->upstream,
                                                { step.key, progress.ask->number },
                                                SlotOutcome::Unused,
                                                Duration() });
        progress.ask.reset();
    }
}

void RequestRunner::dispatch(RequestStep step, const PendingAsk &granted)
{
    auto &progress = step.progress();
    if (!mayDispatch(progress.repeatable, step.moment.wall)) {
        giveUp(step, Reason::LeaseLost);
        return;
    }
    if (step.moment.now + m_chooser.roster(progress.service)->usualLatency >= progress.deadlineAt) {
        // The answer would come too late and the verdict would change from not run to unknown.
        giveUp(step, progress.isOutstanding() ? Reason::UpstreamTimeout : Reason::NoSlot);
        return;
    }
    if (!m_chooser.isActive(progress.service, granted.upstream)) {
        dropAsk(step);
        askNext(step);
        return;
    }
    progress.ask.reset();
    DispatchedAttempt attempt;
    attempt.number = granted.number;
    attempt.upstream = granted.upstream;
    attempt.since = step.moment.now;
    progress.dispatched.push_back(std::move(attempt));
    m_chooser.onDispatched(granted.upstream);
    const auto deadline = progress.repeatable
            ? progress.deadline
            : std::min(progress.deadline, m_permit.latestDeadline);
    step.actions.emplace_back(DispatchRequest { progress.service,
                                                granted.upstream,
                                                { step.key, granted.number },
                                                progress.requestId,
                                                progress.repeatable,
                                                deadline,
                                                progress.payload,
                                                progress.returnToken });
}

bool RequestRunner::retry(RequestStep step, Reason reason)
{
    auto &progress = step.progress();
    if (progress.ask || progress.askAgainAt) {
        return true;
    }
    if (!m_budget.tryStart(progress.retries)) {
        return false;
    }
    ++progress.retries;
    step.actions.emplace_back(CountRetry { reason });
    progress.asksInRound = 0;
    progress.excluded.clear();
    std::ranges::transform(progress.dispatched, std::back_inserter(progress.excluded),
                           &DispatchedAttempt::upstream);
    askNext(step);
    return true;
}

void RequestRunner::retryOrGiveUp(RequestStep step, Reason reason)
{
    const bool allowed = step.progress().repeatable || step.progress().verdict() == Verdict::NotRun;
    if (!allowed) {
        giveUp(step, reason);
    } else if (!retry(step, reason) && !step.progress().isOutstanding()) {
        giveUp(step, Reason::RetryBudgetExhausted);
    }
}

void RequestRunner::takeFragment(RequestStep step, DispatchedAttempt &attempt,
                                 AnswerFragment fragment)
{
    auto result = attempt.assembler.add(std::move(fragment));
    if (auto *complete = std::get_if<AnswerAssembler::Complete>(&result)) {
        attempt.outcome = Outcome::Answered;
        settle(step, attempt, SlotOutcome::Answered);
        deliver(step, attempt, std::move(complete->payload));
        return;
    }
    const auto *rejected = std::get_if<AnswerAssembler::Rejected>(&result);
    if (rejected == nullptr) {
        return;
    }
    step.actions.emplace_back(CountDrop { rejected->reason });
    if (rejected->broken) {
        attempt.outcome = Outcome::Broken;
        settle(step, attempt, SlotOutcome::Answered);
        retryOrGiveUp(step, rejected->reason);
    }
}

void RequestRunner::settle(RequestStep step, DispatchedAttempt &attempt, SlotOutcome outcome)
{
    if (!std::exchange(attempt.slotHeld, false)) {
        return;
    }
    m_chooser.onSettled(attempt.upstream);
    step.actions.emplace_back(ReleaseSlot { step.progress().service,
                                            attempt.upstream,
                                            { step.key, attempt.number },
                                            outcome,
                                            step.moment.now - attempt.since });
}

void RequestRunner::deliver(RequestStep step, const DispatchedAttempt &attempt, std::string payload)
{
    step.record.verdict = Verdict::Completed;
    step.record.attempt = attempt.number;
    step.actions.emplace_back(DeliverAnswer { step.progress().requestId, attempt.number, payload,
                                              step.progress().returnToken });
    m_table.store(step.key, step.record, std::move(payload));
    finish(step);
}

void RequestRunner::giveUp(RequestStep step, Reason reason)
{
    auto &progress = step.progress();
    step.record.verdict = progress.verdict();
    step.record.reason = reason;
    step.actions.emplace_back(RefuseRequest { progress.requestId, *step.record.verdict, reason,
                                              progress.returnToken });
    finish(step);
}

void RequestRunner::finish(RequestStep step)
{
    auto &progress = step.progress();
    dropAsk(step);
    progress.askAgainAt.reset();
    for (const auto &attempt : progress.dispatched) {
        if (attempt.outcome == Outcome::Unknown) {
            step.actions.emplace_back(CancelDispatch { progress.service,
                                                       attempt.upstream,
                                                       { step.key, attempt.number },
                                                       progress.requestId });
        }
    }
    m_budget.onFinished(progress.retries);
    m_admission.onFinished(progress.customer);
    progress.payload = {};
    progress.returnToken = {};
    progress.lingerUntil = step.moment.now + LingerTime;
}

void RequestRunner::runTimers(RequestStep step)
{
    if (!step.record.verdict) {
        auto &progress = step.progress();
        if (step.moment.now >= progress.deadlineAt) {
            giveUp(step, progress.isOutstanding() ? Reason::UpstreamTimeout : Reason::NoSlot);
        } else {
            runAskTimers(step);
        }
    }
    if (!step.record.verdict) {
        runAttemptTimers(step);
    }
    if (step.record.verdict && step.record.progress) {
        runFinished(step);
    }
    if (!step.record.progress && step.moment.now >= step.record.forgetAt) {
        m_table.erase(step.key);
        return;
    }
    schedule(step);
}

void RequestRunner::runAskTimers(RequestStep step)
{
    auto &progress = step.progress();
    if (progress.askAgainAt && step.moment.now >= *progress.askAgainAt) {
        progress.askAgainAt.reset();
        progress.asksInRound = 0;
        progress.excluded.clear();
        for (const auto &attempt : progress.dispatched) {
            if (attempt.outcome == Outcome::Unknown) {
                progress.excluded.push_back(attempt.upstream);
            }
        }
        askNext(step);
        return;
    }
    if (!progress.ask || step.moment.now < progress.ask->since + AskTimeout) {
        return;
    }
    if (progress.ask->sent >= MaxAskTransmissions) {
        dropAsk(step);
        askNext(step);
        return;
    }
    // The same key again: an owner that has granted it already answers with the same slot.
    ++progress.ask->sent;
    progress.ask->since = step.moment.now;
    step.actions.emplace_back(AskSlot { progress.service,
                                        progress.ask->upstream,
                                        { step.key, progress.ask->number },
                                        progress.slotsEndAt - step.moment.now });
}

void RequestRunner::runAttemptTimers(RequestStep step)
{
    auto &progress = step.progress();
    if (!progress.repeatable) {
        return;
    }
    const auto late = std::ranges::find_if(progress.dispatched, [&](const auto &attempt) {
        return attempt.outcome == Outcome::Unknown && !attempt.overdue
                && step.moment.now >= attempt.since + attemptTimeout(progress);
    });
    if (late != progress.dispatched.end()) {
        late->overdue = true;
        retry(step, Reason::UpstreamTimeout);
    }
}

void RequestRunner::runFinished(RequestStep step)
{
    auto &progress = step.progress();
    if (step.moment.now >= progress.slotsEndAt) {
        for (auto &attempt : progress.dispatched) {
            settle(step, attempt, SlotOutcome::TimedOut);
        }
    }
    if (!progress.holdsSlots() && step.moment.now >= progress.lingerUntil) {
        step.record.progress.reset();
    }
}

void RequestRunner::schedule(RequestStep step)
{
    if (!step.record.progress) {
        m_table.wakeAt(step.key, step.record, step.record.forgetAt);
        return;
    }
    const auto &progress = step.progress();
    if (step.record.verdict) {
        m_table.wakeAt(step.key, step.record,
                       progress.holdsSlots() ? progress.slotsEndAt : progress.lingerUntil);
        return;
    }
    m_table.wakeAt(step.key, step.record, nextTimer(progress));
}

TimePoint RequestRunner::nextTimer(const RequestProgress &progress) const
{
    auto next = progress.deadlineAt;
    if (progress.ask) {
        next = std::min(next, progress.ask->since + AskTimeout);
    }
    if (progress.askAgainAt) {
        next = std::min(next, *progress.askAgainAt);
    }
    for (const auto &attempt : progress.dispatched) {
        if (progress.repeatable && attempt.outcome == Outcome::Unknown && !attempt.overdue) {
            next = std::min(next, attempt.since + attemptTimeout(progress));
        }
    }
    return next;
}

Duration RequestRunner::attemptTimeout(const RequestProgress &progress) const
{
    const Duration usual = m_chooser.roster(progress.service)->usualLatency;
    return std::max(AttemptTimeoutFactor * usual, MinAttemptTimeout);
}

} // namespace banyanwall::request
