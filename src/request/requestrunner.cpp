#include "request/requestrunner.h"

#include "common/hash.h"
#include "version/limits.h"

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

// An owner responds within one round trip between zones. A later response is treated as lost.
constexpr Duration SlotRequestTimeout = milliseconds(60);
constexpr std::uint32_t MaxSlotRequestTransmissions = 2;
// Limits the control traffic of one waiting request.
constexpr std::uint32_t MaxSlotRequestsPerRound = 4;
constexpr Duration FirstBackoff = milliseconds(10);
constexpr Duration MaxBackoff = milliseconds(160);
// In usual latencies: how long an upstream may still run a request after its deadline. A cold
// upstream that has more requests than it can handle takes over ten usual latencies.
constexpr int SlotHoldFactor = 12;
// Time after the verdict within which duplicated grants of a request are released.
constexpr Duration LateGrantTime = std::chrono::seconds(1);

// Low bits of an attempt number, which count the attempts of one coordinator.
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
    // The permit may have expired: the process can have been paused since the permit was set.
    return repeatable || (m_permit.mayDispatchNonRepeatable && wall < m_permit.latestDeadline);
}

void RequestRunner::onSlotAnswer(RequestStep step, SlotKey slot, bool granted)
{
    auto &progress = step.progress();
    if (!progress.slotRequest || progress.slotRequest->number != slot.attempt) {
        releaseStaleGrant(step, slot, granted);
        return;
    }
    const auto slotRequest = *progress.slotRequest;
    if (granted) {
        dispatch(step, slotRequest);
    } else {
        progress.slotRequest.reset();
        m_chooser.avoid(slotRequest.upstream, step.moment.now + UpstreamChooser::AvoidAfterDenial);
        requestNextSlot(step);
    }
    schedule(step);
}

void RequestRunner::releaseStaleGrant(RequestStep step, SlotKey slot, bool granted)
{
    const auto &progress = step.progress();
    const auto *attempt = step.progress().find(slot.attempt);
    const auto index = slot.attempt.value() - m_firstAttempt;
    if (!granted || index >= progress.attemptUpstreams.size()
        || (attempt != nullptr && attempt->holdsSlot)) {
        return;
    }
    // This grant arrived late or twice. Without a release, the slot would be unusable until the
    // grant expires at the owner.
    step.actions.emplace_back(ReleaseSlot { progress.service, progress.attemptUpstreams[index],
                                            slot, SlotOutcome::Unused, Duration() });
}

