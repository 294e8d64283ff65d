#pragma once

#include "common/endpoint.h"
#include "common/ids.h"
#include "common/reason.h"

#include <cstdint>
#include <variant>

namespace banyanwall::connection {

/// Header of a caller's packet on a fabric whose flows carry a token.
struct FlowPacket
{
    common::Endpoint caller;
    /// Address of the service that the caller connects to.
    common::Endpoint service;
    common::FlowToken token {};
    std::uint32_t sequence = 0;
    /// In an opening packet: how many times the caller sent it before.
    std::uint32_t acknowledgement = 0;
    std::uint16_t payloadBytes = 0;
    bool opens = false;
    bool acknowledges = false;
    bool finishes = false;
    bool resets = false;
};

/// Forward the packet to an upstream, with the token that names this upstream.
struct ForwardPacket
{
    common::Endpoint upstream;
    common::UpstreamSerial serial;
    common::FlowToken token;
    common::ZoneId zone {};
    /// The packet carries data that is not a retransmission.
    bool hasNewData = false;
};

/// Tell the caller that its flow does not exist.
struct ResetFlow
{
    common::Reason reason;
};

/// Send nothing; the caller retransmits the packet.
struct DropPacket
{
    common::Reason reason;
};

using PacketVerdict = std::variant<ForwardPacket, ResetFlow, DropPacket>;

} // namespace banyanwall::connection
