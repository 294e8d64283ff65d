#pragma once

#include "connection/flowforwarder.h"
#include "connection/flowpacket.h"
#include "version/directory.h"

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <variant>
#include <vector>

namespace banyanwall::benchmarks {

/// Baseline: the upstream of a flow follows from the hash of the flow alone.
struct RendezvousChoice
{ };

/// Baseline: the one of two upstreams that got fewer flows from this instance lately.
struct TwoChoices
{ };

/// The product's packet path.
struct EvidenceChoice
{ };

using ChoiceKind = std::variant<RendezvousChoice, TwoChoices, EvidenceChoice>;

/// One instance that forwards packets by one of the ways to choose.
class FlowBalancer
{
public:
    /// instance counts from 1 to instances.
    FlowBalancer(const ChoiceKind &kind, common::ZoneId zone, std::uint64_t instance,
                 std::uint32_t instances, std::uint32_t zonePeers);

    void update(const version::DirectoryDelta &delta, common::TimePoint now);
    connection::PacketVerdict handle(const connection::FlowPacket &packet, common::TimePoint now);
    /// Evidence for the other instances of the zone.
    [[nodiscard]] connection::PassiveHealthReport takeHealthReport(common::TimePoint now);
    /// Packets whose flows are reset now.
    [[nodiscard]] std::vector<connection::FlowPacket> takeFlowsToReset(common::TimePoint now);
    /// Whether new flows avoid the upstream because it seems silent.
    [[nodiscard]] bool suspects(common::UpstreamSerial upstream, common::TimePoint now);
    /// Returns the objections.
    connection::PassiveHealthReport onReports(const connection::PassiveHealthReport &reports,
                                              common::TimePoint now);

private:
    using Upstreams = std::vector<version::UpstreamRecord>;

    connection::PacketVerdict chooseByHash(const connection::FlowPacket &packet);
    connection::PacketVerdict chooseOfTwo(const connection::FlowPacket &packet);
    connection::PacketVerdict follow(const connection::FlowPacket &packet) const;
    [[nodiscard]] Upstreams ranked(const connection::FlowPacket &packet) const;
    static connection::PacketVerdict forwardTo(const version::UpstreamRecord &upstream);

    ChoiceKind m_kind;
    version::Directory m_directory;
    connection::FlowForwarder m_forwarder;
    std::unordered_map<common::UpstreamSerial, std::uint64_t> m_opened;
};

} // namespace banyanwall::benchmarks
