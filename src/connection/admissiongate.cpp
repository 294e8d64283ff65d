#include "connection/admissiongate.h"

#include "common/hash.h"

#include <algorithm>
#include <iterator>
#include <numeric>

namespace banyanwall::connection {

using common::Duration;
using common::ServiceId;
using common::TimePoint;

namespace {

constexpr std::chrono::milliseconds UpdateInterval { 200 };

} // namespace

AdmissionGate::AdmissionGate(UpstreamTable &upstreams)
    : m_upstreams(upstreams)
{ }

AdmissionGate::Verdict AdmissionGate::decide(const Request &request, TimePoint now)
{
    const auto &route = request.route;
    const auto chosen = ServiceSelection::byWeight(route.shares, request.flowHash);
    if (!hasAllTerms(route)) {
        return chosen;
    }
    const bool isNamed = request.previousService
            && std::ranges::any_of(route.shares, [&](const version::ServiceShare &share) {
                             return share.service == *request.previousService;
                         });
    const auto first = isNamed ? *request.previousService : chosen;
    const auto opening = openingOf(request, first);
    const auto verdict = m_admission.decide(opening, now);
    const auto *refused = std::get_if<OpeningRefused>(&verdict);
    if (refused == nullptr && (request.isRetransmission || !isWithoutRoom(first, now))) {
        m_admission.recordAdmission(opening);
        return first;
    }
    if (const auto other = m_selection.alternative(route.address, first, request.flowHash)) {
        const auto moved = openingOf(request, *other);
        if (std::holds_alternative<OpeningAdmitted>(m_admission.decide(moved, now))) {
            m_admission.recordAdmission(moved);
            return *other;
        }
    }
    if (refused == nullptr) {
        m_admission.recordAdmission(opening);
        return first;
    }
    m_admission.recordRefusal(opening);
    return *refused;
}

void AdmissionGate::recordAnswer(const version::RouteRecord &route, ServiceId service,
                                 Duration usualTime, const Answer &answer)
{
    if (!hasAllTerms(route)) {
        return;
    }
    const bool isFailed = answer.bytes == 0 || m_answerSizes.isShort(route.address, answer.bytes);
    const bool isLate = answer.responseTime && *answer.responseTime > *route.terms.responseAim;
    m_admission.recordAnswer(service, *route.terms.priority, std::max(usualTime, Duration(1)),
                             isLate || isFailed);
}

void AdmissionGate::update(std::span<const version::RouteRecord *const> routes,
                           std::span<const ServiceDemand> demands, TimePoint now)
{
    m_nextUpdate = now + UpdateInterval;
    const auto factor = fleetFactor(now);
    for (const auto &demand : demands) {
        const auto room = roomOf(demand.service, now);
        m_admission.update({ demand.service, room, demand.busySlots * factor,
                             expectedWait(demand.service, room, now), now },
                           now);
    }
    for (const auto *route : routes) {
        if (route->shares.size() > 1 && hasAllTerms(*route)) {
            updateSelection(*route, now);
        }
    }
    m_selection.removeUnused();
    m_admission.removeExpired(now);
}

double AdmissionGate::roomOf(ServiceId service, TimePoint now) const
{
    const auto &group = m_upstreams.ofService(service);
    return std::accumulate(
            group.begin(), group.end(), 0.0, [&](double room, const TrackedUpstream *upstream) {
                return mayTakeWork(*upstream, now) ? room + slotsOf(*upstream, now) : room;
            });
}

double AdmissionGate::slotsOf(const TrackedUpstream &upstream, TimePoint now) const
{
    const auto slots = static_cast<double>(upstream.record.slots);
    const auto service = upstream.record.service;
    const auto *rules = m_upstreams.serviceRules(service);
    if (!upstream.isCold(now) || rules == nullptr) {
        return slots / upstream.load.slowness;
    }
    const std::chrono::duration<double, std::micro> usualTime(
            m_upstreams.serviceResponseTime(service).mean());
    const std::chrono::duration<double> seconds = usualTime;
    return std::min(slots, rules->coldOpensPerSecond * seconds.count()) / upstream.load.slowness;
}

bool AdmissionGate::hasAllTerms(const version::RouteRecord &route)
{
    return route.terms.priority && route.terms.responseAim && route.terms.timeBudget;
}

OfferedOpening AdmissionGate::openingOf(const Request &request, ServiceId service)
{
    const auto &terms = request.route.terms;
    return { .service = service,
             .priority = *terms.priority,
             .responseAim = *terms.responseAim,
             .timeBudget = *terms.timeBudget,
             .caller = common::mixBits(request.callerAddress),
             .isRetransmission = request.isRetransmission,
             .expectedWork = request.usualTime };
}

double AdmissionGate::fleetFactor(TimePoint now)
{
    const auto ownMembers = 1.0 + m_position.zonePeers;
    const auto otherMembers = static_cast<double>(m_position.members.size()) - ownMembers;
    auto zones = m_upstreams.usableZones();
    std::erase(zones, m_position.zone);
    if (zones.empty() || otherMembers <= 0.0) {
        return 1.0 + std::max(0.0, otherMembers) / ownMembers;
    }
    // Callers of zones that this instance does not reach share no upstream with its own callers.
    const auto reachable = std::ranges::count_if(zones, [&](common::ZoneId zone) {
        return !m_upstreams.zoneHealth(zone).isUnreachable(now);
    });
    return 1.0
            + otherMembers / ownMembers * static_cast<double>(reachable)
            / static_cast<double>(zones.size());
}

bool AdmissionGate::mayTakeWork(const TrackedUpstream &upstream, TimePoint now) const
{
    // An upstream whose queue is full leaves openings unanswered: it is suspected, and its slots
    // are busy all the same. Only unanswered data shows that it does not work.
    return upstream.isRegistered && !upstream.record.draining
            && !m_upstreams.isWithdrawn(upstream.record.zone) && !upstream.isOutlier
            && !upstream.health.isUnresponsive(now) && !upstream.health.isUnresponsiveToZone(now)
            && !m_upstreams.zoneHealth(upstream.record.zone).isUnreachable(now);
}

Duration AdmissionGate::expectedWait(ServiceId service, double room, TimePoint now) const
{
    if (room <= 0.0) {
        return {};
    }
    const auto &group = m_upstreams.ofService(service);
    const auto work = std::accumulate(group.begin(), group.end(), Duration {},
                                      [&](Duration sum, const TrackedUpstream *upstream) {
                                          return mayTakeWork(*upstream, now)
                                                  ? sum + upstream->load.workLeft
                                                  : sum;
                                      });
    return std::chrono::duration_cast<Duration>(work / room);
}

bool AdmissionGate::isWithoutRoom(ServiceId service, TimePoint now) const
{
    const auto *admission = m_admission.find(service);
    return admission != nullptr && admission->isInformed(now)
            && admission->observation().room <= 0.0;
}

void AdmissionGate::updateSelection(const version::RouteRecord &route, TimePoint now)
{
    std::vector<ServiceSelection::ServiceState> states;
    std::ranges::transform(
            route.shares, std::back_inserter(states),
            [&](const version::ServiceShare &share) { return stateOf(share.service, now); });
    m_selection.update(route.address, route.shares, states);
}

ServiceSelection::ServiceState AdmissionGate::stateOf(ServiceId service, TimePoint now) const
{
    const auto *admission = m_admission.find(service);
    if (admission == nullptr || !admission->isInformed(now)) {
        return { .service = service };
    }
    const auto &observation = admission->observation();
    return { service, observation.room, observation.demand, admission->refusedDemand(), true };
}

} // namespace banyanwall::connection
