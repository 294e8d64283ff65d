#pragma once

#include "common/endpoint.h"
#include "common/ids.h"
#include "version/directory.h"

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace banyanwall::connection {

/// Chooses the service of a flow when its route names several. The weights divide the flows while
/// all services have room. Openings that one service has no room for go to the others as far as
/// those have free room. Not thread-safe.
class ServiceSelection
{
public:
    /// A service and what admission knows of it.
    struct ServiceState
    {
        common::ServiceId service;
        double room = 0.0;
        double demand = 0.0;
        /// Work in slots that its admission refuses.
        double refused = 0.0;
        /// Whether room and demand are recent.
        bool isInformed = false;
    };

    /// Service by weight; the same at all instances.
    [[nodiscard]] static common::ServiceId byWeight(std::span<const version::ServiceShare> shares,
                                                    std::uint64_t flowHash);

    /// Divides the free room of the services of a route; called every 200 ms for each route that
    /// names several services.
    void update(common::Endpoint route, std::span<const version::ServiceShare> shares,
                std::span<const ServiceState> states);
    /// Forgets the routes for which update() was not called since the last call.
    void removeUnused();

    /// Service for an opening that the service from has no room for; empty when no other service of
    /// the route has free room for it.
    [[nodiscard]] std::optional<common::ServiceId>
    alternative(common::Endpoint route, common::ServiceId from, std::uint64_t flowHash) const;

private:
    /// Part of the openings that one service has no room for, and that go to another one.
    struct Part
    {
        common::ServiceId from;
        common::ServiceId to;
        /// From 0 to 1.
        double share = 0.0;
        /// Mean of the share over the time in which the measured demand arose.
        double laggedShare = 0.0;
    };

    struct Route
    {
        std::vector<Part> parts;
        bool isUsed = true;
    };

    [[nodiscard]] static Part &partOf(Route &route, common::ServiceId from, common::ServiceId to);
    static void move(Part &part, const ServiceState &from, const ServiceState &to);
    [[nodiscard]] static double targetOf(const Part &part, const ServiceState &from,
                                         const ServiceState &to);
    static void moveTo(Part &part, double target);

    std::unordered_map<common::Endpoint, Route> m_routes;
};

} // namespace banyanwall::connection
