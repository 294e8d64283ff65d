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

// Longest duration of a request when the roster of its service is unknown, or when a later version
// of the contract may allow longer requests than now.
constexpr milliseconds AssumedLongestRequest = std::chrono::seconds(60);
// A request issued further in the future is dropped, because its marker would be kept too long.
constexpr Duration MaxIssuedAhead = std::chrono::seconds(10);

// A process that handled no event, not even a tick, for this long was paused. Its peers declare it
// dead after five seconds without a message.
constexpr Duration MaxEventGap = std::chrono::seconds(2);
// After the permit was renewed or the isolation of this instance ended, peers may still use a
// membership view without this instance for this long: the time until such a view becomes stale,
// plus a reserve.
constexpr Duration StaleViewTime = milliseconds(2'500);

RequestActions refusal(const RequestArrival &arrival, Verdict verdict, Reason reason)
{
    return { RefuseRequest { arrival.requestId, verdict, reason, arrival.returnToken } };
}

} // namespace

struct Coordinator::State
{
    explicit State(std::uint64_t seed)
        : chooser(seed)
        , table(MaxStoredAnswerBytes)
        , runner(chooser, table, admission, seed)
    { }

    /// Detects a pause of the process and the end or return of the permit. Called with each event.
    void onEvent(Moment moment);
    void updatePermitState(WallTime wall);
    void onIsolated(WallTime wall);
    void markPeerMayDispatch(const std::function<bool(common::RequestKey)> &isSelected);
    /// Why a peer may have dispatched an unknown request. Empty when no peer can have.
    [[nodiscard]] std::optional<Reason> peerDispatchReason(const RequestArrival &arrival) const;
    [[nodiscard]] bool mayBeDispatchedByPeer(const RequestArrival &arrival) const;
    [[nodiscard]] WallTime effectiveDeadline(const RequestArrival &arrival) const;
    /// Latest time at which a retransmission of the request could be accepted, also after an edit
    /// of the contract that allows longer requests.
    [[nodiscard]] WallTime latestAcceptTime(const RequestArrival &arrival) const;
    [[nodiscard]] std::optional<Reason> reasonToRefuse(const RequestArrival &arrival,
                                                       Moment moment);
    [[nodiscard]] RequestActions accept(RequestArrival arrival, WallTime deadline,
                                        bool peerMayDispatch, Moment moment);
    [[nodiscard]] static RequestActions answerDuplicate(RequestRecord &record,
                                                        const RequestArrival &arrival);
    [[nodiscard]] static DispatchedAttempt *findAttempt(RequestRecord *record,
                                                        common::AttemptNumber number);

    UpstreamChooser chooser;
    RequestTable table;
    Admission admission;
    RequestRunner runner;
    TakeoverFence fence;
    DispatchPermit permit;
    /// A successor may run repeatable requests that were issued before this time.
    std::optional<WallTime> isolatedUntil;
    std::optional<TimePoint> lastEventAt;
    /// End of the permit that was valid at the last event.
    std::optional<WallTime> permitEnd;
    /// Set while no permit is valid although one was before.
    std::optional<WallTime> permitExpiredAt;
    bool isShuttingDown = false;
};

void Coordinator::State::onEvent(Moment moment)
{
    if (lastEventAt && moment.now - *lastEventAt > MaxEventGap) {
        onIsolated(moment.wall);
    }
    lastEventAt = moment.now;
    updatePermitState(moment.wall);
}

void Coordinator::State::onIsolated(WallTime wall)
{
    if (!isolatedUntil || wall >= *isolatedUntil) {
        markPeerMayDispatch([](common::RequestKey) { return true; });
    }
    isolatedUntil = wall + std::chrono::duration_cast<milliseconds>(StaleViewTime);
}

