#include "benchmarks/flowbalancer.h"

#include "common/hash.h"
#include "common/result.h"

#include <algorithm>
#include <numeric>

namespace banyanwall::benchmarks {

using common::Overloaded;
using connection::FlowPacket;
using connection::PacketVerdict;

namespace {

std::uint64_t hashOf(const FlowPacket &packet)
{
    return common::hashPair(std::hash<common::Endpoint> {}(packet.caller), packet.service.port);
}

} // namespace

FlowBalancer::FlowBalancer(const ChoiceKind &kind, common::ZoneId zone, std::uint64_t instance,
                           std::uint32_t instances, std::uint32_t zonePeers)
    : m_kind(kind)
    , m_forwarder({ .ownZone = zone,
                    .instance = instance,
                    .choice = std::holds_alternative<LoadChoice>(kind)
                            ? connection::UpstreamChoice::ByContract
                            : connection::UpstreamChoice::ByHash },
                  [](common::Duration) {})
{
    std::vector<std::uint64_t> members(instances);
    std::iota(members.begin(), members.end(), 1);
    m_forwarder.setPosition({ .zone = zone,
                              .instance = instance,
                              .members = std::move(members),
                              .zonePeers = zonePeers },
                            {});
}

void FlowBalancer::update(const version::DirectoryDelta &delta, common::TimePoint now)
{
    m_forwarder.update(m_directory, m_directory.apply(delta, now), now);
    m_forwarder.setConfirmedAt(now);
}

PacketVerdict FlowBalancer::handle(const FlowPacket &packet, common::TimePoint now)
{
    return std::visit(
            Overloaded {
                    [&](const RendezvousChoice &) {
                        return packet.opens ? chooseByHash(packet) : forwardByToken(packet);
                    },
                    [&](const TwoChoices &) {
                        return packet.opens ? chooseOfTwo(packet) : forwardByToken(packet);
                    },
                    [&](const OracleChoice &oracle) {
                        return packet.opens ? chooseByOracle(oracle) : forwardByToken(packet);
                    },
                    [&](const auto &) { return m_forwarder.handle(packet, now); },
            },
            m_kind);
}

connection::PassiveHealthReport FlowBalancer::takeHealthReport(common::TimePoint now)
{
    m_forwarder.setPacketsReadUpTo(now);
    m_forwarder.findOutliers(now);
    return m_forwarder.takeHealthReport(now);
}

std::vector<FlowPacket> FlowBalancer::takeFlowsToReset(common::TimePoint now)
{
    return hasForwarder() ? m_forwarder.takeFlowsToReset(now) : std::vector<FlowPacket> {};
}

bool FlowBalancer::suspects(common::UpstreamSerial upstream, common::TimePoint now)
{
    const auto *known = m_forwarder.upstreams().find(connection::tokenOf(upstream));
    return known != nullptr && known->health.isSuspected(now);
}

connection::PassiveHealthReport
FlowBalancer::onReports(const connection::PassiveHealthReport &reports, common::TimePoint now)
{
    return m_forwarder.onPeerHealthReport(reports, now);
}

bool FlowBalancer::hasForwarder() const
{
    return std::holds_alternative<PassiveHealthChoice>(m_kind)
            || std::holds_alternative<LoadChoice>(m_kind);
}

PacketVerdict FlowBalancer::chooseByOracle(const OracleChoice &oracle)
{
    const auto *upstream = oracle.soonestUpstream();
    return upstream == nullptr ? connection::ResetFlow { common::Reason::NoUpstream }
                               : forwardTo(*upstream);
}

std::optional<connection::LoadReport> FlowBalancer::takeLoadReport(common::TimePoint now)
{
    if (!std::holds_alternative<LoadChoice>(m_kind)) {
        return std::nullopt;
    }
    m_forwarder.refreshLoad(now);
    return m_forwarder.takeLoadReport(now);
}

void FlowBalancer::onLoadReport(const connection::LoadReport &report, common::TimePoint now)
{
    m_forwarder.onPeerLoadReport(report, now);
}

PacketVerdict FlowBalancer::chooseByHash(const FlowPacket &packet)
{
    const auto upstreams = ranked(packet);
    if (upstreams.empty()) {
        return connection::ResetFlow { common::Reason::NoUpstream };
    }
    return forwardTo(upstreams.front());
}

PacketVerdict FlowBalancer::chooseOfTwo(const FlowPacket &packet)
{
    const auto upstreams = ranked(packet);
    if (upstreams.size() < 2) {
        return chooseByHash(packet);
    }
    const bool shouldTakeSecond = m_opened[upstreams[1].serial] < m_opened[upstreams[0].serial];
    const auto &chosen = upstreams[shouldTakeSecond ? 1 : 0];
    ++m_opened[chosen.serial];
    return forwardTo(chosen);
}

PacketVerdict FlowBalancer::forwardByToken(const FlowPacket &packet) const
{
    for (const auto &[key, entry] : m_directory.entries()) {
        const auto *upstream = std::get_if<version::UpstreamRecord>(&entry.value);
        if (upstream != nullptr && connection::tokenOf(upstream->serial) == packet.token) {
            return forwardTo(*upstream);
        }
    }
    return connection::DropPacket { common::Reason::UnknownFlow };
}

FlowBalancer::Upstreams FlowBalancer::ranked(const FlowPacket &packet) const
{
    Upstreams upstreams;
    for (const auto &[key, entry] : m_directory.entries()) {
        const auto *upstream = std::get_if<version::UpstreamRecord>(&entry.value);
        if (upstream != nullptr && upstream->coldFor == common::Duration()) {
            upstreams.push_back(*upstream);
        }
    }
    const auto hash = hashOf(packet);
    std::ranges::sort(upstreams, std::greater {}, [hash](const auto &upstream) {
        return common::hashPair(upstream.serial.value(), hash);
    });
    return upstreams;
}

PacketVerdict FlowBalancer::forwardTo(const version::UpstreamRecord &upstream)
{
    return connection::ForwardPacket { upstream.endpoint, upstream.serial,
                                       connection::tokenOf(upstream.serial) };
}

} // namespace banyanwall::benchmarks
