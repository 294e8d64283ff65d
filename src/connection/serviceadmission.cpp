#include "connection/serviceadmission.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace banyanwall::connection {

using common::Duration;
using common::TimePoint;

namespace {

// Older figures say nothing about the load of now: callers give up after a few seconds.
constexpr std::chrono::seconds MaxFigureAge { 2 };
// A gap between two updates in which the process was paused.
constexpr std::chrono::seconds MaxUpdateGap { 1 };
// Fewer answers show no share of late ones.
constexpr double MinAnswers = 8.0;
// A single late answer of an instance with few requests shows nothing.
constexpr double MinLateAnswers = 1.5;
// A single delay, such as the repair of a path, is over after one update.
constexpr std::uint32_t MinOverloadedUpdates = 2;
// Weight that answers keep from one update to the next: a mean over one second.
constexpr double AnswerRetention = 0.8;
// The end of a rush shows in the own openings sooner than in the demand: a mean over 600 ms,
// compared to one over two seconds.
constexpr double RecentRetention = 0.7;
// Fewer openings than this many standard deviations below the expected number are no chance.
constexpr double ClearDeviation = 2.0;
// What callers offer varies more slowly than the delay: a mean over two seconds.
constexpr double MixRetention = 0.9;
// A service keeps its aim while 19 of 20 answers do.
constexpr double MaxLateShare = 0.05;
constexpr double UnnoticedLateShare = 0.01;
// The room is an estimate: the utilization at which answers keep the aim is found by their delay.
constexpr double MinTargetUtilization = 0.9;
constexpr double MaxTargetUtilization = 4.0;
constexpr double TargetDecrease = 0.97;
constexpr double TargetIncrease = 1.01;
// Part of the room that each priority may use, so that a low one is not shut out for good.
constexpr double MinPriorityPart = 0.05;

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

std::size_t ServiceAdmission::indexOf(std::uint32_t priority)
{
    return std::min<std::size_t>(priority, PriorityCount - 1);
}

void ServiceAdmission::recordAnswer(std::size_t priority, Duration work, bool isLate)
{
    m_answers += 1.0;
    m_lateAnswers += isLate ? 1.0 : 0.0;
    m_priorities[priority].answers += 1.0;
    m_priorities[priority].answeredWork += secondsOf(work);
}

void ServiceAdmission::recordOffered(std::size_t priority, Duration work)
{
    m_priorities[priority].offered += secondsOf(work);
    m_openings += 1.0;
}

void ServiceAdmission::update(const RoomObservation &observation, TimePoint now)
{
    const bool wasPaused = now - m_updatedAt > MaxUpdateGap;
    m_updatedAt = now;
    m_observation = observation;
    const auto openings = std::exchange(m_openings, 0.0);
    m_recentOpenings = m_recentOpenings * RecentRetention + openings;
    m_formerOpenings = m_formerOpenings * MixRetention + openings;
    const bool isOld = now - observation.measuredAt > MaxFigureAge;
    if (wasPaused || isOld || observation.room <= 0.0) {
        admitAll();
        decay();
        return;
    }
    const bool isOverloaded = observation.demand > observation.room * m_targetUtilization
            && m_answers >= MinAnswers && m_lateAnswers >= MinLateAnswers
            && lateShare() > MaxLateShare;
    m_overloadedUpdates = isOverloaded ? m_overloadedUpdates + 1 : 0;
    if (isLimiting()) {
        adaptTarget();
    }
    moveShares();
    decay();
}

bool ServiceAdmission::isLimiting() const
{
    return std::ranges::any_of(
            m_priorities, [](const Priority &priority) { return priority.share.value() < 1.0; });
}

bool ServiceAdmission::isInformed(TimePoint now) const
{
    return now - m_observation.measuredAt <= MaxFigureAge && now - m_updatedAt <= MaxUpdateGap;
}

double ServiceAdmission::lateShare() const
{
    return m_answers > 0.0 ? m_lateAnswers / m_answers : 0.0;
}

double ServiceAdmission::refusedDemand() const
{
    return std::accumulate(
            m_priorities.begin(), m_priorities.end(), 0.0,
            [this](double sum, const Priority &priority) {
                const auto &share = priority.share;
                return sum + demandOf(priority) / share.lagged() * (1.0 - share.value());
            });
}

void ServiceAdmission::admitAll()
{
    m_overloadedUpdates = 0;
    m_targetUtilization = 1.0;
    for (auto &priority : m_priorities) {
        priority.share.admitAll();
    }
}

void ServiceAdmission::adaptTarget()
{
    if (lateShare() > MaxLateShare) {
        m_targetUtilization = std::max(MinTargetUtilization, m_targetUtilization * TargetDecrease);
    } else if (lateShare() < UnnoticedLateShare) {
        m_targetUtilization = std::min(MaxTargetUtilization, m_targetUtilization * TargetIncrease);
    }
}

void ServiceAdmission::moveShares()
{
    const auto room = m_observation.room * m_targetUtilization;
    const bool mayFall = m_overloadedUpdates >= MinOverloadedUpdates;
    const auto offeredPart = offeredRatio();
    // The demand of each priority depends on the shares of all, which change below.
    std::array<double, PriorityCount> demands {};
    std::ranges::transform(m_priorities, demands.begin(), [&](const Priority &priority) {
        return demandOf(priority) * (1.0 - newDemandOf(priority) * (1.0 - offeredPart));
    });
    auto left = room;
    for (std::size_t index = 0; index < PriorityCount; ++index) {
        auto &priority = m_priorities[index];
        if (m_answers < MinAnswers) {
            priority.share.release();
        } else {
            priority.share.update({ std::max(left, room * MinPriorityPart), demands[index],
                                    newDemandOf(priority) },
                                  mayFall);
        }
        left -= demands[index];
    }
    if (!isLimiting()) {
        m_targetUtilization = 1.0;
    }
}

void ServiceAdmission::decay()
{
    m_answers *= AnswerRetention;
    m_lateAnswers *= AnswerRetention;
    for (auto &priority : m_priorities) {
        priority.opened *= MixRetention;
        priority.answers *= MixRetention;
        priority.answeredWork *= MixRetention;
        priority.offered *= MixRetention;
    }
}

double ServiceAdmission::newDemandOf(const Priority &priority)
{
    return priority.answers > 0.0 ? std::min(1.0, priority.opened / priority.answers) : 1.0;
}

double ServiceAdmission::workOf(const Priority &priority)
{
    const auto newDemand = newDemandOf(priority);
    const auto admitted = priority.offered * priority.share.lagged();
    return newDemand * admitted + (1.0 - newDemand) * priority.answeredWork;
}

double ServiceAdmission::offeredRatio() const
{
    const auto expected = m_formerOpenings * (1.0 - MixRetention) / (1.0 - RecentRetention);
    const bool hasFallen = m_recentOpenings < expected - ClearDeviation * std::sqrt(expected);
    return hasFallen ? m_recentOpenings / expected : 1.0;
}

double ServiceAdmission::demandOf(const Priority &priority) const
{
    const auto work =
            std::accumulate(m_priorities.begin(), m_priorities.end(), 0.0,
                            [](double sum, const Priority &other) { return sum + workOf(other); });
    return work > 0.0 ? m_observation.demand * workOf(priority) / work : 0.0;
}

} // namespace banyanwall::connection
