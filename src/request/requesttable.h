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
        /// All fragments arrived but do not match their checksum.
        Broken,
    };

    common::AttemptNumber number;
    common::UpstreamId upstream;
    common::TimePoint since;
    Outcome outcome = Outcome::Unknown;
    bool slotHeld = true;
    /// Its timeout has been handled.
    bool overdue = false;
    AnswerAssembler assembler;
};

/// A slot that was asked for and neither granted nor denied so far.
struct PendingAsk
{
    common::AttemptNumber number;
    common::UpstreamId upstream;
    common::TimePoint since;
    std::uint32_t sent = 1;
};

/// What is needed of a request until its verdict, and afterwards until its slots are free.
struct RequestProgress
{
    common::CustomerId customer;
    common::ServiceId service;
    std::uint64_t requestId = 0;
    bool repeatable = false;
    /// Another instance may have dispatched this request.
    bool foreign = false;
    common::WallTime deadline;
    common::TimePoint deadlineAt;
    /// Slots that are still held then are given up.
    common::TimePoint slotsEndAt;
    common::TimePoint lingerUntil;
    std::string payload;
    std::string returnToken;
    /// Upstream of each attempt number, in the order of the numbers.
    std::vector<common::UpstreamId> asked;
    /// Not asked again in the present round.
    std::vector<common::UpstreamId> excluded;
    std::uint32_t asksInRound = 0;
    std::optional<PendingAsk> ask;
    std::optional<common::TimePoint> askAgainAt;
    common::Duration backoff {};
    std::vector<DispatchedAttempt> dispatched;
    std::uint32_t retries = 0;

    [[nodiscard]] DispatchedAttempt *find(common::AttemptNumber number);
    /// An attempt is dispatched whose outcome is unknown.
    [[nodiscard]] bool isOutstanding() const;
    [[nodiscard]] bool holdsSlots() const;
    /// NotRun only when no attempt of this or another instance can have run.
    [[nodiscard]] common::Verdict verdict() const;
};

/// A known request; without progress it is the marker that prevents a second run.
struct RequestRecord
{
    std::unique_ptr<RequestProgress> progress;
    /// Kept for duplicates of a completed request.
    std::unique_ptr<std::string> answer;
    common::AttemptNumber attempt;
    std::optional<common::Verdict> verdict;
    common::Reason reason {};
    common::TimePoint forgetAt;
    /// When the timer of this request is queued for.
    common::TimePoint queuedFor = common::TimePoint::max();
};

/// Known requests by key, with their timers and a bound on the memory for finished answers.
class RequestTable
{
public:
    explicit RequestTable(std::size_t maxStoredBytes);

    [[nodiscard]] RequestRecord *find(common::RequestKey key);
    RequestRecord &add(common::RequestKey key);
    void erase(common::RequestKey key);
    /// Keeps the answer of a completed request; the oldest answers are dropped beyond the bound.
    void store(common::RequestKey key, RequestRecord &record, std::string answer);

    /// Queues the timer of a request unless an earlier one is queued.
    void wakeAt(common::RequestKey key, RequestRecord &record, common::TimePoint at);
    /// Next request whose timer is due; empty when there is none.
    [[nodiscard]] std::optional<common::RequestKey> takeDue(common::TimePoint now);

    [[nodiscard]] std::size_t size() const { return m_records.size(); }

    [[nodiscard]] const std::unordered_map<common::RequestKey, RequestRecord> &records() const
    {
        return m_records;
    }

private:
    using Timer = std::pair<common::TimePoint, common::RequestKey>;

    std::size_t m_maxStoredBytes;
    std::size_t m_storedBytes = 0;
    std::unordered_map<common::RequestKey, RequestRecord> m_records;
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> m_timers;
    /// Keys with an answer, oldest first; may name requests that are forgotten.
    std::deque<common::RequestKey> m_stored;
};

} // namespace banyanwall::request
