#include "connection/serviceselection.h"

#include "common/hash.h"

#include <algorithm>
#include <numeric>

namespace banyanwall::connection {

using common::ServiceId;

namespace {

// The own callers of a service keep the rest of its room, because their demand varies.
constexpr double MaxUtilization = 0.85;
// Weight that a share keeps from one update to the next: a mean over one second.
constexpr double Retention = 0.8;
// Part of the way to a higher share in one update: the measured demand lags behind by a second.
constexpr double IncreaseGain = 0.2;
// Part of the room that has to be free for all openings of a service without slots.
constexpr double FreeBand = 0.2;

/// A number from 0 to 1.
double fractionOf(std::uint64_t hash)
{
    constexpr double hashRange = 18446744073709551616.0; // 2 to the power of 64
    return static_cast<double>(hash) / hashRange;
}

} // namespace

ServiceId ServiceSelection::byWeight(std::span<const version::ServiceShare> shares,
                                     std::uint64_t flowHash)
{
    const auto total = std::accumulate(
            shares.begin(), shares.end(), 0U,
            [](std::uint32_t sum, const auto &share) { return sum + share.weight; });
    // Mixes the hash again, so that the share does not depend on the bits that rank the upstreams.
    auto position = common::mixBits(flowHash) % total;
    for (const auto &share : shares) {
        if (position < share.weight) {
            return share.service;
        }
        position -= share.weight;
    }
    return shares.back().service;
}

void ServiceSelection::update(common::Endpoint address,
                              std::span<const version::ServiceShare> shares,
                              std::span<const ServiceState> states)
{
    auto &route = m_routes[address];
    route.isUsed = true;
    const auto isNamed = [&](const ServiceState &state) {
        return std::ranges::any_of(shares, [&](const version::ServiceShare &share) {
            return share.service == state.service && share.weight > 0;
        });
    };
    for (const auto &from : states) {
        for (const auto &to : states) {
            if (from.service != to.service && isNamed(from) && isNamed(to)) {
                move(partOf(route, from.service, to.service), from, to);
            }
        }
    }
}

void ServiceSelection::removeUnused()
{
    std::erase_if(m_routes, [](const auto &item) { return !item.second.isUsed; });
    for (auto &[address, route] : m_routes) {
        route.isUsed = false;
    }
}

std::optional<ServiceId> ServiceSelection::alternative(common::Endpoint address, ServiceId from,
                                                       std::uint64_t flowHash) const
{
    const auto route = m_routes.find(address);
    if (route == m_routes.end()) {
        return std::nullopt;
    }
    const auto found = std::ranges::find_if(route->second.parts, [&](const Part &part) {
        return part.from == from
                && fractionOf(common::hashPair(part.to.value(), flowHash)) < part.share;
    });
    return found == route->second.parts.end() ? std::nullopt : std::optional(found->to);
}

ServiceSelection::Part &ServiceSelection::partOf(Route &route, ServiceId from, ServiceId to)
{
    const auto found = std::ranges::find_if(
            route.parts, [&](const Part &part) { return part.from == from && part.to == to; });
    return found == route.parts.end() ? route.parts.emplace_back(Part { from, to }) : *found;
}

void ServiceSelection::move(Part &part, const ServiceState &from, const ServiceState &to)
{
    part.laggedShare = part.laggedShare * Retention + part.share * (1.0 - Retention);
    moveTo(part, targetOf(part, from, to));
}

double ServiceSelection::targetOf(const Part &part, const ServiceState &from,
                                  const ServiceState &to)
{
    if (!from.isInformed || !to.isInformed || to.room <= 0.0) {
        return 0.0;
    }
    const auto free = to.room * MaxUtilization - to.demand;
    if (from.room <= 0.0) {
        // Nothing shows how much work the callers of a service without slots would bring.
        return free / (to.room * FreeBand);
    }
    // The demand holds what has already come from the other service.
    return from.refused > 0.0 ? free / from.refused + part.laggedShare : 0.0;
}

void ServiceSelection::moveTo(Part &part, double target)
{
    const auto bounded = std::clamp(target, 0.0, 1.0);
    const auto increased = part.share + (bounded - part.share) * IncreaseGain;
    part.share = std::min(bounded, increased);
}

} // namespace banyanwall::connection
