#include "tools/requestset.h"

#include "common/hash.h"
#include "tools/workload.h"

#include <boost/json/array.hpp>

#include <algorithm>

namespace banyanwall::tools {

using wire::proto::CallerMessage;

namespace {

/// The seed forms the upper 32 bits of a request id. Ids of two callers must differ, because the
/// upstreams count runs by id alone.
constexpr unsigned SeedShift = 32;

} // namespace

RequestSet::RequestSet(RequestSettings settings, std::uint64_t seed)
    : m_settings(std::move(settings))
    , m_random(seed)
    , m_seed(seed)
{ }

std::vector<CallerMessage> RequestSet::onTick(ClockReading time)
{
    if (m_settings.perSecond > 0 && !m_isStopping) {
        const common::Duration issueInterval(
                static_cast<common::Duration::rep>(1'000'000 / m_settings.perSecond));
        m_nextIssue = m_nextIssue == common::TimePoint {} ? time.now : m_nextIssue;
        for (; m_nextIssue <= time.now; m_nextIssue += issueInterval) {
            issue(time);
        }
    }
    std::vector<CallerMessage> messages;
    for (auto &[id, entry] : m_requests) {
        if (entry.state == State::Pending) {
            finishIfExpired(id, entry, time.now);
        }
        // No retransmission after the deadline; the verdict may still arrive until VerdictGrace
        // later.
        if (entry.state == State::Pending && entry.nextTransmission <= time.now
            && time.now < entry.issuedAt.now + m_settings.deadline) {
            messages.push_back(transmit(id, entry, time.now));
        }
    }
    std::erase_if(m_requests, [&](const auto &item) {
        return item.second.state != State::Pending
                && time.now - item.second.finishedAt > VerdictRetention;
    });
    return messages;
}

void RequestSet::issue(ClockReading time)
{
    const auto drawEvent = [this](double probability) {
        return std::bernoulli_distribution(probability)(m_random);
    };
    Entry entry;
    const bool isDownload = drawEvent(m_settings.downloads);
    entry.repeatable = isDownload || drawEvent(m_settings.repeatable);
    entry.answerBytes = isDownload ? m_settings.downloadBytes : m_settings.answerBytes;
    entry.issuedAt = time;
    entry.nextTransmission = time.now;
    m_requests.emplace((m_seed << SeedShift) | ++m_issuedCount, std::move(entry));
    ++m_counters.issued;
    ++m_pending;
}

CallerMessage RequestSet::transmit(std::uint64_t id, Entry &entry, common::TimePoint now)
{
    CallerMessage message;
    auto *request = message.mutable_request();
    request->set_request_id(id);
    request->set_repeatable(entry.repeatable);
    request->set_transmission(++entry.transmissions);
    const auto deadline = entry.issuedAt.wall
            + std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.deadline);
    request->set_issued_unix_ms(entry.issuedAt.wall.time_since_epoch().count());
    request->set_deadline_unix_ms(deadline.time_since_epoch().count());
    request->set_payload(encodeRequest({ m_settings.service, entry.answerBytes }));
    entry.nextTransmission = now + RetransmissionInterval;
    ++m_counters.transmissions;
    return message;
}

void RequestSet::finishIfExpired(std::uint64_t id, Entry &entry, common::TimePoint now)
{
    if (now < entry.issuedAt.now + m_settings.deadline + VerdictGrace) {
        return;
    }
    m_unknownOutcomes.push_back({ id, entry.issuedAt.wall, {} });
    m_counters.incompleteAnswers += entry.attempts.empty() ? 0 : 1;
    finish(id, entry, State::NoVerdict, now);
}

void RequestSet::onMessage(const CallerMessage &message, ClockReading time)
{
    const auto id =
            message.has_answer() ? message.answer().request_id() : message.refusal().request_id();
    const auto entry = m_requests.find(id);
    if (entry == m_requests.end()) {
        return;
    }
    if (message.has_answer()) {
        onPiece(id, entry->second, message.answer(), time.now);
    } else if (message.has_refusal()) {
        onRefusal(id, entry->second, message.refusal(), time.now);
    }
}

