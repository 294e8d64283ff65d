#pragma once

#include "common/ids.h"
#include "common/reason.h"
#include "common/time.h"
#include "common/verdict.h"
#include "request/answerassembler.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace banyanwall::request {

/// One dispatch of a request to an upstream.
struct DispatchedAttempt
{
    enum class Outcome {
        Unknown,
        Refused,
        Answered,
        /// All fragments arrived but do not match their checksum, or the answer is too large.
        Invalid,
    };

    common::AttemptNumber number;
    common::UpstreamId upstream;
    common::TimePoint dispatchedAt;
    Outcome outcome = Outcome::Unknown;
    bool holdsSlot = true;
    /// The attempt took longer than its timeout, and a retry was considered. Happens once per
    /// attempt.
    bool timeoutHandled = false;
    AnswerAssembler assembler;
};

/// A slot that was requested and neither granted nor denied so far.
struct PendingSlotRequest
{
    common::AttemptNumber number;
    common::UpstreamId upstream;
    common::TimePoint sentAt;
    std::uint32_t transmissions = 1;
};

/// State of a request that is needed until its verdict, and afterwards until its slots are free.
struct RequestProgress
{
    common::CustomerId customer;
    common::ServiceId service;
    std::uint64_t requestId = 0;
    bool repeatable = false;
    /// Another instance may have dispatched this request or may still do so.
    bool peerMayDispatch = false;
    common::WallTime deadline;
    common::TimePoint deadlineAt;
    /// Slots that are still held at this time are released as timed out.
    common::TimePoint slotHoldEndsAt;
    common::TimePoint lateGrantsUntil;
    std::string payload;
    std::string returnToken;
    /// Upstream of each attempt number, in the order of the numbers.
    std::vector<common::UpstreamId> attemptUpstreams;
    /// No slot is requested from these in the present round.
    std::vector<common::UpstreamId> excludedInRound;
    std::uint32_t slotRequestsInRound = 0;
    std::optional<PendingSlotRequest> slotRequest;
    std::optional<common::TimePoint> nextRoundAt;
    common::Duration backoff {};
    std::vector<DispatchedAttempt> dispatched;
    std::uint32_t retries = 0;

    [[nodiscard]] DispatchedAttempt *find(common::AttemptNumber number);
    /// Whether the outcome of a dispatched attempt is unknown.
    [[nodiscard]] bool hasUnknownOutcome() const;
    [[nodiscard]] bool holdsSlots() const;
    /// NotRun only if no attempt of this or another instance can have run.
    [[nodiscard]] common::Verdict verdict() const;
};

/// A known request. Without progress, it is a marker that prevents a second run.
struct RequestRecord
{
    std::unique_ptr<RequestProgress> progress;
    /// Kept for duplicates of a completed request.
    std::unique_ptr<std::string> answer;
    common::AttemptNumber answerAttempt;
    std::optional<common::Verdict> verdict;
    common::Reason reason {};
    common::TimePoint removeAt;
    /// Time for which the timer of this request is queued.
    common::TimePoint timerAt = common::TimePoint::max();
};

/// Known requests by key, with their timers. Limits the memory for finished answers.
class RequestTable
{
public:
    explicit RequestTable(std::size_t maxStoredAnswerBytes);

    [[nodiscard]] RequestRecord *find(common::RequestKey key);
    RequestRecord &add(common::RequestKey key);
    void erase(common::RequestKey key);
    /// Keeps the answer of a completed request. Drops the oldest answers beyond
    /// maxStoredAnswerBytes.
    void storeAnswer(common::RequestKey key, RequestRecord &record, std::string answer);

    /// Queues the timer of a request unless an earlier one is queued.
    void scheduleTimer(common::RequestKey key, RequestRecord &record, common::TimePoint at);
    /// Next request whose timer is due. Empty when there is none.
    [[nodiscard]] std::optional<common::RequestKey> takeDue(common::TimePoint now);

    [[nodiscard]] std::size_t size() const { return m_records.size(); }

    [[nodiscard]] const std::unordered_map<common::RequestKey, RequestRecord> &records() const
    {
        return m_records;
    }

private:
    using Timer = std::pair<common::TimePoint, common::RequestKey>;

    std::size_t m_maxStoredAnswerBytes;
    std::size_t m_storedAnswerBytes = 0;
    std::unordered_map<common::RequestKey, RequestRecord> m_records;
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> m_timers;
    /// Keys with an answer, oldest first. May contain keys of removed requests.
    std::deque<common::RequestKey> m_keysWithAnswer;
};

} // namespace banyanwall::request
