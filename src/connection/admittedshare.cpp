#include "connection/admittedshare.h"

#include <algorithm>

namespace banyanwall::connection {

using common::TimePoint;

namespace {

// Older figures say nothing about the load of now: callers give up after a few seconds.
constexpr std::chrono::seconds MaxFigureAge { 2 };
// Fewer answers show no share of late ones.
constexpr double MinAnswers = 8.0;
// A gap between two updates in which the process was paused.
constexpr std::chrono::seconds MaxUpdateGap { 1 };
// A single delay, such as that of a garbage collection, is over by then.
constexpr std::uint32_t MinOverloadedUpdates = 2;
// Weight that figures keep from one update to the next: a mean over one second.
constexpr double Retention = 0.8;
// A service keeps its aim while 19 of 20 answers do.
constexpr double MaxLateShare = 0.05;
// A single late answer of an instance with few requests shows nothing.
constexpr double MinLateAnswers = 1.5;
constexpr double UnnoticedLateShare = 0.01;
constexpr double MaxDecrease = 0.5;
constexpr double MaxIncrease = 0.1;
// Below this share the recovery would take longer than callers wait.
constexpr double MinShare = 0.02;
// Flows that stay open for minutes bring most of their demand later.
constexpr double MinNewDemand = 0.05;
// The room is an estimate: the utilization at which answers keep the aim is found by their delay.
constexpr double MinTargetUtilization = 0.9;
constexpr double MaxTargetUtilization = 4.0;
constexpr double TargetDecrease = 0.97;
constexpr double TargetIncrease = 1.01;

} // namespace

void AdmittedShare::update(const RoomObservation &load, std::uint32_t openedFlows, TimePoint now)
{
    if (now - m_updatedAt > MaxUpdateGap) {
        m_answers = m_lateAnswers = m_openedFlows = 0.0;
        admitAll();
    }
    m_updatedAt = now;
    m_load = load;
    recordAnswers(load, openedFlows);
    m_laggedShare = m_laggedShare * Retention + m_share * (1.0 - Retention);
    if (now - load.measuredAt > MaxFigureAge || load.room <= 0.0) {
        admitAll();
        return;
    }
    const bool isOverloaded = m_answers >= MinAnswers && load.demand > targetDemand()
            && m_lateAnswers >= MinLateAnswers && lateShare() > MaxLateShare;
    m_overloadedUpdates = isOverloaded ? m_overloadedUpdates + 1 : 0;
    if (isLimiting()) {
        adaptTarget();
    }
    move();
}

bool AdmittedShare::isInformed(TimePoint now) const
{
    return now - m_load.measuredAt <= MaxFigureAge && now - m_updatedAt <= MaxUpdateGap;
}

double AdmittedShare::lateShare() const
{
    return m_answers > 0.0 ? m_lateAnswers / m_answers : 0.0;
}

double AdmittedShare::offered() const
{
    return m_load.demand / m_laggedShare;
}

void AdmittedShare::admitAll()
{
    m_share = 1.0;
    m_laggedShare = 1.0;
    m_targetUtilization = 1.0;
    m_overloadedUpdates = 0;
}

void AdmittedShare::recordAnswers(const RoomObservation &load, std::uint32_t openedFlows)
{
    m_answers = m_answers * Retention + load.answers;
    m_lateAnswers = m_lateAnswers * Retention + load.lateAnswers;
    m_openedFlows = m_openedFlows * Retention + openedFlows;
}

void AdmittedShare::adaptTarget()
{
    if (lateShare() > MaxLateShare) {
        m_targetUtilization = std::max(MinTargetUtilization, m_targetUtilization * TargetDecrease);
    } else if (lateShare() < UnnoticedLateShare) {
        m_targetUtilization = std::min(MaxTargetUtilization, m_targetUtilization * TargetIncrease);
    }
}

void AdmittedShare::move()
{
    const bool isObserved = m_answers >= MinAnswers;
    const auto target = isObserved ? std::clamp(shareForTarget(), MinShare, 1.0) : 1.0;
    if (target > m_share) {
        m_share = std::min(target, m_share + MaxIncrease);
    } else if (m_overloadedUpdates >= MinOverloadedUpdates) {
        m_share = std::max(target, m_share * MaxDecrease);
    }
    if (!isLimiting()) {
        m_targetUtilization = 1.0;
    }
}

double AdmittedShare::shareForTarget() const
{
    if (m_load.demand <= 0.0) {
        return 1.0;
    }
    const auto newDemand =
            m_answers > 0.0 ? std::clamp(m_openedFlows / m_answers, MinNewDemand, 1.0) : 1.0;
    return m_laggedShare * (1.0 + (targetDemand() / m_load.demand - 1.0) / newDemand);
}

} // namespace banyanwall::connection
