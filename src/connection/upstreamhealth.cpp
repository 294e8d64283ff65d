#include "connection/upstreamhealth.h"

#include <algorithm>

namespace banyanwall::connection {

using common::TimePoint;

namespace {

// One lost datagram causes one retransmission; two without a response in between are rarely chance.
constexpr std::uint32_t MinSuspectedRetransmissions = 2;
// A single retransmission may be due to a lost datagram. Until a second one could follow, new flows
// go to other upstreams, which costs nothing.
constexpr std::chrono::milliseconds SingleRetransmissionTimeout { 500 };
// Resetting flows of a working upstream breaks requests that would be answered, so this verdict
// needs more retransmissions than a suspicion.
constexpr std::uint32_t MinUnresponsiveRetransmissions = 3;
constexpr std::uint32_t MinUnresponsiveFlows = 2;
constexpr std::chrono::milliseconds UnresponsiveTimeout { 150 };
// Callers retransmit 200 ms after the first transmission. With the observations of other instances,
// 400 ms must have passed since the first transmission of the first retransmitted packet.
constexpr std::chrono::milliseconds SharedUnresponsiveTimeout { 200 };
// Time from a caller's first transmission of a packet to the first retransmission.
constexpr std::chrono::milliseconds CallerRetransmissionTimeout { 200 };
// Refutations by instances of the own zone arrive within a few milliseconds.
constexpr std::chrono::milliseconds RefutationTimeout { 60 };
// An older response says nothing about a packet that was retransmitted just now.
constexpr std::chrono::milliseconds MaxRefutationAge { 300 };
// Callers retransmit after 200 ms and 400 ms; retransmissions further apart are due to separate
// losses.
constexpr std::chrono::milliseconds MaxRetransmissionGap { 1'000 };
// A failed probe delays its caller by 200 ms. Crashed upstreams are removed from the directory
// within about this interval.
constexpr std::chrono::milliseconds ProbeInterval { 2'000 };
constexpr std::chrono::milliseconds MaxProbeJitter { 2'000 };
// The instances of a zone share their observations, so not all of them need to probe.
constexpr std::chrono::milliseconds MaxExpeditedProbeJitter { 400 };
// Older retransmissions do not keep new flows away; longer than the time between two probes.
constexpr std::chrono::seconds SuspicionTimeout { 8 };
// Older retransmissions do not cause resets: the path may work again, and callers may rely on it
// from 4 s after its recovery.
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

void UpstreamHealth::onOpeningReset(TimePoint now)
{
    recordRetransmission(now);
}

void UpstreamHealth::onPeerOpeningReset(TimePoint now)
{
    recordRetransmission(now);
    postponeProbe(now);
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
    // The caller first sent the packet CallerRetransmissionTimeout before the first retransmission.
    // A response after that first transmission shows that the upstream works.
    if (respondedAt + CallerRetransmissionTimeout >= m_firstRetransmission) {
        clear();
    }
}

bool UpstreamHealth::isSuspected(TimePoint now) const
{
    return m_retransmissionCount >= MinSuspectedRetransmissions
            && now - m_lastRetransmission < SuspicionTimeout;
}

bool UpstreamHealth::isSilent(TimePoint now) const
{
    return m_retransmissionCount > 0 && now - m_lastRetransmission < SuspicionTimeout;
}

bool UpstreamHealth::hasRecentRetransmissions(TimePoint now) const
{
    return m_retransmissionCount > 0 && now - m_lastRetransmission < MaxObservationAge;
}

bool UpstreamHealth::isUnresponsive(TimePoint now) const
{
    return isUnresponsiveBy(m_ownRetransmissions, UnresponsiveTimeout, now);
}

bool UpstreamHealth::isUnresponsiveToZone(TimePoint now) const
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
    // Makes the next retransmission start a new count.
    m_lastRetransmission = {};
}

void UpstreamHealth::postponeProbe(TimePoint now)
{
    const auto jitter =
            std::chrono::duration_cast<common::Duration>(MaxProbeJitter * m_probeJitter);
    m_nextProbe = now + ProbeInterval + jitter;
}

} // namespace banyanwall::connection
