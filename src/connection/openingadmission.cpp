#include "connection/openingadmission.h"

#include "common/hash.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>
#include <utility>

namespace banyanwall::connection {

using common::Duration;
using common::ServiceId;
using common::TimePoint;

namespace {

// After a start, the load that the instance knows is that of its first packets only.
constexpr std::chrono::seconds StartPeriod { 2 };
// Remembers 1,024 refused callers.
constexpr std::size_t ReturningCallerSets = 256;
// Weight that offered work keeps from one update to the next: a mean over one second.
constexpr double Retention = 0.8;
// Part of the room that each priority may use, so that a low one is not shut out for good.
constexpr double MinPriorityPart = 0.05;
// Part of a priority's room for callers whose aim has passed: an answer within the aim is worth
// more to its caller than a late one, and a caller that waits must not wait until it gives up.
constexpr double LateReturnPart = 0.1;
// Time in which each caller is admitted once and refused once. It is longer than the time in which
// callers retry: the retries of refused callers do not take the room of callers that can still be
// answered within the aim.
constexpr std::chrono::seconds RotationPeriod { 60 };

std::uint64_t keyOf(const Opening &opening)
{
    return common::hashPair(opening.caller, opening.service.value());
}

std::size_t indexOf(std::uint32_t priority)
{
    return std::min<std::size_t>(priority, OpeningAdmission::PriorityCount - 1);
}

double sumOf(const auto &values)
{
    return std::accumulate(values.begin(), values.end(), 0.0);
}

} // namespace

OpeningAdmission::OpeningAdmission()
    : m_returning(ReturningCallerSets)
{ }

void OpeningAdmission::update(const RoomObservation &load, TimePoint now)
{
    if (!m_startedAt) {
        m_startedAt = now;
    }
    auto &service = m_services[load.service];
    service.share.update(load, std::exchange(service.openedFlows, 0), now);
    divide(service);
    for (auto &byArrival : service.offered) {
        std::ranges::for_each(byArrival, [](double &work) { work *= Retention; });
    }
    const bool isLimiting = service.share.isLimiting() && mayRefuse(service, now);
    if (isLimiting != std::exchange(service.wasLimiting, isLimiting)) {
        m_changes.push_back({ load.service, isLimiting, service.share.value(), load.room,
                              load.demand, service.share.lateShare(), now - load.measuredAt });
    }
}

void OpeningAdmission::setClock(common::WallTime wallTime, TimePoint now)
{
    m_clockOffset = wallTime.time_since_epoch() - now.time_since_epoch();
}

AdmissionVerdict OpeningAdmission::decide(const Opening &opening, TimePoint now)
{
    const auto found = m_services.find(opening.service);
    // The caller of a refused opening was told so: a retransmission is one of an admitted opening.
    if (found == m_services.end() || opening.isRetransmission) {
        return OpeningAdmitted {};
    }
    auto &service = found->second;
    const auto waited = m_returning.waited(keyOf(opening), now);
    const auto arrival = static_cast<std::size_t>(arrivalOf(opening, waited));
    const auto priority = indexOf(opening.priority);
    const auto work = std::max(opening.expectedWork, Duration(1));
    service.offered[priority][arrival] += std::chrono::duration<double>(work).count();
    if (!service.share.isLimiting() || !mayRefuse(service, now)) {
        return OpeningAdmitted {};
    }
    const auto &load = service.share.load();
    const auto share = service.admitted[priority][arrival];
    const auto elapsed = waited.value_or(Duration {});
    const bool isServable = elapsed + load.expectedWait + work <= opening.timeBudget;
    if (isServable && positionOf(opening, now) < share) {
        return OpeningAdmitted {};
    }
    return OpeningRefused { isServable ? OpeningRefused::Cause::Share : OpeningRefused::Cause::Wait,
                            opening.service,
                            opening.priority,
                            share,
                            load.room,
                            load.demand,
                            service.share.lateShare(),
                            load.expectedWait,
                            now - load.measuredAt,
                            elapsed };
}

void OpeningAdmission::recordAdmission(const Opening &opening, TimePoint now)
{
    m_returning.recordAdmission(keyOf(opening), now);
    const auto found = m_services.find(opening.service);
    if (found != m_services.end() && !opening.isRetransmission) {
        ++found->second.openedFlows;
    }
}

void OpeningAdmission::recordRefusal(const Opening &opening, TimePoint now)
{
    m_returning.recordRefusal(keyOf(opening), opening.timeBudget, now);
    ++m_refusals[indexOf(opening.priority)];
}

std::vector<AdmissionChange> OpeningAdmission::takeChanges()
{
    return std::exchange(m_changes, {});
}

const AdmittedShare *OpeningAdmission::shareOf(ServiceId service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : &found->second.share;
}

std::vector<ServiceId> OpeningAdmission::services() const
{
    std::vector<ServiceId> services;
    std::ranges::transform(m_services, std::back_inserter(services),
                           [](const auto &item) { return item.first; });
    std::ranges::sort(services);
    return services;
}

void OpeningAdmission::divide(Service &service)
{
    const auto offered = std::accumulate(
            service.offered.begin(), service.offered.end(), 0.0,
            [](double sum, const ByArrival &byArrival) { return sum + sumOf(byArrival); });
    const auto granted = service.share.value() * offered;
    const auto minimumOf = [&](const ByArrival &byArrival) {
        return std::min(sumOf(byArrival), granted * MinPriorityPart);
    };
    // What is granted beyond the minimum parts goes to the highest priority first.
    auto left = std::accumulate(
            service.offered.begin(), service.offered.end(), granted,
            [&](double rest, const ByArrival &byArrival) { return rest - minimumOf(byArrival); });
    for (std::size_t priority = 0; priority < PriorityCount; ++priority) {
        const auto &byArrival = service.offered[priority];
        const auto minimum = minimumOf(byArrival);
        const auto extra = std::clamp(sumOf(byArrival) - minimum, 0.0, std::max(left, 0.0));
        left -= extra;
        service.admitted[priority] = divideAmongArrivals(byArrival, minimum + extra);
    }
}

OpeningAdmission::ByArrival OpeningAdmission::divideAmongArrivals(const ByArrival &offered,
                                                                  double granted)
{
    const auto [newWork, inAim, late] = offered;
    const auto reservedLate = std::min(late, granted * LateReturnPart);
    const auto grantedInAim = std::min(inAim, granted - reservedLate);
    const auto grantedNew = std::min(newWork, granted - reservedLate - grantedInAim);
    const auto grantedLate = std::min(late, granted - grantedInAim - grantedNew);
    const auto shareOf = [](double part, double work) { return work > 0.0 ? part / work : 1.0; };
    return { shareOf(grantedNew, newWork), shareOf(grantedInAim, inAim),
             shareOf(grantedLate, late) };
}

OpeningAdmission::Arrival OpeningAdmission::arrivalOf(const Opening &opening,
                                                      const std::optional<Duration> &waited) const
{
    if (!waited) {
        return Arrival::New;
    }
    return *waited + opening.expectedWork <= opening.responseAim ? Arrival::ReturnedInAim
                                                                 : Arrival::ReturnedLate;
}

double OpeningAdmission::positionOf(const Opening &opening, TimePoint now) const
{
    constexpr double hashRange = 18446744073709551616.0; // 2 to the power of 64
    const std::chrono::duration<double> clock = now.time_since_epoch() + m_clockOffset;
    const auto turns = clock / RotationPeriod;
    const auto position = static_cast<double>(keyOf(opening)) / hashRange - turns;
    return position - std::floor(position);
}

bool OpeningAdmission::mayRefuse(const Service &service, TimePoint now) const
{
    return now - *m_startedAt >= StartPeriod && service.share.isInformed(now);
}

} // namespace banyanwall::connection
