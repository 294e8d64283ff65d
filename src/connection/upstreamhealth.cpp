#include "connection/upstreamhealth.h"

#include <algorithm>

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
// A probe costs its caller 200 ms. Crashed upstreams leave the directory in about this time.
constexpr std::chrono::milliseconds ProbeInterval { 2'000 };
constexpr std::chrono::milliseconds ProbeSpread { 2'000 };
// The instances of a zone share what they learn; not all need to probe.
constexpr std::chrono::milliseconds ExpeditedSpread { 400 };
// Older evidence does not keep new flows away; longer than the time between two probes.
constexpr std::chrono::seconds SuspicionAge { 8 };
// Older evidence does not close flows: the path may work again, and callers may count on it 4 s
// after it does.
constexpr std::chrono::seconds SilenceAge { 3 };

} // namespace

UpstreamHealth::UpstreamHealth(double probeSpread)
    : m_probeSpread(probeSpread)
{ }

void UpstreamHealth::onHeard(TimePoint /*now*/)
{
    clear();
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
    postponeProbe(now);
}

void UpstreamHealth::onPeerHeard()
{
    clear();
}

bool UpstreamHealth::isSuspected(TimePoint now) const
{
    return m_repeats >= SuspectedRepeats && now - m_lastRepeated < SuspicionAge;
}

bool UpstreamHealth::hasEvidence(TimePoint now) const
{
    return m_repeats > 0 && now - m_lastRepeated < SilenceAge;
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

void UpstreamHealth::expediteProbe(TimePoint now)
{
    const auto spread =
            std::chrono::duration_cast<common::Duration>(ExpeditedSpread * m_probeSpread);
    m_nextProbe = std::min(m_nextProbe, now + spread);
}

void UpstreamHealth::onOpened(TimePoint now)
{
    if (isSuspected(now)) {
        postponeProbe(now);
    }
}

void UpstreamHealth::noteRepeat(TimePoint now)
{
    const bool wasSuspected = isSuspected(now);
    if (!wasSuspected && now - m_lastRepeated > EvidenceGap) {
        clear();
        m_firstRepeated = now;
    }
    ++m_repeats;
    m_lastRepeated = now;
    if (!wasSuspected && isSuspected(now)) {
        postponeProbe(now);
    }
}

void UpstreamHealth::clear()
{
    m_repeats = 0;
    m_dataRepeats = 0;
    m_flows = 0;
    m_lastFlow = 0;
}

void UpstreamHealth::postponeProbe(TimePoint now)
{
    const auto spread = std::chrono::duration_cast<common::Duration>(ProbeSpread * m_probeSpread);
    m_nextProbe = now + ProbeInterval + spread;
}

} // namespace banyanwall::connection