void Coordinator::State::markPeerMayDispatch(
        const std::function<bool(common::RequestKey)> &isSelected)
{
    for (const auto &[key, record] : table.records()) {
        // A successor does not run non-repeatable requests.
        if (!record.verdict && record.progress->repeatable && isSelected(key)) {
            record.progress->peerMayDispatch = true;
        }
    }
}

void Coordinator::State::updatePermitState(WallTime wall)
{
    const bool isValid = permit.mayDispatchNonRepeatable && wall < permit.latestDeadline;
    // While the process was paused, the permit may have ended and been renewed between two events.
    const bool hasEnded = permitEnd && (!isValid || wall >= *permitEnd);
    if (hasEnded && !permitExpiredAt) {
        permitExpiredAt = std::min(wall, *permitEnd);
    }
    if (isValid && permitExpiredAt) {
        fence.add(wall, wall + std::chrono::duration_cast<milliseconds>(StaleViewTime), {});
        permitExpiredAt.reset();
    }
    permitEnd = isValid ? std::optional(permit.latestDeadline) : std::nullopt;
}

std::optional<Reason> Coordinator::State::peerDispatchReason(const RequestArrival &arrival) const
{
    const auto period = fence.peerDispatchPeriod(arrival.key, arrival.issued);
    if (period) {
        return *period == TakeoverFence::IssuePeriod::BeforeTakeover ? Reason::IssuedBeforeTakeover
                                                                     : Reason::AwaitingTakeover;
    }
    // A successor does not run non-repeatable requests issued before the end of the permit, but it
    // may have dispatched later ones.
    if (permitExpiredAt && arrival.issued + TakeoverFence::CallerClockMargin > *permitExpiredAt) {
        return Reason::LeaseLost;
    }
    return std::nullopt;
}

bool Coordinator::State::mayBeDispatchedByPeer(const RequestArrival &arrival) const
{
    const bool isIsolated =
            isolatedUntil && arrival.issued < *isolatedUntil + TakeoverFence::CallerClockMargin;
    return peerDispatchReason(arrival) || (arrival.repeatable && isIsolated);
}

WallTime Coordinator::State::effectiveDeadline(const RequestArrival &arrival) const
{
    const auto *roster = chooser.roster(arrival.service);
    const auto longest = roster == nullptr ? AssumedLongestRequest : roster->longestRequest;
    return std::min(arrival.deadline, arrival.issued + longest);
}

