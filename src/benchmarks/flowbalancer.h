#pragma once

#include "connection/flowforwarder.h"
#include "connection/flowpacket.h"
#include "version/directory.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace banyanwall::benchmarks {

/// Baseline: rendezvous hash of the flow over all upstreams that are not cold, whatever their
/// health and load.
struct RendezvousChoice
{ };

/// Baseline: of the two upstreams that the hash of the flow ranks highest, the one to which this
/// instance has opened fewer flows.
struct TwoChoices
{ };

/// The daemon's packet path (FlowForwarder) with passive health checks, and the choice by hash.
struct PassiveHealthChoice
{ };

/// The daemon's packet path with the choice by load.
struct LoadChoice
{ };

/// Baseline that no system can reach: the upstream that is expected to answer first, with knowledge
/// of all queues and speeds.
struct OracleChoice
{
    /// Null when no upstream is reachable. Set by FlowLoad.
    std::function<const version::UpstreamRecord *()> soonestUpstream {};
};

using ChoiceKind =
        std::variant<RendezvousChoice, TwoChoices, PassiveHealthChoice, LoadChoice, OracleChoice>;

/// One instance that chooses the upstreams of new flows by one of the designs under comparison.
class FlowBalancer
{
public:
    /// instance is a number from 1 to instances; zonePeers counts the other instances of its zone.
    FlowBalancer(const ChoiceKind &kind, common::ZoneId zone, std::uint64_t instance,
                 std::uint32_t instances, std::uint32_t zonePeers);

    void update(const version::DirectoryDelta &delta, common::TimePoint now);
    connection::PacketVerdict handle(const connection::FlowPacket &packet, common::TimePoint now);
    /// Passive health report for the other instances of the zone.
    [[nodiscard]] connection::PassiveHealthReport takeHealthReport(common::TimePoint now);
    /// Load report for the other instances of the zone, when one is due; called every 100 ms.
    [[nodiscard]] std::optional<connection::LoadReport> takeLoadReport(common::TimePoint now);
    void onLoadReport(const connection::LoadReport &report, common::TimePoint now);
    /// Packets whose flows are to be reset because their upstream is unresponsive; empty for the
    /// baselines.
    [[nodiscard]] std::vector<connection::FlowPacket> takeFlowsToReset(common::TimePoint now);
    /// Whether new flows avoid the upstream because it is suspected to be unresponsive.
    [[nodiscard]] bool suspects(common::UpstreamSerial upstream, common::TimePoint now);
    /// Handles a peer's passive health report; returns the refutation for the sender.
    connection::PassiveHealthReport onReports(const connection::PassiveHealthReport &reports,
                                              common::TimePoint now);

private:
    using Upstreams = std::vector<version::UpstreamRecord>;

    connection::PacketVerdict chooseByHash(const connection::FlowPacket &packet);
    connection::PacketVerdict chooseOfTwo(const connection::FlowPacket &packet);
    connection::PacketVerdict forwardByToken(const connection::FlowPacket &packet) const;
    [[nodiscard]] Upstreams ranked(const connection::FlowPacket &packet) const;
    /// Whether this is the daemon's packet path and not a baseline.
    [[nodiscard]] bool hasForwarder() const;
    [[nodiscard]] static connection::PacketVerdict chooseByOracle(const OracleChoice &oracle);
    static connection::PacketVerdict forwardTo(const version::UpstreamRecord &upstream);

    ChoiceKind m_kind;
    version::Directory m_directory;
    connection::FlowForwarder m_forwarder;
    std::unordered_map<common::UpstreamSerial, std::uint64_t> m_opened;
};

} // namespace banyanwall::benchmarks
