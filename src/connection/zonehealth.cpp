#include "connection/zonehealth.h"

#include <algorithm>
#include <cmath>
#include <span>

namespace banyanwall::connection {

using common::Duration;
using common::TimePoint;
using std::chrono::milliseconds;

namespace {

// The response timeout in mean gaps between answers. In a working zone, a gap of 5 mean gaps occurs
// by chance once in 150 times.
constexpr double TimeoutGaps = 5.0;
// A gap of 2.5 mean gaps occurs by chance once in 12 times; the other instances of the own zone
// refute a wrong verdict.
constexpr double TimeoutGapsWithPeers = 2.5;
// Callers retransmit a packet after 200 ms, so they cannot detect a shorter gap.
constexpr Duration MinResponseTimeout = milliseconds(250);
constexpr Duration MaxResponseTimeout = milliseconds(1'000);
// Time in which the weight of an answer falls to 1/e (about a third).
constexpr std::chrono::duration<double> AnswerRetention { 3.0 };
// About as many answers arrive in AnswerRetention when they are 900 ms apart. With longer gaps, the
// longest response timeout passes by chance.
constexpr double MinAnswers = 3.3;
// Several flows that were opened without any answer show a silence, however rare answers were.
constexpr std::uint32_t MinUnansweredOpenings = 8;
// A new gap contributes one part in this many to the mean.
constexpr int GapWeightDivisor = 16;
// An instance whose own link is full or cut gets no responses from any zone.
constexpr std::uint32_t MinOtherZoneResponses = 3;
// Losses further apart have different causes.
constexpr milliseconds MaxRetransmissionGap { 1'000 };
constexpr milliseconds ProbeInterval { 2'500 };
// Older retransmissions do not describe the current path; see MaxObservationAge of UpstreamHealth.
constexpr std::chrono::seconds MaxObservationAge { 3 };
// Refutations by instances of the own zone arrive within a few milliseconds.
constexpr milliseconds RefutationTimeout { 60 };
// The report is repeated, so that instances that get responses from the zone can refute it again.
constexpr milliseconds ReportInterval { 300 };
// An older response does not refute a report that arrives now.
constexpr milliseconds MaxRefutationAge { 400 };

} // namespace

void ZoneHealth::onResponse(TimePoint now)
{
    if (isSilent(now)) {
        m_silentUntil = now;
    }
    m_lastResponse = now;
    m_otherZoneResponses = 0;
    m_lastPeerReport = {};
    m_firstReport = {};
    m_suspectCount = 0;
}

void ZoneHealth::onPeerResponse(TimePoint respondedAt)
{
    m_lastPeerResponse = std::max(m_lastPeerResponse, respondedAt);
    m_firstReport = {};
}

void ZoneHealth::onOtherZoneResponse()
{
    ++m_otherZoneResponses;
}

void ZoneHealth::onRequestAnswered(TimePoint now)
{
    const auto gap = std::clamp<Duration>(now - m_lastAnswer, Duration {}, MaxResponseTimeout);
    m_meanAnswerGap += (gap - m_meanAnswerGap) / GapWeightDivisor;
    const std::chrono::duration<double> elapsed = now - m_lastAnswer;
    m_answerCount = m_answerCount * std::exp(-elapsed / AnswerRetention) + 1.0;
    m_openingsSinceAnswer = 0;
    m_lastAnswer = now;
}

void ZoneHealth::onRetransmission(common::FlowToken upstream, TimePoint now)
{
    if (!isUnreachable(now) && now - m_lastRetransmission > MaxRetransmissionGap) {
        m_suspectCount = 0;
    }
    m_lastRetransmission = now;
    const auto known = std::span(m_suspects).first(m_suspectCount);
    if (m_suspectCount < MinSuspects && std::ranges::find(known, upstream) == known.end()) {
        m_suspects.at(m_suspectCount) = upstream;
        ++m_suspectCount;
        m_nextProbe = now + ProbeInterval;
    }
}

void ZoneHealth::onPeerReportedUnreachable(TimePoint now)
{
    m_lastPeerReport = now;
}

bool ZoneHealth::isSilent(TimePoint now) const
{
    const auto minSuspects = hasPeerReport(now) ? 1 : MinSuspects;
    return !isRarelyUsed() && m_suspectCount >= minSuspects
            && now - m_lastResponse > responseTimeout()
            && now - m_lastRetransmission < MaxObservationAge;
}

bool ZoneHealth::isUnreachable(TimePoint now) const
{
    return isSilent(now) && now - m_lastPeerResponse > responseTimeout()
            && m_otherZoneResponses >= MinOtherZoneResponses;
}

bool ZoneHealth::isUnrefuted(TimePoint now) const
{
    return isUnreachable(now) && m_firstReport != TimePoint()
            && now - m_firstReport >= RefutationTimeout;
}

bool ZoneHealth::isConfirmedUnreachable(TimePoint now) const
{
    return isUnrefuted(now) && hasPeerReport(now);
}

bool ZoneHealth::takeDueReport(TimePoint now)
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

std::optional<Duration> ZoneHealth::refutation(TimePoint now) const
{
    const auto age = now - m_lastResponse;
    return age < MaxRefutationAge ? std::optional(age) : std::nullopt;
}

Duration ZoneHealth::responseTimeout() const
{
    const auto gaps = m_hasPeers ? TimeoutGapsWithPeers : TimeoutGaps;
    const auto timeout = std::chrono::duration_cast<Duration>(m_meanAnswerGap * gaps);
    return std::clamp(timeout, MinResponseTimeout, MaxResponseTimeout);
}

bool ZoneHealth::isRarelyUsed() const
{
    return m_lastAnswer != TimePoint() && m_answerCount < MinAnswers
            && m_openingsSinceAnswer < MinUnansweredOpenings;
}

bool ZoneHealth::hasPeerReport(TimePoint now) const
{
    return now - m_lastPeerReport < MaxObservationAge;
}

bool ZoneHealth::mayOpenFlow(TimePoint now) const
{
    return !isUnrefuted(now) || now >= m_nextProbe;
}

void ZoneHealth::onFlowOpened(TimePoint now)
{
    ++m_openingsSinceAnswer;
    if (isUnreachable(now)) {
        m_nextProbe = now + ProbeInterval;
    }
}

} // namespace banyanwall::connection
