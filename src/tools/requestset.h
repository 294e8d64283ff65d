#pragma once

#include "common/time.h"
#include "tools/clockreading.h"
#include "wire/datagram.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace banyanwall::tools {

struct RequestSettings
{
    /// "customer/service".
    std::string service;
    /// Requests issued per second.
    double perSecond = 0;
    /// Share of repeatable requests, from 0 to 1.
    double repeatable = 0.5;
    /// Share of downloads among the requests, from 0 to 1; downloads are repeatable.
    double downloads = 0;
    std::size_t answerBytes = 600;
    std::size_t downloadBytes = 60'000;
    /// Time from the issue of a request to its deadline.
    common::Duration deadline = std::chrono::seconds(3);
};

/// Requests of one caller. RequestSet issues requests at a constant rate, retransmits each until
/// its verdict arrives or its deadline passes, assembles the answers from their pieces and compares
/// them with the expected answer.
class RequestSet
{
public:
    static constexpr common::Duration RetransmissionInterval = std::chrono::milliseconds(300);
    /// Time after the deadline in which a verdict may still arrive.
    static constexpr common::Duration VerdictGrace = std::chrono::seconds(2);
    /// Time from the verdict of a request to the removal of its entry. Until then a contradicting
    /// verdict is counted.
    static constexpr common::Duration VerdictRetention = std::chrono::seconds(10);

    struct Counters
    {
        std::uint64_t issued = 0;
        std::uint64_t transmissions = 0;
        std::uint64_t completed = 0;
        std::uint64_t notRun = 0;
        std::uint64_t mayHaveRun = 0;
        /// Requests without a verdict at VerdictGrace after the deadline. The caller has to assume
        /// that such a request may have run.
        std::uint64_t noVerdict = 0;
        /// Answers of which all pieces arrived but whose content is wrong: mixed with another
        /// answer, truncated or of another request.
        std::uint64_t wrongAnswers = 0;
        /// Requests without a verdict of which some pieces arrived, but never all of one answer.
        std::uint64_t incompleteAnswers = 0;
        /// Messages that contradict the verdict: an answer after "not run" or "not run" after an
        /// answer.
        std::uint64_t conflictingVerdicts = 0;
    };

    RequestSet(RequestSettings settings, std::uint64_t seed);

    /// Returns the requests and retransmissions to send by now.
    [[nodiscard]] std::vector<wire::proto::CallerMessage> onTick(ClockReading time);
    void onMessage(const wire::proto::CallerMessage &message, ClockReading time);

    /// Issues no more requests.
    void stop() { m_isStopping = true; }

    [[nodiscard]] const Counters &counters() const { return m_counters; }

    /// Number of requests without a verdict.
    [[nodiscard]] std::size_t pending() const { return m_pending; }

    /// Counters, ids of completed and not run requests, requests with unknown outcome, refusals by
    /// reason and latencies.
    [[nodiscard]] boost::json::object toJson() const;

private:
    enum class State {
        Pending,
        Completed,
        NotRun,
        MayHaveRun,
        NoVerdict,
    };

    struct Attempt
    {
        std::uint32_t pieceCount = 0;
        std::uint64_t checksum = 0;
        std::map<std::uint32_t, std::string> pieces;
    };

    struct Entry
    {
        State state = State::Pending;
        bool repeatable = false;
        std::size_t answerBytes = 0;
        std::uint32_t transmissions = 0;
        ClockReading issuedAt;
        common::TimePoint nextTransmission;
        common::TimePoint finishedAt;
        std::map<std::uint32_t, Attempt> attempts;
    };

    void issue(ClockReading time);
    [[nodiscard]] wire::proto::CallerMessage transmit(std::uint64_t id, Entry &entry,
                                                      common::TimePoint now);
    void finishIfExpired(std::uint64_t id, Entry &entry, common::TimePoint now);
    void onPiece(std::uint64_t id, Entry &entry, const wire::proto::AnswerPiece &piece,
                 common::TimePoint now);
    void onRefusal(std::uint64_t id, Entry &entry, const wire::proto::Refusal &refusal,
                   common::TimePoint now);
    void finish(std::uint64_t id, Entry &entry, State state, common::TimePoint now);
    [[nodiscard]] bool isExpectedAnswer(std::uint64_t id, const Entry &entry,
                                        const Attempt &attempt) const;

    struct UnknownOutcome
    {
        std::uint64_t id = 0;
        common::WallTime issuedAt;
        /// Reason of the refusal; empty when there was no verdict.
        std::string reason;
    };

    RequestSettings m_settings;
    std::mt19937_64 m_random;
    std::uint64_t m_seed;
    std::uint64_t m_issuedCount = 0;
    bool m_isStopping = false;
    std::size_t m_pending = 0;
    common::TimePoint m_nextIssue {};
    std::unordered_map<std::uint64_t, Entry> m_requests;
    std::vector<std::uint64_t> m_notRunIds;
    std::vector<std::uint64_t> m_completedIds;
    std::vector<UnknownOutcome> m_unknownOutcomes;
    std::map<std::string, std::uint64_t> m_refusals;
    std::vector<std::uint32_t> m_latenciesMs;
    Counters m_counters;
};

} // namespace banyanwall::tools
