#include "request/coordinator.h"

#include "request/admission.h"
#include "request/requestrunner.h"
#include "request/requesttable.h"
#include "request/takeoverfence.h"
#include "request/upstreamchooser.h"

#include <algorithm>
#include <utility>

namespace banyanwall::request {

using common::Duration;
using common::Reason;
using common::TimePoint;
using common::Verdict;
using common::WallTime;
using connection::SlotKey;

namespace {

using std::chrono::milliseconds;

// The longest request of a service whose roster is not known, now or in a later version.
constexpr milliseconds UnknownLongestRequest = std::chrono::seconds(60);
// A request from further in the future would need a marker for too long.
constexpr Duration MaxIssuedAhead = std::chrono::seconds(10);

// A process that saw no event, not even a tick, for this long was paused; its peers declare it dead
// after five seconds without a sign of life.
constexpr Duration LongestSilence = std::chrono::seconds(2);
// After a lapse of the permit, other instances may act on a view without this one for as long as it
// takes them to become stale, with reserve.
constexpr Duration RejoinTime = milliseconds(2'500);

RequestActions refusal(const RequestArrival &arrival, Verdict verdict, Reason reason)
{
    return { RefuseRequest { arrival.requestId, verdict, reason, arrival.returnToken } };
}

} // namespace

struct Coordinator::State
{
    explicit State(std::uint64_t seed)
        : chooser(seed)
        , table(MaxStoredBytes)
        , runner(chooser, table, admission, seed)
    { }

    /// Notices a pause of the process and the end or return of the permit; called with each event.
    void observe(Moment moment);
    void observePermit(WallTime wall);
    void noteIsolation(WallTime wall);
    void markForeign(const std::function<bool(common::RequestKey)> &selects);
    /// Why another instance may have dispatched an unknown request; empty when none can have.
    [[nodiscard]] std::optional<Reason> foreignReason(const RequestArrival &arrival) const;
    [[nodiscard]] bool isForeign(const RequestArrival &arrival) const;
    [[nodiscard]] WallTime effectiveDeadline(const RequestArrival &arrival) const;
    /// Until when a copy of the request could be accepted, also after an edit of the contract that
    /// allows longer requests.
    [[nodiscard]] WallTime lastRunTime(const RequestArrival &arrival) const;
    [[nodiscard]] std::optional<Reason> reasonToRefuse(const RequestArrival &arrival,
                                                       Moment moment);
    [[nodiscard]] RequestActions accept(RequestArrival arrival, WallTime deadline, bool foreign,
                                        Moment moment);
    [[nodiscard]] static RequestActions repeatStored(RequestRecord &record,
                                                     const RequestArrival &arrival);
    [[nodiscard]] static DispatchedAttempt *findAttempt(RequestRecord *record,
                                                        common::AttemptNumber number);