std::optional<Reason> Coordinator::State::reasonToRefuse(const RequestArrival &arrival,
                                                         Moment moment)
{
    if (!runner.mayDispatch(arrival.repeatable, moment.wall)) {
        return Reason::LeaseLost;
    }
    if (isShuttingDown) {
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

WallTime Coordinator::State::latestAcceptTime(const RequestArrival &arrival) const
{
    const auto *roster = chooser.roster(arrival.service);
    const auto longest = roster == nullptr
            ? AssumedLongestRequest
            : std::max(AssumedLongestRequest, roster->longestRequest);
    return std::min(arrival.deadline, arrival.issued + longest);
}

RequestActions Coordinator::State::answerDuplicate(RequestRecord &record,
                                                   const RequestArrival &arrival)
{
    if (!record.verdict) {
        // The duplicate may carry a newer return path to the caller.
        record.progress->returnToken = arrival.returnToken;
        return {};
    }
    if (record.answer) {
        return { DeliverAnswer { arrival.requestId, record.answerAttempt, *record.answer,
                                 arrival.returnToken } };
    }
    if (*record.verdict == Verdict::Completed) {
        return refusal(arrival, Verdict::MayHaveRun, Reason::AnswerDropped);
    }
    return refusal(arrival, *record.verdict, record.reason);
}

RequestActions Coordinator::State::accept(RequestArrival arrival, WallTime deadline,
                                          bool peerMayDispatch, Moment moment)
{
    if (table.size() >= MaxKnownRequests) {
        return { CountDrop { Reason::TooManyRequests } };
    }
    const auto reason = reasonToRefuse(arrival, moment);
    auto &record = table.add(arrival.key);
    record.removeAt = moment.now + (latestAcceptTime(arrival) - moment.wall) + MarkerRetention;
    RequestActions actions;
    const RequestStep step { arrival.key, record, moment, actions };
    if (reason) {
        record.verdict = peerMayDispatch ? Verdict::MayHaveRun : Verdict::NotRun;
        record.reason = *reason;
        actions = refusal(arrival, *record.verdict, *reason);
        runner.schedule(step);
        return actions;
    }
    runner.begin(step, std::move(arrival), deadline, peerMayDispatch);
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
                              std::function<bool(common::RequestKey)> isGained)
{
    m_state->fence.add(takeover, fenceEnd, std::move(isGained));
}

void Coordinator::setKeysLost(const std::function<bool(common::RequestKey)> &isLost)
{
    m_state->markPeerMayDispatch(isLost);
}

void Coordinator::onIsolated(WallTime now)
{
    m_state->onIsolated(now);
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

void Coordinator::setReportedLoad(common::UpstreamId upstream, std::uint32_t load)
{
    m_state->chooser.setReportedLoad(upstream, load);
}

void Coordinator::beginShutdown()
{
    m_state->isShuttingDown = true;
}

RequestActions Coordinator::onRequest(RequestArrival arrival, Moment moment)
{
    m_state->onEvent(moment);
    if (auto *known = m_state->table.find(arrival.key); known != nullptr) {
        return m_state->answerDuplicate(*known, arrival);
    }
    if (arrival.issued > moment.wall + MaxIssuedAhead) {
        return { CountDrop { Reason::MalformedPacket } };
    }
    if (const auto reason = m_state->peerDispatchReason(arrival); reason && !arrival.repeatable) {
        return refusal(arrival, Verdict::MayHaveRun, *reason);
    }
    const bool peerMayDispatch = m_state->mayBeDispatchedByPeer(arrival);
    const auto deadline = m_state->effectiveDeadline(arrival);
    if (moment.wall >= deadline) {
        // The marker may be removed MarkerRetention after the deadline. An unknown request that
        // arrives later may therefore have run here.
        const bool mayHaveRun = peerMayDispatch || moment.wall >= deadline + MarkerRetention;
        return refusal(arrival, mayHaveRun ? Verdict::MayHaveRun : Verdict::NotRun,
                       Reason::DeadlineExceeded);
    }
    return m_state->accept(std::move(arrival), deadline, peerMayDispatch, moment);
}

RequestActions Coordinator::onCancel(common::RequestKey key, Moment moment)
{
    m_state->onEvent(moment);
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
    m_state->onEvent(moment);
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
    m_state->onEvent(moment);
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
    m_state->onEvent(moment);
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
    m_state->onEvent(moment);
    std::vector<common::RequestKey> affected;
    for (const auto &[key, record] : m_state->table.records()) {
        if (record.progress && record.progress->slotRequest
            && record.progress->slotRequest->upstream == upstream) {
            affected.push_back(key);
        }
    }
    RequestActions actions;
    for (const auto key : affected) {
        m_state->runner.onOwnerChange({ key, *m_state->table.find(key), moment, actions });
    }
    return actions;
}

RequestActions Coordinator::onTick(Moment moment)
{
    m_state->onEvent(moment);
    // Twice the longest request also covers callers whose clocks are behind.
    m_state->fence.removeExpired(moment.wall - 2 * AssumedLongestRequest);
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
    std::vector<SlotKey> slots;
    for (const auto &[key, record] : m_state->table.records()) {
        if (!record.progress) {
            continue;
        }
        for (const auto &attempt : record.progress->dispatched) {
            if (attempt.holdsSlot && attempt.upstream == upstream) {
                slots.push_back({ key, attempt.number });
            }
        }
    }
    return slots;
}

std::size_t Coordinator::finishedCount() const
{
    return m_state->table.size() - m_state->admission.inProgress();
}

} // namespace banyanwall::request
