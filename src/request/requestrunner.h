#pragma once

#include "request/admission.h"
#include "request/coordinator.h"
#include "request/requesttable.h"
#include "request/retrybudget.h"
#include "request/upstreamchooser.h"

namespace banyanwall::request {

/// A record, the time of the event that concerns it, and the actions that result.
struct RequestStep
{
    common::RequestKey key;
    RequestRecord &record;
    Moment moment;
    RequestActions &actions;

    [[nodiscard]] RequestProgress &progress() const { return *record.progress; }
};

/// Runs one request from its admission to its verdict: slots, dispatches, retries, answers and
/// timers. The coordinator looks up the requests and decides whether new ones are accepted.
class RequestRunner
{
public:
    /// seed makes the attempt numbers of coordinators differ. If a successor reused the numbers of
    /// its predecessor, owners would grant it the predecessor's slots, and upstreams would treat
    /// its dispatches as duplicates.
    RequestRunner(UpstreamChooser &chooser, RequestTable &table, Admission &admission,
                  std::uint64_t seed);

    void setPermit(const DispatchPermit &permit);
    [[nodiscard]] bool mayDispatch(bool repeatable, common::WallTime wall) const;

    /// Starts an admitted request. peerMayDispatch: another instance may have dispatched it.
    void begin(RequestStep step, RequestArrival arrival, common::WallTime deadline,
               bool peerMayDispatch);
    void onSlotAnswer(RequestStep step, connection::SlotKey slot, bool granted);
    void onAnswer(RequestStep step, DispatchedAttempt &attempt, AnswerFragment fragment);
    void onRefusal(RequestStep step, DispatchedAttempt &attempt, DispatchRefusal refusal);
    /// The owner of the upstream from which a slot is requested has changed.
    void onOwnerChange(RequestStep step);
    void cancel(RequestStep step);
    /// Handles the timers that are due. May erase the record.
    void runTimers(RequestStep step);
    /// Queues the next timer of the request.
    void schedule(RequestStep step);

private:
    void requestNextSlot(RequestStep step);
    void abandonSlotRequest(RequestStep step);
    void releaseStaleGrant(RequestStep step, connection::SlotKey slot, bool granted);
    void dispatch(RequestStep step, const PendingSlotRequest &slotRequest);
    bool ensureRetry(RequestStep step, common::Reason reason);
    void retryOrGiveUp(RequestStep step, common::Reason reason);
    void takeFragment(RequestStep step, DispatchedAttempt &attempt, AnswerFragment fragment);
    void releaseSlot(RequestStep step, DispatchedAttempt &attempt, connection::SlotOutcome outcome);
    void deliver(RequestStep step, const DispatchedAttempt &attempt, std::string payload);
    void giveUp(RequestStep step, common::Reason reason);
    void finish(RequestStep step);
    void runSlotRequestTimers(RequestStep step);
    void runAttemptTimers(RequestStep step);
    void runFinishedTimers(RequestStep step);
    [[nodiscard]] common::TimePoint nextTimer(const RequestProgress &progress) const;
    [[nodiscard]] common::Duration attemptTimeout(const RequestProgress &progress) const;

    UpstreamChooser &m_chooser;
    RequestTable &m_table;
    Admission &m_admission;
    std::uint32_t m_firstAttempt;
    RetryBudget m_budget;
    DispatchPermit m_permit;
};

} // namespace banyanwall::request
