#include "connection/upstreamhealth.h"

namespace banyanwall::connection {

using common::TimePoint;

namespace {

// A single lost datagram repeats one packet; two without an answer in between are rarely chance.
constexpr std::uint32_t SuspectedRepeats = 2;
// Closing flows of a live upstream would break a promise, so that more evidence is wanted.
constexpr std::uint32_t SilentRepeats = 3;
constexpr std::uint32_t SilentFlows = 2;
constexpr std::chrono::milliseconds SilentTime { 150 };
// Callers repeat after 200 ms and 400 ms; repetitions further apart are separate losses.
constexpr std::chrono::milliseconds EvidenceGap { 1'000 };
// Shorter than the time in which the list of upstreams drops one that crashed.
constexpr std::chrono::milliseconds ProbeInterval { 2'500 };
// Older evidence does not keep new flows away.
constexpr std::chrono::seconds SuspicionAge { 6 };
// Older evidence does not close flows: the path may work again, and callers may count on it 4 s
// after it does.
constexpr std::chrono::seconds SilenceAge { 3 };

} // namespace

void UpstreamHealth::onHeard(TimePoint /*now*/)
{
    m_repeats = 0;
    m_dataRepeats = 0;
    m_flows = 0;
    m_lastFlow = 0;
}

void UpstreamHealth::onOpeningRepeated(TimePoint now)
{
    noteRepeat(now);
}

void UpstreamHealth::onDataRepeated(std::uint64_t flow, TimePoint now)
{
    noteRepeat(now);
    ++m_dataRepeats;
    if (flow != m_lastFlow) {
        m_lastFlow = flow;
        ++m_flows;
    }
}

void UpstreamHealth::onPeerReport(TimePoint now)
{
    noteRepeat(now);
}

bool UpstreamHealth::isSuspected(TimePoint now) const
{
    return m_repeats >= SuspectedRepeats && now - m_lastRepeated < SuspicionAge;
}

bool UpstreamHealth::isSilent(TimePoint now) const
{
    return m_dataRepeats >= SilentRepeats && m_flows >= SilentFlows
            && now - m_firstRepeated >= SilentTime && now - m_lastRepeated < SilenceAge;
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

void UpstreamHealth::noteRepeat(TimePoint now)
{
    const bool wasSuspected = isSuspected(now);
    if (!wasSuspected && now - m_lastRepeated > EvidenceGap) {
        onHeard(now);
        m_firstRepeated = now;
    }
    ++m_repeats;
    m_lastRepeated = now;
    if (!wasSuspected && isSuspected(now)) {
        m_nextProbe = now + ProbeInterval;
    }
}

} // namespace banyanwall::connection
