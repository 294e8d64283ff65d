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
    /// Address that the caller uses.
    common::Endpoint service;
    common::FlowToken token {};
    std::uint32_t sequence = 0;
    /// In a packet that opens a flow: how often it was sent before.
    std::uint32_t acknowledgement = 0;
    std::uint16_t payloadBytes = 0;
    bool opens = false;
    bool acknowledges = false;
    bool finishes = false;
    bool resets = false;
};

/// The packet goes to an upstream, with the token that names it.
struct ForwardPacket
{
    common::Endpoint upstream;
    common::UpstreamSerial serial;
    common::FlowToken token;
    common::ZoneId zone {};
    /// The packet carries data that was not sent before.
    bool hasNewData = false;
};

/// The caller is told that its flow does not exist.
struct ResetFlow
{
    common::Reason reason;
};

/// Nothing is sent; the caller sends the packet again.
struct DropPacket
{
    common::Reason reason;
};

using PacketVerdict = std::variant<ForwardPacket, ResetFlow, DropPacket>;

} // namespace banyanwall::connection
