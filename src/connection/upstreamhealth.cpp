#include "connection/upstreamhealth.h"

namespace banyanwall::connection {

using common::TimePoint;

namespace {

// A single lost datagram repeats one packet; two in a row without an answer are rarely chance.
constexpr std::uint32_t SuspectedRepeats = 2;
// Closing a flow of a live upstream would break a promise, so that more evidence is wanted.
constexpr std::uint32_t SilentRepeats = 4;
// Callers repeat after 200 ms and 400 ms; repetitions further apart are separate losses.
constexpr std::chrono::milliseconds EvidenceGap { 1'000 };
// Shorter than the time in which the list of upstreams drops one that crashed.
constexpr std::chrono::milliseconds ProbeInterval { 2'500 };
// Without any new evidence the verdict no longer holds.
constexpr std::chrono::seconds EvidenceAge { 6 };

} // namespace

void UpstreamHealth::onHeard(TimePoint now)
{
    m_lastHeard = now;
    m_repeats = 0;
}

void UpstreamHealth::onRepeated(TimePoint now, std::uint32_t weight)
{
    const bool isIsolated = m_repeats < SuspectedRepeats && now - m_lastRepeated > EvidenceGap;
    if (m_repeats == 0 || isIsolated) {
        m_repeats = 0;
        m_firstRepeated = now;
    }
    const bool wasSuspected = m_repeats >= SuspectedRepeats;
    m_repeats += weight;
    m_lastRepeated = now;
    if (!wasSuspected && m_repeats >= SuspectedRepeats) {
        m_nextProbe = now + ProbeInterval;
    }
}

bool UpstreamHealth::isSuspected(TimePoint now) const
{
    return m_repeats >= SuspectedRepeats && now - m_lastRepeated < EvidenceAge;
}

bool UpstreamHealth::isSilent(TimePoint now) const
{
    return isSuspected(now) && m_repeats >= SilentRepeats;
}

bool UpstreamHealth::mayOpen(TimePoint now) const
{
    return !isSuspected(now) || now >= m_nextProbe;
}

void UpstreamHealth::onOpened(TimePoint now)
{
    if (isSuspected(now)) {
        m_nextProbe = now + ProbeInterval;
    }
}

} // namespace banyanwall::connection
