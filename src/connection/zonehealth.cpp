#include "connection/zonehealth.h"

#include <algorithm>
#include <span>

namespace banyanwall::connection {

using common::Duration;
using common::TimePoint;
using std::chrono::milliseconds;

namespace {

// A gap of this many usual ones is chance once in 150 times.
constexpr double UnusualGaps = 5.0;
// Once in 12 times, when the instances of the own zone refute what is chance.
constexpr double UnusualGapsWithPeers = 2.5;
// Callers repeat a packet after 200 ms; less silence cannot have been noticed by them.
constexpr Duration ShortestSilence = milliseconds(250);
constexpr Duration LongestSilence = milliseconds(1'000);
// Weight of a new gap in the mean is 1 in this many.
constexpr int GapMemory = 16;
// An instance whose own link is full or cut hears nobody.
constexpr std::uint32_t EnoughElsewhere = 3;
// Losses further apart have different causes.
constexpr milliseconds EvidenceGap { 1'000 };
constexpr milliseconds ProbeInterval { 2'500 };
// Older evidence says nothing about the path of today; see UpstreamHealth.
constexpr std::chrono::seconds EvidenceAge { 3 };
// Objections of instances of the own zone arrive within a few milliseconds.
constexpr milliseconds ObjectionTime { 60 };
// A report reaches the instances that hear the zone again.
constexpr milliseconds ReportInterval { 300 };
// Older signs of life say nothing about a report of now.
constexpr milliseconds LongestObjection { 400 };

} // namespace

void ZoneHealth::onHeard(TimePoint now)
{
    m_lastHeard = now;
    m_heardElsewhere = 0;
    m_lastPeerReport = {};
    m_firstReport = {};
    m_suspectCount = 0;
}

void ZoneHealth::onPeerHeard(TimePoint heardAt)
{
    m_lastPeerHeard = std::max(m_lastPeerHeard, heardAt);
    m_firstReport = {};
}

void ZoneHealth::onHeardElsewhere()
{
    ++m_heardElsewhere;
}

void ZoneHealth::onAnswered(TimePoint now)
{
    const auto gap = std::clamp<Duration>(now - m_lastAnswered, Duration {}, LongestSilence);
    m_usualGap += (gap - m_usualGap) / GapMemory;
    m_lastAnswered = now;
}

void ZoneHealth::onRepeated(common::FlowToken upstream, TimePoint now)
{
    if (!isUnreachable(now) && now - m_lastRepeated > EvidenceGap) {
        m_suspectCount = 0;
    }
    m_lastRepeated = now;
    const auto known = std::span(m_suspects).first(m_suspectCount);
    if (m_suspectCount < EnoughSuspects && std::ranges::find(known, upstream) == known.end()) {
        m_suspects.at(m_suspectCount) = upstream;
        ++m_suspectCount;
        m_nextProbe = now + ProbeInterval;
    }
}

void ZoneHealth::onPeerReport(TimePoint now)
{
    m_lastPeerReport = now;
}

bool ZoneHealth::isUnreachable(TimePoint now) const
{
    const auto needed = hasPeerReport(now) ? 1 : EnoughSuspects;
    return m_suspectCount >= needed && m_heardElsewhere >= EnoughElsewhere
            && now - std::max(m_lastHeard, m_lastPeerHeard) > unusualSilence()
            && now - m_lastRepeated < EvidenceAge;
}

bool ZoneHealth::isUncontested(TimePoint now) const
{
    return isUnreachable(now) && m_firstReport != TimePoint()
            && now - m_firstReport >= ObjectionTime;
}

bool ZoneHealth::isConfirmedUnreachable(TimePoint now) const
{
    return isUncontested(now) && hasPeerReport(now);
}

bool ZoneHealth::takeReport(TimePoint now)
{
    if (!isUnreachable(now)) {
        m_firstReport = {};
        return false;
    }
    if (m_firstReport == TimePoint()) {
        m_firstReport = now;
    } else if (now < m_nextReport) {
        return false;
    }
    m_nextReport = now + ReportInterval;
    return true;
}

std::optional<Duration> ZoneHealth::objection(TimePoint now) const
{
    const auto age = now - m_lastHeard;
    return age < LongestObjection ? std::optional(age) : std::nullopt;
}

Duration ZoneHealth::unusualSilence() const
{
    const auto gaps = m_hasPeers ? UnusualGapsWithPeers : UnusualGaps;
    const auto silence = std::chrono::duration_cast<Duration>(m_usualGap * gaps);
    return std::clamp(silence, ShortestSilence, LongestSilence);
}

bool ZoneHealth::hasPeerReport(TimePoint now) const
{
    return now - m_lastPeerReport < EvidenceAge;
}

bool ZoneHealth::mayOpen(TimePoint now) const
{
    return !isUncontested(now) || now >= m_nextProbe;
}

void ZoneHealth::onOpened(TimePoint now)
{
    if (isUnreachable(now)) {
        m_nextProbe = now + ProbeInterval;
    }
}

} // namespace banyanwall::connection
