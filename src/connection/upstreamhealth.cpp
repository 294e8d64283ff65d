#include "connection/upstreamhealth.h"

#include <algorithm>

namespace banyanwall::connection {

using common::TimePoint;

namespace {

// A single lost datagram repeats one packet; two without an answer in between are rarely chance.
constexpr std::uint32_t SuspectedRepeats = 2;
// One repeated packet may be a lost datagram. Until a second one could show more, new flows find
// other upstreams at no cost.
constexpr std::chrono::milliseconds DoubtTime { 500 };
// Closing flows of a live upstream would break a promise, so that more evidence is wanted.
constexpr std::uint32_t SilentRepeats = 3;
constexpr std::uint32_t SilentFlows = 2;
constexpr std::chrono::milliseconds SilentTime { 150 };
// With the evidence of other instances: twice the time in which callers repeat a packet has passed
// since the first of them sent it.
constexpr std::chrono::milliseconds SharedSilentTime { 200 };
// Callers repeat a packet first after this time.
constexpr std::chrono::milliseconds FirstRepeat { 200 };
// Objections of instances of the own zone arrive within a few milliseconds.
constexpr std::chrono::milliseconds ObjectionTime { 60 };
// Older signs of life say nothing about a packet that was repeated just now.
constexpr std::chrono::milliseconds LongestObjection { 300 };
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

void UpstreamHealth::Waiting::add(std::uint64_t flow)
{
    ++repeats;
    if (flow != lastFlow) {
        lastFlow = flow;
        ++flows;
    }
}

void UpstreamHealth::onHeard(TimePoint now)
{
    m_lastHeard = now;
    clear();
}

void UpstreamHealth::onOpeningRepeated(TimePoint now)
{
    noteRepeat(now);
}

void UpstreamHealth::onDataRepeated(std::uint64_t flow, TimePoint now)
{
    noteRepeat(now);
    m_ownWaiting.add(flow);
    m_allWaiting.add(flow);
}

void UpstreamHealth::onPeerDataRepeated(std::uint64_t flow, TimePoint now)
{
    noteRepeat(now);
    m_allWaiting.add(flow);
}

void UpstreamHealth::onReported(TimePoint now)
{
    if (m_firstReport == TimePoint()) {
        m_firstReport = now;
    }
}

void UpstreamHealth::onPeerReport(TimePoint now)
{
    noteRepeat(now);
    postponeProbe(now);
}

void UpstreamHealth::onPeerHeard(TimePoint heardAt)
{
    // A packet that is repeated now was sent that long ago.
    if (heardAt + FirstRepeat >= m_firstRepeated) {
        clear();
    }
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
    return isSilentFor(m_ownWaiting, SilentTime, now);
}

bool UpstreamHealth::isUncontestedSilent(TimePoint now) const
{
    const bool wasReported = m_firstReport != TimePoint() && now - m_firstReport >= ObjectionTime;
    return wasReported && isSilentFor(m_allWaiting, SharedSilentTime, now);
}

bool UpstreamHealth::isSilentFor(const Waiting &waiting, common::Duration time, TimePoint now) const
{
    return waiting.repeats >= SilentRepeats && waiting.flows >= SilentFlows
            && now - m_firstRepeated >= time && now - m_lastRepeated < SilenceAge;
}

std::optional<common::Duration> UpstreamHealth::objection(TimePoint now) const
{
    const auto age = now - m_lastHeard;
    return age < LongestObjection ? std::optional(age) : std::nullopt;
}

bool UpstreamHealth::mayOpen(TimePoint now) const
{
    if (isSuspected(now)) {
        return now >= m_nextProbe;
    }
    return m_repeats == 0 || now - m_lastRepeated >= DoubtTime;
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
    m_ownWaiting = {};
    m_allWaiting = {};
    m_firstReport = {};
    // The next repeated packet begins anew.
    m_lastRepeated = {};
}

void UpstreamHealth::postponeProbe(TimePoint now)
{
    const auto spread = std::chrono::duration_cast<common::Duration>(ProbeSpread * m_probeSpread);
    m_nextProbe = now + ProbeInterval + spread;
}

} // namespace banyanwall::connection
