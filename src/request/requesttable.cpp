#include "request/requesttable.h"

#include <algorithm>

namespace banyanwall::request {

using Outcome = DispatchedAttempt::Outcome;

DispatchedAttempt *RequestProgress::find(common::AttemptNumber number)
{
    const auto attempt = std::ranges::find(dispatched, number, &DispatchedAttempt::number);
    return attempt == dispatched.end() ? nullptr : &*attempt;
}

bool RequestProgress::hasUnknownOutcome() const
{
    return std::ranges::find(dispatched, Outcome::Unknown, &DispatchedAttempt::outcome)
            != dispatched.end();
}

bool RequestProgress::holdsSlots() const
{
    return std::ranges::any_of(dispatched, &DispatchedAttempt::holdsSlot);
}

common::Verdict RequestProgress::verdict() const
{
    const bool allRefused = std::ranges::all_of(dispatched, [](const DispatchedAttempt &attempt) {
        return attempt.outcome == Outcome::Refused;
    });
    return allRefused && !peerMayDispatch ? common::Verdict::NotRun : common::Verdict::MayHaveRun;
}

RequestTable::RequestTable(std::size_t maxStoredAnswerBytes)
    : m_maxStoredAnswerBytes(maxStoredAnswerBytes)
{ }

RequestRecord *RequestTable::find(common::RequestKey key)
{
    const auto record = m_records.find(key);
    return record == m_records.end() ? nullptr : &record->second;
}

RequestRecord &RequestTable::add(common::RequestKey key)
{
    return m_records[key];
}

void RequestTable::erase(common::RequestKey key)
{
    const auto record = m_records.find(key);
    if (record == m_records.end()) {
        return;
    }
    if (record->second.answer) {
        m_storedAnswerBytes -= record->second.answer->size();
    }
    m_records.erase(record);
    // Records are removed roughly in the order of their answers, so removing stale keys at the
    // front keeps this queue short.
    while (!m_keysWithAnswer.empty()) {
        const auto *oldest = find(m_keysWithAnswer.front());
        if (oldest != nullptr && oldest->answer) {
            break;
        }
        m_keysWithAnswer.pop_front();
    }
}

void RequestTable::storeAnswer(common::RequestKey key, RequestRecord &record, std::string answer)
{
    m_storedAnswerBytes += answer.size();
    record.answer = std::make_unique<std::string>(std::move(answer));
    m_keysWithAnswer.push_back(key);
    while (m_storedAnswerBytes > m_maxStoredAnswerBytes && !m_keysWithAnswer.empty()) {
        if (auto *oldest = find(m_keysWithAnswer.front()); oldest != nullptr && oldest->answer) {
            m_storedAnswerBytes -= oldest->answer->size();
            oldest->answer.reset();
        }
        m_keysWithAnswer.pop_front();
    }
}

void RequestTable::scheduleTimer(common::RequestKey key, RequestRecord &record,
                                 common::TimePoint at)
{
    if (at < record.timerAt) {
        record.timerAt = at;
        m_timers.emplace(at, key);
    }
}

std::optional<common::RequestKey> RequestTable::takeDue(common::TimePoint now)
{
    while (!m_timers.empty() && m_timers.top().first <= now) {
        const auto [at, key] = m_timers.top();
        m_timers.pop();
        auto *record = find(key);
        if (record != nullptr && record->timerAt == at) {
            record->timerAt = common::TimePoint::max();
            return key;
        }
    }
    return std::nullopt;
}

} // namespace banyanwall::request
