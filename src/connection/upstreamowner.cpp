#include "connection/upstreamowner.h"

#include <algorithm>

namespace banyanwall::connection {

UpstreamOwner::UpstreamOwner(std::uint32_t slots, common::Duration usualLatency,
                             common::Duration longestRequest, common::TimePoint ownedSince)
    : m_slots(slots)
    , m_usualLatency(usualLatency)
    , m_unknownUntil(ownedSince + longestRequest)
{ }

bool UpstreamOwner::acquire(SlotKey key, common::Duration hold, common::TimePoint now)
{
    expire(now);
    const auto held = std::ranges::find(m_held, key, &Grant::key);
    if (held != m_held.end()) {
        held->end = std::max(held->end, now + hold);
        return true;
    }
    if (m_window > 1 && m_slowAnswers + overdueGrants(now) >= ColdAfterAnswers) {
        fallBackSlow();
    }
    if (freeSlots(now) == 0) {
        return false;
    }
    m_held.push_back({ key, now, now + hold });
    return true;
}

void UpstreamOwner::release(SlotKey key, SlotOutcome outcome, common::Duration latency,
                            common::TimePoint now)
{
    expire(now);
    const bool wasHeld = forget(key);
    switch (outcome) {
    case SlotOutcome::Answered:
        // A repeated release must not count one answer twice towards a larger window.
        if (wasHeld) {
            countAnswer(latency);
        }
        break;
    case SlotOutcome::Shed:
    case SlotOutcome::TimedOut:
        fallBack();
        break;
    case SlotOutcome::Unused:
        break;
    }
}

void UpstreamOwner::adoptGrants(const std::vector<SlotKey> &held, common::Duration hold,
                                bool allReported, common::TimePoint now)
{
    expire(now);
    for (const auto key : held) {
        const auto known = std::ranges::find(m_held, key, &Grant::key);
        if (known == m_held.end()) {
            m_held.push_back({ key, now, now + hold });
        }
    }
    if (allReported) {
        m_unknownUntil = std::min(m_unknownUntil, now);
    }
}

void UpstreamOwner::observeIncarnation(common::Incarnation incarnation, common::TimePoint now)
{
    expire(now);
    if (incarnation <= m_incarnation) {
        return;
    }
    if (m_incarnation != common::Incarnation()) {
        // Grants of the former incarnation stay: their dispatches may still be under way and reach
        // the new one.
        fallBack();
    }
    m_incarnation = incarnation;
}

void UpstreamOwner::observeHealth(bool healthy, std::uint32_t busySlots, common::TimePoint now)
{
    expire(now);
    if (!healthy) {
        fallBack();
        return;
    }
    // A report lags, so a busy count up to the slot limit says nothing about now. More than the
    // limit means work from elsewhere, which takes slots away.
    if (busySlots > m_slots) {
        const auto foreign = busySlots - m_slots;
        m_window = m_window > foreign ? m_window - foreign : 1;
        m_goodAnswers = 0;
    }
}

std::optional<std::uint32_t> UpstreamOwner::opensPerSecond(std::uint32_t connectionLimit) const
{
    if (m_window >= m_slots) {
        return std::nullopt;
    }
    const auto fillTime = std::chrono::duration_cast<std::chrono::seconds>(ConnectionFillTime);
    const auto opens = std::uint64_t { connectionLimit } * m_window
            / (std::uint64_t { m_slots } * static_cast<std::uint64_t>(fillTime.count()));
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(opens));
}

std::uint32_t UpstreamOwner::busySlots(common::TimePoint now) const
{
    const auto running = [now](const Grant &grant) { return grant.end > now; };
    const auto held = static_cast<std::uint32_t>(std::ranges::count_if(m_held, running));
    return now < m_unknownUntil ? std::max(held, m_slots) : held;
}

std::uint32_t UpstreamOwner::freeSlots(common::TimePoint now) const
{
    const auto usable = overdueGrants(now) != 0 ? 0 : std::min(m_window, m_slots);
    const auto busy = busySlots(now);
    return usable > busy ? usable - busy : 0;
}

void UpstreamOwner::fallBack()
{
    m_window = 1;
    m_goodAnswers = 0;
    m_slowAnswers = 0;
}

void UpstreamOwner::fallBackSlow()
{
    // At one slot, slow answers are those of an upstream that has just started.
    if (m_window > 1) {
        m_growAfter = GrowAfterAnswersWhenCold;
    }
    fallBack();
}

void UpstreamOwner::expire(common::TimePoint now)
{
    const auto ended =
            std::erase_if(m_held, [now](const Grant &grant) { return grant.end <= now; });
    if (ended != 0) {
        m_goodAnswers = 0;
    }
}

std::uint32_t UpstreamOwner::overdueGrants(common::TimePoint now) const
{
    const auto overdue = [this, now](const Grant &grant) {
        const auto underWay = now - grant.since;
        return underWay > 4 * m_usualLatency + GrantTravelTime
                && underWay < LostAfterFactor * m_usualLatency + GrantTravelTime;
    };
    return static_cast<std::uint32_t>(std::ranges::count_if(m_held, overdue));
}

void UpstreamOwner::countAnswer(common::Duration latency)
{
    m_slowAnswers = latency > 4 * m_usualLatency ? m_slowAnswers + 1 : 0;
    m_goodAnswers = latency < 2 * m_usualLatency ? m_goodAnswers + 1 : 0;
    if (m_slowAnswers >= ColdAfterAnswers) {
        fallBackSlow();
        return;
    }
    if (m_goodAnswers >= m_growAfter) {
        m_goodAnswers = 0;
        m_window = std::min(m_window + 1, std::max(m_slots, 1U));
        if (m_window >= m_slots) {
            m_growAfter = GrowAfterAnswers;
        }
    }
}

bool UpstreamOwner::forget(SlotKey key)
{
    return std::erase_if(m_held, [key](const Grant &grant) { return grant.key == key; }) != 0;
}

} // namespace banyanwall::connection