void RequestSet::onPiece(std::uint64_t id, Entry &entry, const wire::proto::AnswerPiece &piece,
                         common::TimePoint now)
{
    if (entry.state != State::Pending) {
        // An answer after "not run" shows that the request did run, so the verdict was wrong.
        m_counters.conflictingVerdicts += entry.state == State::NotRun ? 1 : 0;
        return;
    }
    auto &attempt = entry.attempts[piece.attempt()];
    attempt.pieceCount = piece.count();
    attempt.checksum = piece.checksum();
    attempt.pieces.try_emplace(piece.index(), piece.payload());
    if (attempt.pieces.size() < attempt.pieceCount) {
        return;
    }
    m_counters.wrongAnswers += isExpectedAnswer(id, entry, attempt) ? 0 : 1;
    finish(id, entry, State::Completed, now);
}

bool RequestSet::isExpectedAnswer(std::uint64_t id, const Entry &entry,
                                  const Attempt &attempt) const
{
    std::string answer;
    for (const auto &[index, piece] : attempt.pieces) {
        answer += piece;
    }
    return common::hashBytes(answer) == attempt.checksum
            && answer == expectedAnswer(m_settings.service, id, entry.answerBytes);
}

void RequestSet::onRefusal(std::uint64_t id, Entry &entry, const wire::proto::Refusal &refusal,
                           common::TimePoint now)
{
    const auto verdict =
            refusal.verdict() == wire::proto::VERDICT_NOT_RUN ? State::NotRun : State::MayHaveRun;
    if (entry.state != State::Pending) {
        // "May have run" after an answer does not contradict the answer.
        m_counters.conflictingVerdicts +=
                entry.state == State::Completed && verdict == State::NotRun ? 1 : 0;
        return;
    }
    ++m_refusals[refusal.reason()];
    if (verdict == State::MayHaveRun) {
        m_unknownOutcomes.push_back({ id, entry.issuedAt.wall, refusal.reason() });
    }
    finish(id, entry, verdict, now);
}

void RequestSet::finish(std::uint64_t id, Entry &entry, State state, common::TimePoint now)
{
    entry.state = state;
    entry.finishedAt = now;
    entry.attempts.clear();
    --m_pending;
    m_counters.completed += state == State::Completed ? 1 : 0;
    m_counters.notRun += state == State::NotRun ? 1 : 0;
    m_counters.mayHaveRun += state == State::MayHaveRun ? 1 : 0;
    m_counters.noVerdict += state == State::NoVerdict ? 1 : 0;
    if (state == State::NotRun) {
        m_notRunIds.push_back(id);
    }
    if (state == State::Completed) {
        m_completedIds.push_back(id);
        const auto latency =
                std::chrono::duration_cast<std::chrono::milliseconds>(now - entry.issuedAt.now);
        m_latenciesMs.push_back(static_cast<std::uint32_t>(latency.count()));
    }
}

boost::json::object RequestSet::toJson() const
{
    boost::json::object refusals;
    for (const auto &[reason, count] : m_refusals) {
        refusals[reason] = count;
    }
    boost::json::array unknown;
    for (const auto &outcome : m_unknownOutcomes) {
        unknown.push_back(boost::json::object {
                { "id", outcome.id },
                { "issued_unix_ms", outcome.issuedAt.time_since_epoch().count() },
                { "reason", outcome.reason } });
    }
    auto latencies = m_latenciesMs;
    std::ranges::sort(latencies);
    const auto quantile = [&](double share) {
        return latencies.empty() ? 0U
                                 : latencies[static_cast<std::size_t>(
                                         share * static_cast<double>(latencies.size() - 1))];
    };
    return { { "issued", m_counters.issued },
             { "transmissions", m_counters.transmissions },
             { "completed", m_counters.completed },
             { "not_run", m_counters.notRun },
             { "may_have_run", m_counters.mayHaveRun },
             { "no_verdict", m_counters.noVerdict },
             { "wrong_answers", m_counters.wrongAnswers },
             { "incomplete_answers", m_counters.incompleteAnswers },
             { "conflicting_verdicts", m_counters.conflictingVerdicts },
             { "latency_ms_p50", quantile(0.5) },
             { "latency_ms_p99", quantile(0.99) },
             { "unknown_outcomes", std::move(unknown) },
             { "refusals", std::move(refusals) },
             { "not_run_ids", boost::json::array(m_notRunIds.begin(), m_notRunIds.end()) },
             { "completed_ids",
               boost::json::array(m_completedIds.begin(), m_completedIds.end()) } };
}

} // namespace banyanwall::tools
