#include "connection/openingadmission.h"

#include "common/hash.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace banyanwall::connection {

using common::Duration;
using common::ServiceId;
using common::TimePoint;

namespace {

// After a start, the load that the instance knows is that of its first packets only.
constexpr std::chrono::seconds StartPeriod { 2 };
constexpr std::chrono::minutes ServiceRetention { 1 };
// Time in which each caller is admitted once and refused once. It is longer than the time in which
// callers retry: the retries of refused callers do not take the room of callers that can still be
// answered within the aim.
constexpr std::chrono::seconds RotationPeriod { 60 };

std::uint64_t hashOf(const OfferedOpening &opening)
{
    return common::hashPair(opening.caller, opening.service.value());
}

} // namespace

void OpeningAdmission::update(const RoomObservation &observation, TimePoint now)
{
    if (!m_startedAt) {
        m_startedAt = now;
    }
    auto &service = m_services[observation.service];
    auto &admission = service.admission;
    admission.update(observation, now);
    const bool isLimiting = admission.isLimiting() && mayRefuse(service, now);
    if (isLimiting != std::exchange(service.wasLimiting, isLimiting)) {
        m_changes.push_back({ observation.service, isLimiting, observation.room, observation.demand,
                              admission.lateShare(), now - observation.measuredAt });
    }
}

void OpeningAdmission::removeExpired(TimePoint now)
{
    std::erase_if(m_services, [&](const auto &item) {
        return now - item.second.admission.updatedAt() > ServiceRetention;
    });
}

void OpeningAdmission::recordAnswer(ServiceId service, std::uint32_t priority, Duration work,
                                    bool isLate)
{
    m_services[service].admission.recordAnswer(ServiceAdmission::indexOf(priority), work, isLate);
}

void OpeningAdmission::setClock(common::WallTime wallTime, TimePoint now)
{
    m_clockOffset = wallTime.time_since_epoch() - now.time_since_epoch();
}

AdmissionVerdict OpeningAdmission::decide(const OfferedOpening &opening, TimePoint now)
{
    const auto found = m_services.find(opening.service);
    // The caller of a refused opening was told so: a retransmission is one of an admitted opening.
    if (found == m_services.end() || opening.isRetransmission) {
        return OpeningAdmitted {};
    }
    auto &admission = found->second.admission;
    const auto priority = ServiceAdmission::indexOf(opening.priority);
    const auto work = std::max(opening.expectedWork, Duration(1));
    admission.recordOffered(priority, work);
    if (!admission.isLimiting() || !mayRefuse(found->second, now)) {
        return OpeningAdmitted {};
    }
    const auto &observation = admission.observation();
    const auto share = admission.shareOf(priority);
    const bool isServable = observation.expectedWait + work <= opening.timeBudget;
    if (isServable && positionOf(opening, now) < share) {
        return OpeningAdmitted {};
    }
    return OpeningRefused { isServable ? OpeningRefused::Cause::Share : OpeningRefused::Cause::Wait,
                            opening.service,
                            opening.priority,
                            share,
                            observation.room,
                            observation.demand,
                            admission.lateShare(),
                            observation.expectedWait,
                            now - observation.measuredAt };
}

void OpeningAdmission::recordAdmission(const OfferedOpening &opening)
{
    const auto found = m_services.find(opening.service);
    if (found != m_services.end() && !opening.isRetransmission) {
        found->second.admission.recordOpened(ServiceAdmission::indexOf(opening.priority));
    }
}

void OpeningAdmission::recordRefusal(const OfferedOpening &opening)
{
    ++m_refusals[ServiceAdmission::indexOf(opening.priority)];
}

std::vector<AdmissionChange> OpeningAdmission::takeChanges()
{
    return std::exchange(m_changes, {});
}

const ServiceAdmission *OpeningAdmission::find(ServiceId service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : &found->second.admission;
}

std::vector<ServiceId> OpeningAdmission::services() const
{
    std::vector<ServiceId> services;
    std::ranges::transform(m_services, std::back_inserter(services),
                           [](const auto &item) { return item.first; });
    std::ranges::sort(services);
    return services;
}

double OpeningAdmission::positionOf(const OfferedOpening &opening, TimePoint now) const
{
    constexpr double hashRange = 18446744073709551616.0; // 2 to the power of 64
    const std::chrono::duration<double> clock = now.time_since_epoch() + m_clockOffset;
    const auto turns = clock / RotationPeriod;
    const auto position = static_cast<double>(hashOf(opening)) / hashRange - turns;
    return position - std::floor(position);
}

bool OpeningAdmission::mayRefuse(const Service &service, TimePoint now) const
{
    return now - *m_startedAt >= StartPeriod && service.admission.isInformed(now);
}

} // namespace banyanwall::connection
