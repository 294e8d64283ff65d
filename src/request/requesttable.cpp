#include "request/requesttable.h"

#include <algorithm>

namespace banyanwall::request {

using Outcome = DispatchedAttempt::Outcome;

DispatchedAttempt *RequestProgress::find(common::AttemptNumber number)
{
    const auto attempt = std::ranges::find(dispatched, number, &DispatchedAttempt::number);
    return attempt == dispatched.end() ? nullptr : &*attempt;
}

bool RequestProgress::isOutstanding() const
{
    return std::ranges::find(dispatched, Outcome::Unknown, &DispatchedAttempt::outcome)
            != dispatched.end();
}

bool RequestProgress::holdsSlots() const
{
    return std::ranges::any_of(dispatched, &DispatchedAttempt::slotHeld);
}

common::Verdict RequestProgress::verdict() const
{
    const bool refused = std::ranges::all_of(dispatched, [](const DispatchedAttempt &attempt) {
        return attempt.outcome == Outcome::Refused;
    });
    return refused && !foreign ? common::Verdict::NotRun : common::Verdict::MayHaveRun;
}

RequestTable::RequestTable(std::size_t maxStoredBytes)
    : m_maxStoredBytes(maxStoredBytes)
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
        m_storedBytes -= record->second.answer->size();
    }
    m_records.erase(record);
    // Requests are forgotten roughly in the order of their answers, which keeps the queue short.
    while (!m_stored.empty()) {
        const auto *oldest = find(m_stored.front());
        if (oldest != nullptr && oldest->answer) {
            break;
        }
        m_stored.pop_front();
    }
}

void RequestTable::store(common::RequestKey key, RequestRecord &record, std::string answer)
{
    m_storedBytes += answer.size();
    record.answer = std::make_unique<std::string>(std::move(answer));
    m_stored.push_back(key);
    while (m_storedBytes > m_maxStoredBytes && !m_stored.empty()) {
        if (auto *oldest = find(m_stored.front()); oldest != nullptr && oldest->answer) {
            m_storedBytes -= oldest->answer->size();
            oldest->answer.reset();
        }
        m_stored.pop_front();
    }
}

void RequestTable::wakeAt(common::RequestKey key, RequestRecord &record, common::TimePoint at)
{
    if (at < record.queuedFor) {
        record.queuedFor = at;
        m_timers.emplace(at, key);
    }
}

std::optional<common::RequestKey> RequestTable::takeDue(common::TimePoint now)
{
    while (!m_timers.empty() && m_timers.top().first <= now) {
        const auto [at, key] = m_timers.top();
        m_timers.pop();
        auto *record = find(key);
        if (record != nullptr && record->queuedFor == at) {
            record->queuedFor = common::TimePoint::max();
            return key;
        }
    }
    return std::nullopt;
}

} // namespace banyanwall::request
