#pragma once

#include "connection/flowrouter.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace banyanwall::tests {

/// Routers of several instances, connected by direct calls instead of messages.
class RouterFleet
{
public:
    using Outcome = std::variant<common::UpstreamId, common::Reason>;

    static constexpr common::ServiceId Service { 77 };

    explicit RouterFleet(std::uint32_t instances)
    {
        while (routers.size() < instances) {
            add(static_cast<std::uint32_t>(routers.size()) + 1);
        }
        announceMembers();
        now += std::chrono::seconds(10);
    }

    void add(std::uint32_t id)
    {
        routers[id] = std::make_unique<connection::FlowRouter>(common::InstanceId(id), zoneOf(id));
    }

    static common::ZoneId zoneOf(std::uint32_t id) { return common::ZoneId(1 + id % 3); }

    /// Sets the routers of the fleet as the live members on all of them.
    void announceMembers()
    {
        std::vector<connection::Member> members;
        for (const auto &[id, router] : routers) {
            members.push_back({ common::InstanceId(id), zoneOf(id), false });
        }
        selector = std::make_shared<const connection::OwnerSelector>(members);
        forEachRouter([&](auto &router) { router.setMembers(selector, now); });
    }

    void forEachRouter(const std::function<void(connection::FlowRouter &)> &visit)
    {
        std::ranges::for_each(routers, [&](const auto &entry) { visit(*entry.second); });
    }

    /// Applies a roster on all instances and puts it in force.
    void rollOut(const version::ServiceRoster &roster)
    {
        forEachRouter([&](auto &router) {
            router.applyRoster(roster, now);
            router.setInForce(Service, roster.version);
        });
    }

    /// Routes a packet through the fleet, starting at the instance that gets it from the fabric.
    /// Returns the upstream that the packet reaches, or the reason why it is rejected.
    Outcome deliver(std::uint32_t instance, connection::PacketKind kind, common::FlowKey flow)
    {
        connection::RoutedPacket packet { Service, flow, kind, 0, std::nullopt, std::nullopt };
        while (routers.contains(instance)) {
            const auto decision = routers.at(instance)->route(packet, now);
            lastInstance = instance;
            if (const auto *forward = std::get_if<connection::ForwardToUpstream>(&decision)) {
                return forward->upstream;
            }
            if (const auto *reject = std::get_if<connection::RejectPacket>(&decision)) {
                return reject->reason;
            }
            const auto &relay = std::get<connection::RelayToPeer>(decision);
            packet = { Service,         flow,         kind,
                       packet.hops + 1, relay.record, common::InstanceId(instance) };
            instance = relay.peer.value();
        }
        return common::Reason::UnknownPeer;
    }

    /// Delivers all pending handovers to their receivers.
    void deliverHandovers()
    {
        forEachRouter([&](auto &router) {
            for (const auto &batch : router.takeHandovers(100'000, now)) {
                routers.at(batch.receiver.value())->acceptHandover(batch, now);
            }
        });
    }

    std::map<std::uint32_t, std::unique_ptr<connection::FlowRouter>> routers;
    std::shared_ptr<const connection::OwnerSelector> selector;
    common::TimePoint now { std::chrono::seconds(1'000) };
    /// Instance that decided on the last delivered packet.
    std::uint32_t lastInstance = 0;
};

} // namespace banyanwall::tests
