#include "connection/upstreamevidence.h"

#include <algorithm>
#include <cmath>

namespace banyanwall::connection {

namespace {

using Seconds = std::chrono::duration<double>;

// Times in which the weight of an answer falls to 1/e (about a third). An upstream may be slow for
// a few seconds only.
constexpr Seconds Decay { 3.0 };
// Older answers are not reported: they may be from before an upstream turned slow.
constexpr Seconds FreshDecay { 0.3 };
// Number of usual answers that is assumed of each upstream.
constexpr double AssumedAnswers = 1.3;
// More answers than this add nothing, so that the verdict on a busy upstream changes as fast.
constexpr double MaxAnswers = 8.0;
// Limits of one answer, so that neither a single long request nor an upstream that fails at once
// outweighs several answers.
constexpr double MaxAnswerRatio = 3.0;
constexpr double MinAnswerRatio = 0.5;
constexpr double MinWeight = 0.01;
constexpr double MinReportedWeight = 0.5;

// Rows that tell most: first answers of an upstream that the zone suspects to be slow and has few
// answers of, then answers that raise a suspicion, then those that keep up a confirmed one.
constexpr double UncertainValue = 2.0;
constexpr double NewsValue = 1.0;
constexpr double ConfirmedValue = 1.0;
// Logarithm of the slowness from which an upstream is suspected to be slow: requests take a
// third longer.
constexpr double SuspectedLog = 0.3;
// Answers raise a suspicion when they took 2.7 times the usual time, which few requests do.
constexpr double NewsLog = 1.0;
// Difference from what the zone knows that makes a confirmed verdict uncertain.
constexpr double ContradictionLog = 0.5;
// Number of answers that confirm that an upstream is slow.
constexpr double EnoughAnswers = 6.0;

double limitedLog(double logRatio)
{
    static const double lowest = std::log(MinAnswerRatio);
    static const double highest = std::log(MaxAnswerRatio);
    return std::clamp(logRatio, lowest, highest);
}

double decayFactor(common::Duration elapsed, Seconds decay)
{
    return std::exp(-Seconds(elapsed) / decay);
}

} // namespace

UpstreamEvidence::Answers UpstreamEvidence::Answers::operator+(const Answers &other) const
{
    const auto sum = weight + other.weight;
    const auto factor = sum > MaxAnswers ? MaxAnswers / sum : 1.0;
    return { (logSum + other.logSum) * factor, sum * factor };
}

UpstreamEvidence::Answers UpstreamEvidence::Answers::operator*(double factor) const
{
    return { logSum * factor, weight * factor };
}

double UpstreamEvidence::Answers::logSlowness() const
{
    return logSum / (weight + AssumedAnswers);
}

void UpstreamEvidence::addAnswer(double logRatio)
{
    m_fresh = m_fresh + Answers { limitedLog(logRatio), 1.0 };
}

void UpstreamEvidence::addReported(const ReportedUpstream &row)
{
    const auto answers = static_cast<double>(std::min(row.answers, MaxReportedAnswers));
    if (row.slowness > 0.0) {
        m_known = m_known + Answers { limitedLog(std::log(row.slowness)) * answers, answers };
    }
}

void UpstreamEvidence::decay(common::Duration elapsed)
{
    const auto factor = decayFactor(elapsed, Decay);
    const auto freshFactor = decayFactor(elapsed, FreshDecay);
    m_known = m_known * factor;
    m_kept = (m_kept + m_fresh * (1.0 - freshFactor)) * factor;
    m_fresh = m_fresh * (freshFactor * factor);
}

double UpstreamEvidence::logSlowness() const
{
    return (m_known + m_fresh + m_kept).logSlowness();
}

bool UpstreamEvidence::isNegligible() const
{
    return (m_known + m_fresh + m_kept).weight < MinWeight;
}

double UpstreamEvidence::reportValue() const
{
    if (m_fresh.weight < MinReportedWeight) {
        return 0.0;
    }
    if (m_known.logSlowness() >= SuspectedLog) {
        const auto difference = m_fresh.logSum / m_fresh.weight - m_known.logSlowness();
        const bool isUncertain =
                m_known.weight < EnoughAnswers || std::abs(difference) >= ContradictionLog;
        return isUncertain ? UncertainValue + 1.0 / (m_known.weight + 1.0)
                           : ConfirmedValue / m_known.weight;
    }
    const auto after = (m_known + m_fresh).logSlowness();
    const bool isNews = m_fresh.logSum >= NewsLog * m_fresh.weight && after >= SuspectedLog;
    return isNews ? NewsValue + after : 0.0;
}

void UpstreamEvidence::writeTo(ReportedUpstream &row) const
{
    if (m_fresh.weight >= MinReportedWeight) {
        row.slowness = std::exp(m_fresh.logSum / m_fresh.weight);
        const auto answers = static_cast<std::uint32_t>(std::lround(m_fresh.weight));
        row.answers = std::clamp(answers, 1U, MaxReportedAnswers);
    }
}

void UpstreamEvidence::markReported()
{
    m_known = m_known + m_fresh;
    m_fresh = {};
}

} // namespace banyanwall::connection