void RequestRunner::onAnswer(RequestStep step, DispatchedAttempt &attempt, AnswerFragment fragment)
{
    if (step.record.verdict || attempt.outcome != Outcome::Unknown) {
        // The first fragment of an attempt that is no longer needed shows that the upstream has
        // finished it.
        step.actions.emplace_back(CountDrop { Reason::StaleAttempt });
        releaseSlot(step, attempt, SlotOutcome::Answered);
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
    releaseSlot(step, attempt,
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
    abandonSlotRequest(step);
    requestNextSlot(step);
    schedule(step);
}

void RequestRunner::cancel(RequestStep step)
{
    giveUp(step, Reason::Cancelled);
    schedule(step);
}

void RequestRunner::begin(RequestStep step, RequestArrival arrival, WallTime deadline,
                          bool peerMayDispatch)
{
    const auto &roster = *m_chooser.roster(arrival.service);
    const auto remaining = std::min<Duration>(deadline - step.moment.wall, roster.longestRequest);
    auto progress = std::make_unique<RequestProgress>();
    progress->customer = roster.customer;
    progress->service = arrival.service;
    progress->requestId = arrival.requestId;
    progress->repeatable = arrival.repeatable;
    progress->peerMayDispatch = peerMayDispatch;
    progress->deadline = step.moment.wall + std::chrono::duration_cast<milliseconds>(remaining);
    progress->deadlineAt = step.moment.now + remaining;
    progress->slotHoldEndsAt = progress->deadlineAt + SlotHoldFactor * roster.usualLatency;
    progress->payload = std::move(arrival.payload);
    progress->returnToken = std::move(arrival.returnToken);
    progress->backoff = FirstBackoff;
    step.record.progress = std::move(progress);
    m_budget.onRequest();
    requestNextSlot(step);
    schedule(step);
}

void RequestRunner::requestNextSlot(RequestStep step)
{
    auto &progress = step.progress();
    if (!mayDispatch(progress.repeatable, step.moment.wall)) {
        giveUp(step, Reason::LeaseLost);
        return;
    }
    if (m_chooser.activeCount(progress.service) == 0) {
        if (!progress.hasUnknownOutcome()) {
            giveUp(step, Reason::NoUpstream);
        }
        return;
    }
    const auto upstream = progress.slotRequestsInRound < MaxSlotRequestsPerRound
            ? m_chooser.choose(progress.service, progress.excludedInRound, step.moment.now)
            : std::nullopt;
    if (!upstream) {
        progress.nextRoundAt = step.moment.now + m_chooser.jittered(progress.backoff);
        progress.backoff = std::min(2 * progress.backoff, MaxBackoff);
        return;
    }
    ++progress.slotRequestsInRound;
    progress.excludedInRound.push_back(*upstream);
    const auto number =
            m_firstAttempt + static_cast<std::uint32_t>(progress.attemptUpstreams.size());
    progress.attemptUpstreams.push_back(*upstream);
    progress.slotRequest =
            PendingSlotRequest { common::AttemptNumber(number), *upstream, step.moment.now };
    step.actions.emplace_back(RequestSlot { progress.service,
                                            *upstream,
                                            { step.key, progress.slotRequest->number },
                                            progress.slotHoldEndsAt - step.moment.now });
}

void RequestRunner::abandonSlotRequest(RequestStep step)
{
    auto &progress = step.progress();
    if (progress.slotRequest) {
        // The owner may already have sent a grant.
        step.actions.emplace_back(ReleaseSlot { progress.service,
                                                progress.slotRequest->upstream,
                                                { step.key, progress.slotRequest->number },
                                                SlotOutcome::Unused,
                                                Duration() });
        progress.slotRequest.reset();
    }
}

void RequestRunner::dispatch(RequestStep step, const PendingSlotRequest &slotRequest)
{
    auto &progress = step.progress();
    if (!mayDispatch(progress.repeatable, step.moment.wall)) {
        giveUp(step, Reason::LeaseLost);
        return;
    }
    if (step.moment.now + m_chooser.roster(progress.service)->usualLatency >= progress.deadlineAt) {
        // The answer would arrive after the deadline, and a dispatch would change the verdict from
        // NotRun to MayHaveRun.
        giveUp(step, progress.hasUnknownOutcome() ? Reason::UpstreamTimeout : Reason::NoSlot);
        return;
    }
    if (!m_chooser.isActive(progress.service, slotRequest.upstream)) {
        abandonSlotRequest(step);
        requestNextSlot(step);
        return;
    }
    progress.slotRequest.reset();
    DispatchedAttempt attempt;
    attempt.number = slotRequest.number;
    attempt.upstream = slotRequest.upstream;
    attempt.dispatchedAt = step.moment.now;
    progress.dispatched.push_back(std::move(attempt));
    m_chooser.onDispatched(slotRequest.upstream);
    const auto deadline = progress.repeatable
            ? progress.deadline
            : std::min(progress.deadline, m_permit.latestDeadline);
    step.actions.emplace_back(DispatchRequest { progress.service,
                                                slotRequest.upstream,
                                                { step.key, slotRequest.number },
                                                progress.requestId,
                                                progress.repeatable,
                                                deadline,
                                                progress.payload,
                                                progress.returnToken });
}

bool RequestRunner::ensureRetry(RequestStep step, Reason reason)
{
    auto &progress = step.progress();
    if (progress.slotRequest || progress.nextRoundAt) {
        return true;
    }
    if (!m_budget.tryStart(progress.retries)) {
        return false;
    }
    ++progress.retries;
    step.actions.emplace_back(CountRetry { reason });
    progress.slotRequestsInRound = 0;
    progress.excludedInRound.clear();
    std::ranges::transform(progress.dispatched, std::back_inserter(progress.excludedInRound),
                           &DispatchedAttempt::upstream);
    requestNextSlot(step);
    return true;
}

void RequestRunner::retryOrGiveUp(RequestStep step, Reason reason)
{
    const bool mayRetry =
            step.progress().repeatable || step.progress().verdict() == Verdict::NotRun;
    if (!mayRetry) {
        giveUp(step, reason);
    } else if (!ensureRetry(step, reason) && !step.progress().hasUnknownOutcome()) {
        giveUp(step, Reason::RetryBudgetExhausted);
    }
}

void RequestRunner::takeFragment(RequestStep step, DispatchedAttempt &attempt,
                                 AnswerFragment fragment)
{
    auto result = attempt.assembler.add(std::move(fragment));
    if (auto *complete = std::get_if<AnswerAssembler::Complete>(&result)) {
        attempt.outcome = Outcome::Answered;
        releaseSlot(step, attempt, SlotOutcome::Answered);
        deliver(step, attempt, std::move(complete->payload));
        return;
    }
    const auto *rejected = std::get_if<AnswerAssembler::Rejected>(&result);
    if (rejected == nullptr) {
        return;
    }
    step.actions.emplace_back(CountDrop { rejected->reason });
    if (rejected->isAnswerInvalid) {
        attempt.outcome = Outcome::Invalid;
        releaseSlot(step, attempt, SlotOutcome::Answered);
        retryOrGiveUp(step, rejected->reason);
    }
}

void RequestRunner::releaseSlot(RequestStep step, DispatchedAttempt &attempt, SlotOutcome outcome)
{
    if (!std::exchange(attempt.holdsSlot, false)) {
        return;
    }
    m_chooser.onSlotReleased(attempt.upstream);
    step.actions.emplace_back(ReleaseSlot { step.progress().service,
                                            attempt.upstream,
                                            { step.key, attempt.number },
                                            outcome,
                                            step.moment.now - attempt.dispatchedAt });
}

void RequestRunner::deliver(RequestStep step, const DispatchedAttempt &attempt, std::string payload)
{
    step.record.verdict = Verdict::Completed;
    step.record.answerAttempt = attempt.number;
    step.actions.emplace_back(DeliverAnswer { step.progress().requestId, attempt.number, payload,
                                              step.progress().returnToken });
    m_table.storeAnswer(step.key, step.record, std::move(payload));
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
    abandonSlotRequest(step);
    progress.nextRoundAt.reset();
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
    progress.lateGrantsUntil = step.moment.now + LateGrantTime;
}

void RequestRunner::runTimers(RequestStep step)
{
    if (!step.record.verdict) {
        auto &progress = step.progress();
        if (step.moment.now >= progress.deadlineAt) {
            giveUp(step, progress.hasUnknownOutcome() ? Reason::UpstreamTimeout : Reason::NoSlot);
        } else {
            runSlotRequestTimers(step);
        }
    }
    if (!step.record.verdict) {
        runAttemptTimers(step);
    }
    if (step.record.verdict && step.record.progress) {
        runFinishedTimers(step);
    }
    if (!step.record.progress && step.moment.now >= step.record.removeAt) {
        m_table.erase(step.key);
        return;
    }
    schedule(step);
}

void RequestRunner::runSlotRequestTimers(RequestStep step)
{
    auto &progress = step.progress();
    if (progress.nextRoundAt && step.moment.now >= *progress.nextRoundAt) {
        progress.nextRoundAt.reset();
        progress.slotRequestsInRound = 0;
        progress.excludedInRound.clear();
        for (const auto &attempt : progress.dispatched) {
            if (attempt.outcome == Outcome::Unknown) {
                progress.excludedInRound.push_back(attempt.upstream);
            }
        }
        requestNextSlot(step);
        return;
    }
    if (!progress.slotRequest
        || step.moment.now < progress.slotRequest->sentAt + SlotRequestTimeout) {
        return;
    }
    if (progress.slotRequest->transmissions >= MaxSlotRequestTransmissions) {
        abandonSlotRequest(step);
        requestNextSlot(step);
        return;
    }
    // Same slot key: an owner that has already granted it answers with the same slot.
    ++progress.slotRequest->transmissions;
    progress.slotRequest->sentAt = step.moment.now;
    step.actions.emplace_back(RequestSlot { progress.service,
                                            progress.slotRequest->upstream,
                                            { step.key, progress.slotRequest->number },
                                            progress.slotHoldEndsAt - step.moment.now });
}

void RequestRunner::runAttemptTimers(RequestStep step)
{
    auto &progress = step.progress();
    if (!progress.repeatable) {
        return;
    }
    const auto overdueAttempt = std::ranges::find_if(progress.dispatched, [&](const auto &attempt) {
        return attempt.outcome == Outcome::Unknown && !attempt.timeoutHandled
                && step.moment.now >= attempt.dispatchedAt + attemptTimeout(progress);
    });
    if (overdueAttempt != progress.dispatched.end()) {
        overdueAttempt->timeoutHandled = true;
        ensureRetry(step, Reason::UpstreamTimeout);
    }
}

void RequestRunner::runFinishedTimers(RequestStep step)
{
    auto &progress = step.progress();
    if (step.moment.now >= progress.slotHoldEndsAt) {
        for (auto &attempt : progress.dispatched) {
            releaseSlot(step, attempt, SlotOutcome::TimedOut);
        }
    }
    if (!progress.holdsSlots() && step.moment.now >= progress.lateGrantsUntil) {
        step.record.progress.reset();
    }
}

void RequestRunner::schedule(RequestStep step)
{
    if (!step.record.progress) {
        m_table.scheduleTimer(step.key, step.record, step.record.removeAt);
        return;
    }
    const auto &progress = step.progress();
    if (step.record.verdict) {
        m_table.scheduleTimer(step.key, step.record,
                              progress.holdsSlots() ? progress.slotHoldEndsAt
                                                    : progress.lateGrantsUntil);
        return;
    }
    m_table.scheduleTimer(step.key, step.record, nextTimer(progress));
}

TimePoint RequestRunner::nextTimer(const RequestProgress &progress) const
{
    auto next = progress.deadlineAt;
    if (progress.slotRequest) {
        next = std::min(next, progress.slotRequest->sentAt + SlotRequestTimeout);
    }
    if (progress.nextRoundAt) {
        next = std::min(next, *progress.nextRoundAt);
    }
    for (const auto &attempt : progress.dispatched) {
        if (progress.repeatable && attempt.outcome == Outcome::Unknown && !attempt.timeoutHandled) {
            next = std::min(next, attempt.dispatchedAt + attemptTimeout(progress));
        }
    }
    return next;
}

Duration RequestRunner::attemptTimeout(const RequestProgress &progress) const
{
    return version::attemptTimeout(m_chooser.roster(progress.service)->usualLatency);
}

} // namespace banyanwall::request
