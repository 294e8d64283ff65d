#include "connection/upstreamowner.h"

#include <algorithm>

namespace banyanwall::connection {

UpstreamOwner::UpstreamOwner(std::uint32_t slots, common::Duration usualLatency,
                             common::Duration longestRequest, common::TimePoint ownedSince)
    : m_slots(slots)
    , m_usualLatency(usualLatency)
    , m_grantsUnknownUntil(ownedSince + longestRequest)
{ }

bool UpstreamOwner::acquire(SlotKey key, common::Duration hold, common::TimePoint now)
{
    expire(now);
    const auto held = std::ranges::find(m_grants, key, &Grant::key);
    if (held != m_grants.end()) {
        held->end = std::max(held->end, now + hold);
        return true;
    }
    if (m_window > 1 && m_slowAnswers + overdueGrants(now) >= ColdAfterSlowAnswers) {
        resetWindowAfterSlowAnswers();
    }
    if (freeSlots(now) == 0) {
        return false;
    }
    m_grants.push_back({ key, now, now + hold });
    return true;
}

void UpstreamOwner::release(SlotKey key, SlotOutcome outcome, common::Duration latency,
                            common::TimePoint now)
{
    expire(now);
    const bool wasHeld = removeGrant(key);
    switch (outcome) {
    case SlotOutcome::Answered:
        // A release message that arrives twice must not count one answer twice.
        if (wasHeld) {
            countAnswer(latency);
        }
        break;
    case SlotOutcome::Shed:
    case SlotOutcome::TimedOut:
        resetWindow();
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
        const auto known = std::ranges::find(m_grants, key, &Grant::key);
        if (known == m_grants.end()) {
            m_grants.push_back({ key, now, now + hold });
        }
    }
    if (allReported) {
        m_grantsUnknownUntil = std::min(m_grantsUnknownUntil, now);
    }
}

void UpstreamOwner::observeIncarnation(common::Incarnation incarnation, common::TimePoint now)
{
    expire(now);
    if (incarnation <= m_incarnation) {
        return;
    }
    if (m_incarnation != common::Incarnation()) {
        // Grants of the former incarnation stay, because their attempts may still be in transit and
        // reach the new one.
        resetWindow();
    }
    m_incarnation = incarnation;
}

void UpstreamOwner::observeHealth(bool healthy, std::uint32_t busySlots, common::TimePoint now)
{
    expire(now);
    if (!healthy) {
        resetWindow();
        return;
    }
    // A report is delayed, so a busy count up to the slot limit does not show the present use. A
    // count above the limit shows work that this owner has not granted, which reduces the window.
    if (busySlots > m_slots) {
        const auto excess = busySlots - m_slots;
        m_window = m_window > excess ? m_window - excess : 1;
        m_fastAnswers = 0;
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
    const auto isRunning = [now](const Grant &grant) { return grant.end > now; };
    const auto held = static_cast<std::uint32_t>(std::ranges::count_if(m_grants, isRunning));
    return now < m_grantsUnknownUntil ? std::max(held, m_slots) : held;
}

std::uint32_t UpstreamOwner::freeSlots(common::TimePoint now) const
{
    const auto usable = overdueGrants(now) != 0 ? 0 : std::min(m_window, m_slots);
    const auto busy = busySlots(now);
    return usable > busy ? usable - busy : 0;
}

void UpstreamOwner::resetWindow()
{
    m_window = 1;
    m_fastAnswers = 0;
    m_slowAnswers = 0;
}

void UpstreamOwner::resetWindowAfterSlowAnswers()
{
    // With a window of 1, slow answers are those of an upstream in its ordinary slow start.
    if (m_window > 1) {
        m_fastAnswersToGrow = GrowAfterFastAnswersWhenCold;
    }
    resetWindow();
}

void UpstreamOwner::expire(common::TimePoint now)
{
    const auto expiredGrants =
            std::erase_if(m_grants, [now](const Grant &grant) { return grant.end <= now; });
    if (expiredGrants != 0) {
        m_fastAnswers = 0;
    }
}

std::uint32_t UpstreamOwner::overdueGrants(common::TimePoint now) const
{
    const auto isOverdue = [this, now](const Grant &grant) {
        const auto usedFor = now - grant.since;
        return usedFor > 4 * m_usualLatency + GrantTravelTime
                && usedFor < LostHolderLatencyFactor * m_usualLatency + GrantTravelTime;
    };
    return static_cast<std::uint32_t>(std::ranges::count_if(m_grants, isOverdue));
}

void UpstreamOwner::countAnswer(common::Duration latency)
{
    m_slowAnswers = latency > 4 * m_usualLatency ? m_slowAnswers + 1 : 0;
    m_fastAnswers = latency < 2 * m_usualLatency ? m_fastAnswers + 1 : 0;
    if (m_slowAnswers >= ColdAfterSlowAnswers) {
        resetWindowAfterSlowAnswers();
        return;
    }
    if (m_fastAnswers >= m_fastAnswersToGrow) {
        m_fastAnswers = 0;
        m_window = std::min(m_window + 1, std::max(m_slots, 1U));
        if (m_window >= m_slots) {
            m_fastAnswersToGrow = GrowAfterFastAnswers;
        }
    }
}

bool UpstreamOwner::removeGrant(SlotKey key)
{
    return std::erase_if(m_grants, [key](const Grant &grant) { return grant.key == key; }) != 0;
}

} // namespace banyanwall::connection
