#include "connection/upstreamhealth.h"

#include <algorithm>

namespace banyanwall::connection {

using common::TimePoint;

namespace {

// A single lost datagram repeats one packet; two without an answer in between are rarely chance.
constexpr std::uint32_t MinSuspectedRetransmissions = 2;
// One repeated packet may be a lost datagram. Until a second one could show more, new flows find
// other upstreams at no cost.
constexpr std::chrono::milliseconds SingleRetransmissionTimeout { 500 };
// Closing flows of a live upstream would break a promise, so that more evidence is wanted.
constexpr std::uint32_t MinUnresponsiveRetransmissions = 3;
constexpr std::uint32_t MinUnresponsiveFlows = 2;
constexpr std::chrono::milliseconds UnresponsiveTimeout { 150 };
// With the evidence of other instances: twice the time in which callers repeat a packet has passed
// since the first of them sent it.
constexpr std::chrono::milliseconds SharedUnresponsiveTimeout { 200 };
// Callers repeat a packet first after this time.
constexpr std::chrono::milliseconds CallerRetransmissionTimeout { 200 };
// Objections of instances of the own zone arrive within a few milliseconds.
constexpr std::chrono::milliseconds RefutationTimeout { 60 };
// Older signs of life say nothing about a packet that was repeated just now.
constexpr std::chrono::milliseconds MaxRefutationAge { 300 };
// Callers repeat after 200 ms and 400 ms; repetitions further apart are separate losses.
constexpr std::chrono::milliseconds MaxRetransmissionGap { 1'000 };
// A probe costs its caller 200 ms. Crashed upstreams leave the directory in about this time.
constexpr std::chrono::milliseconds ProbeInterval { 2'000 };
constexpr std::chrono::milliseconds MaxProbeJitter { 2'000 };
// The instances of a zone share what they learn; not all need to probe.
constexpr std::chrono::milliseconds MaxExpeditedProbeJitter { 400 };
// Older evidence does not keep new flows away; longer than the time between two probes.
constexpr std::chrono::seconds SuspicionTimeout { 8 };
// Older evidence does not close flows: the path may work again, and callers may count on it 4 s
// after it does.
constexpr std::chrono::seconds MaxObservationAge { 3 };

} // namespace

UpstreamHealth::UpstreamHealth(double probeJitter)
    : m_probeJitter(probeJitter)
{ }

void UpstreamHealth::DataRetransmissions::add(std::uint64_t flow)
{
    ++packets;
    if (flow != lastFlow) {
        lastFlow = flow;
        ++flowChanges;
    }
}

void UpstreamHealth::onResponse(TimePoint now)
{
    m_lastResponse = now;
    clear();
}

void UpstreamHealth::onOpeningRetransmitted(TimePoint now)
{
    recordRetransmission(now);
}

void UpstreamHealth::onDataRetransmitted(std::uint64_t flow, TimePoint now)
{
    recordRetransmission(now);
    m_ownRetransmissions.add(flow);
    m_zoneRetransmissions.add(flow);
}

void UpstreamHealth::onPeerDataRetransmitted(std::uint64_t flow, TimePoint now)
{
    recordRetransmission(now);
    m_zoneRetransmissions.add(flow);
}

void UpstreamHealth::onReportSent(TimePoint now)
{
    if (m_firstReport == TimePoint()) {
        m_firstReport = now;
    }
}

void UpstreamHealth::onPeerOpeningRetransmitted(TimePoint now)
{
    recordRetransmission(now);
    postponeProbe(now);
}

void UpstreamHealth::onPeerResponse(TimePoint respondedAt)
{
    // A packet that is repeated now was sent that long ago.
    if (respondedAt + CallerRetransmissionTimeout >= m_firstRetransmission) {
        clear();
    }
}

bool UpstreamHealth::isSuspected(TimePoint now) const
{
    return m_retransmissionCount >= MinSuspectedRetransmissions
            && now - m_lastRetransmission < SuspicionTimeout;
}

bool UpstreamHealth::hasRecentRetransmissions(TimePoint now) const
{
    return m_retransmissionCount > 0 && now - m_lastRetransmission < MaxObservationAge;
}

bool UpstreamHealth::isUnresponsive(TimePoint now) const
{
    return isUnresponsiveBy(m_ownRetransmissions, UnresponsiveTimeout, now);
}

bool UpstreamHealth::isUnresponsiveUnrefuted(TimePoint now) const
{
    const bool wasReported =
            m_firstReport != TimePoint() && now - m_firstReport >= RefutationTimeout;
    return wasReported && isUnresponsiveBy(m_zoneRetransmissions, SharedUnresponsiveTimeout, now);
}

bool UpstreamHealth::isUnresponsiveBy(const DataRetransmissions &retransmissions,
                                      common::Duration minDuration, TimePoint now) const
{
    return retransmissions.packets >= MinUnresponsiveRetransmissions
            && retransmissions.flowChanges >= MinUnresponsiveFlows
            && now - m_firstRetransmission >= minDuration
            && now - m_lastRetransmission < MaxObservationAge;
}

std::optional<common::Duration> UpstreamHealth::refutation(TimePoint now) const
{
    const auto age = now - m_lastResponse;
    return age < MaxRefutationAge ? std::optional(age) : std::nullopt;
}

bool UpstreamHealth::mayOpenFlow(TimePoint now) const
{
    if (isSuspected(now)) {
        return now >= m_nextProbe;
    }
    return m_retransmissionCount == 0 || now - m_lastRetransmission >= SingleRetransmissionTimeout;
}

void UpstreamHealth::expediteProbe(TimePoint now)
{
    const auto jitter =
            std::chrono::duration_cast<common::Duration>(MaxExpeditedProbeJitter * m_probeJitter);
    m_nextProbe = std::min(m_nextProbe, now + jitter);
}

void UpstreamHealth::onFlowOpened(TimePoint now)
{
    if (isSuspected(now)) {
        postponeProbe(now);
    }
}

void UpstreamHealth::recordRetransmission(TimePoint now)
{
    const bool wasSuspected = isSuspected(now);
    if (!wasSuspected && now - m_lastRetransmission > MaxRetransmissionGap) {
        clear();
        m_firstRetransmission = now;
    }
    ++m_retransmissionCount;
    m_lastRetransmission = now;
    if (!wasSuspected && isSuspected(now)) {
        postponeProbe(now);
    }
}

void UpstreamHealth::clear()
{
    m_retransmissionCount = 0;
    m_ownRetransmissions = {};
    m_zoneRetransmissions = {};
    m_firstReport = {};
    // The next repeated packet begins anew.
    m_lastRetransmission = {};
}

void UpstreamHealth::postponeProbe(TimePoint now)
{
    const auto jitter =
            std::chrono::duration_cast<common::Duration>(MaxProbeJitter * m_probeJitter);
    m_nextProbe = now + ProbeInterval + jitter;
}

} // namespace banyanwall::connection