    UpstreamChooser chooser;
    RequestTable table;
    Admission admission;
    RequestRunner runner;
    TakeoverFence fence;
    DispatchPermit permit;
    /// Repeatable requests issued before may be run by a successor.
    std::optional<WallTime> isolatedUntil;
    std::optional<TimePoint> lastEvent;
    /// End of the permit that was valid at the last event.
    std::optional<WallTime> permitEnd;
    /// Set while there is no valid permit although there was one.
    std::optional<WallTime> lapsedSince;
    bool shuttingDown = false;
};

void Coordinator::State::observe(Moment moment)
{
    if (lastEvent && moment.now - *lastEvent > LongestSilence) {
        noteIsolation(moment.wall);
    }
    lastEvent = moment.now;
    observePermit(moment.wall);
}

void Coordinator::State::noteIsolation(WallTime wall)
{
    if (!isolatedUntil || wall >= *isolatedUntil) {
        markForeign([](common::RequestKey) { return true; });
    }
    isolatedUntil = wall + std::chrono::duration_cast<milliseconds>(RejoinTime);
}

void Coordinator::State::markForeign(const std::function<bool(common::RequestKey)> &selects)
{
    for (const auto &[key, record] : table.records()) {
        // A successor leaves non-repeatable requests alone.
        if (!record.verdict && record.progress->repeatable && selects(key)) {
            record.progress->foreign = true;
        }
    }
}

void Coordinator::State::observePermit(WallTime wall)
{
    const bool valid = permit.fenced && wall < permit.latestDeadline;
    // The permit may have ended and come back between two events, when the process was paused.
    const bool ended = permitEnd && (!valid || wall >= *permitEnd);
    if (ended && !lapsedSince) {
        lapsedSince = std::min(wall, *permitEnd);
    }
    if (valid && lapsedSince) {
        fence.add(wall, wall + std::chrono::duration_cast<milliseconds>(RejoinTime), {});
        lapsedSince.reset();
    }
    permitEnd = valid ? std::optional(permit.latestDeadline) : std::nullopt;
}

std::optional<Reason> Coordinator::State::foreignReason(const RequestArrival &arrival) const
{
    const auto origin = fence.foreignOrigin(arrival.key, arrival.issued);
    if (origin) {
        return *origin == TakeoverFence::Origin::BeforeTakeover ? Reason::IssuedBeforeTakeover
                                                                : Reason::AwaitingTakeover;
    }
    // A successor leaves alone what was issued before the end of the permit, but not what came
    // after it.
    if (lapsedSince && arrival.issued + TakeoverFence::CallerClockBound > *lapsedSince) {
        return Reason::LeaseLost;
    }
    return std::nullopt;
}

bool Coordinator::State::isForeign(const RequestArrival &arrival) const
{
    const bool isolated =
            isolatedUntil && arrival.issued < *isolatedUntil + TakeoverFence::CallerClockBound;
    return foreignReason(arrival) || (arrival.repeatable && isolated);
}

WallTime Coordinator::State::effectiveDeadline(const RequestArrival &arrival) const
{
    const auto *roster = chooser.roster(arrival.service);
    const auto longest = roster == nullptr ? UnknownLongestRequest : roster->longestRequest;
    return std::min(arrival.deadline, arrival.issued + longest);
}

std::optional<Reason> Coordinator::State::reasonToRefuse(const RequestArrival &arrival,
                                                         Moment moment)
{
    if (!runner.mayDispatch(arrival.repeatable, moment.wall)) {
        return Reason::LeaseLost;
    }
    if (shuttingDown) {
        return Reason::ShuttingDown;
    }
    const auto *roster = chooser.roster(arrival.service);
    if (roster == nullptr) {
        return Reason::UnknownService;
    }
    if (chooser.activeCount(arrival.service) == 0) {
        return Reason::NoUpstream;
    }
    return admission.admit(roster->customer, arrival.service, moment.now);
}

WallTime Coordinator::State::lastRunTime(const RequestArrival &arrival) const
{
    const auto *roster = chooser.roster(arrival.service);
    const auto longest = roster == nullptr
            ? UnknownLongestRequest
            : std::max(UnknownLongestRequest, roster->longestRequest);
    return std::min(arrival.deadline, arrival.issued + longest);
}

RequestActions Coordinator::State::repeatStored(RequestRecord &record,
                                                const RequestArrival &arrival)
{
    if (!record.verdict) {
        // The duplicate may have come over a newer path to the caller.
        record.progress->returnToken = arrival.returnToken;
        return {};
    }
    if (record.answer) {
        return { DeliverAnswer { arrival.requestId, record.attempt, *record.answer,
                                 arrival.returnToken } };
    }
    if (*record.verdict == Verdict::Completed) {
        return refusal(arrival, Verdict::MayHaveRun, Reason::AnswerDropped);
    }
    return refusal(arrival, *record.verdict, record.reason);
}

RequestActions Coordinator::State::accept(RequestArrival arrival, WallTime deadline, bool foreign,
                                          Moment moment)
{
    if (table.size() >= MaxKnown) {
        return { CountDrop { Reason::TooManyRequests } };
    }
    const auto reason = reasonToRefuse(arrival, moment);
    auto &record = table.add(arrival.key);
    record.forgetAt = moment.now + (lastRunTime(arrival) - moment.wall) + ForgetAfter;
    RequestActions actions;
    const RequestStep step { arrival.key, record, moment, actions };
    if (reason) {
        record.verdict = foreign ? Verdict::MayHaveRun : Verdict::NotRun;
        record.reason = *reason;
        actions = refusal(arrival, *record.verdict, *reason);
        runner.schedule(step);
        return actions;
    }
    runner.begin(step, std::move(arrival), deadline, foreign);
    return actions;
}

DispatchedAttempt *Coordinator::State::findAttempt(RequestRecord *record,
                                                   common::AttemptNumber number)
{
    return record == nullptr || !record->progress ? nullptr : record->progress->find(number);
}

Coordinator::Coordinator(std::uint64_t seed)
    : m_state(std::make_unique<State>(seed))
{ }

Coordinator::~Coordinator() = default;

void Coordinator::applyRoster(const version::ServiceRoster &roster)
{
    if (m_state->chooser.applyRoster(roster)) {
        m_state->admission.setRate(roster.service, roster.requestsPerSecond);
    }
}

void Coordinator::setTakeover(WallTime takeover, WallTime fenceEnd)
{
    setTakeover(takeover, fenceEnd, {});
}

void Coordinator::setTakeover(WallTime takeover, WallTime fenceEnd,
                              std::function<bool(common::RequestKey)> gained)
{
    m_state->fence.add(takeover, fenceEnd, std::move(gained));
}

void Coordinator::setKeysLost(const std::function<bool(common::RequestKey)> &lost)
{
    m_state->markForeign(lost);
}

void Coordinator::noteIsolation(WallTime now)
{
    m_state->noteIsolation(now);
}

void Coordinator::setPermit(const DispatchPermit &permit)
{
    m_state->permit = permit;
    m_state->runner.setPermit(permit);
}

void Coordinator::setInstances(std::uint32_t instances)
{
    m_state->admission.setInstances(instances);
}

void Coordinator::setInProgressBound(std::size_t bound)
{
    m_state->admission.setInProgressBound(bound);
}

void Coordinator::setLoadHint(common::UpstreamId upstream, std::uint32_t load)
{
    m_state->chooser.setLoadHint(upstream, load);
}

void Coordinator::beginShutdown()
{
    m_state->shuttingDown = true;
}

RequestActions Coordinator::onRequest(RequestArrival arrival, Moment moment)
{
    m_state->observe(moment);
    if (auto *known = m_state->table.find(arrival.key); known != nullptr) {
        return m_state->repeatStored(*known, arrival);
    }
    if (arrival.issued > moment.wall + MaxIssuedAhead) {
        return { CountDrop { Reason::MalformedPacket } };
    }
    if (const auto foreign = m_state->foreignReason(arrival); foreign && !arrival.repeatable) {
        return refusal(arrival, Verdict::MayHaveRun, *foreign);
    }
    const bool foreign = m_state->isForeign(arrival);
    const auto deadline = m_state->effectiveDeadline(arrival);
    if (moment.wall >= deadline) {
        // Past ForgetAfter its marker may be gone, so that it may have run here.
        const bool mayHaveRun = foreign || moment.wall >= deadline + ForgetAfter;
        return refusal(arrival, mayHaveRun ? Verdict::MayHaveRun : Verdict::NotRun,
                       Reason::DeadlineExceeded);
    }
    return m_state->accept(std::move(arrival), deadline, foreign, moment);
}

RequestActions Coordinator::onCancel(common::RequestKey key, Moment moment)
{
    m_state->observe(moment);
    auto *record = m_state->table.find(key);
    if (record == nullptr || record->verdict) {
        return { CountDrop { Reason::Cancelled } };
    }
    RequestActions actions;
    m_state->runner.cancel({ key, *record, moment, actions });
    return actions;
}

RequestActions Coordinator::onSlotAnswer(SlotKey slot, bool granted, Moment moment)
{
    m_state->observe(moment);
    auto *record = m_state->table.find(slot.request);
    if (record == nullptr || !record->progress) {
        return { CountDrop { Reason::StaleAttempt } };
    }
    RequestActions actions;
    m_state->runner.onSlotAnswer({ slot.request, *record, moment, actions }, slot, granted);
    return actions;
}

RequestActions Coordinator::onAnswer(AnswerFragment fragment, Moment moment)
{
    m_state->observe(moment);
    auto *record = m_state->table.find(fragment.key);
    auto *attempt = m_state->findAttempt(record, fragment.attempt);
    if (attempt == nullptr) {
        return { CountDrop { Reason::StaleAttempt } };
    }
    RequestActions actions;
    const RequestStep step { fragment.key, *record, moment, actions };
    m_state->runner.onAnswer(step, *attempt, std::move(fragment));
    return actions;
}

RequestActions Coordinator::onRefusal(SlotKey slot, DispatchRefusal refusal, Moment moment)
{
    m_state->observe(moment);
    auto *record = m_state->table.find(slot.request);
    auto *attempt = m_state->findAttempt(record, slot.attempt);
    if (attempt == nullptr) {
        return { CountDrop { Reason::StaleAttempt } };
    }
    RequestActions actions;
    m_state->runner.onRefusal({ slot.request, *record, moment, actions }, *attempt, refusal);
    return actions;
}

RequestActions Coordinator::onOwnerChange(common::UpstreamId upstream, Moment moment)
{
    m_state->observe(moment);
    std::vector<common::RequestKey> asking;
    for (const auto &[key, record] : m_state->table.records()) {
        if (record.progress && record.progress->ask && record.progress->ask->upstream == upstream) {
            asking.push_back(key);
        }
    }
    RequestActions actions;
    for (const auto key : asking) {
        m_state->runner.onOwnerChange({ key, *m_state->table.find(key), moment, actions });
    }
    return actions;
}

RequestActions Coordinator::onTick(Moment moment)
{
    // Twice the longest request covers callers whose clock is behind.
    m_state->observe(moment);
    m_state->fence.forget(moment.wall - 2 * UnknownLongestRequest);
    RequestActions actions;
    while (const auto key = m_state->table.takeDue(moment.now)) {
        m_state->runner.runTimers({ *key, *m_state->table.find(*key), moment, actions });
    }
    return actions;
}

bool Coordinator::knows(common::RequestKey key) const
{
    return m_state->table.find(key) != nullptr;
}

std::size_t Coordinator::inProgress() const
{
    return m_state->admission.inProgress();
}

std::vector<SlotKey> Coordinator::heldSlots(common::UpstreamId upstream) const
{
    std::vector<SlotKey> held;
    for (const auto &[key, record] : m_state->table.records()) {
        if (!record.progress) {
            continue;
        }
        for (const auto &attempt : record.progress->dispatched) {
            if (attempt.slotHeld && attempt.upstream == upstream) {
                held.push_back({ key, attempt.number });
            }
        }
    }
    return held;
}

std::size_t Coordinator::remembered() const
{
    return m_state->table.size() - m_state->admission.inProgress();
}

} // namespace banyanwall::request
