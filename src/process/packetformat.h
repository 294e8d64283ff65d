#pragma once

#include "connection/flowpacket.h"

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace banyanwall::process {

/// How the fabric lays out a packet.
class PacketFormat
{
public:
    /// Bytes in front of a packet on its way to an upstream.
    static constexpr std::size_t PrefixBytes = 8;
    static constexpr std::size_t HeaderBytes = 31;
    using Reset = std::array<std::uint8_t, HeaderBytes>;

    virtual ~PacketFormat() = default;
    /// Empty when the bytes are no packet.
    [[nodiscard]] virtual std::optional<connection::FlowPacket>
    decode(std::span<const std::uint8_t> packet) const = 0;
    /// Names the upstream in the prefix and sets the packet's token. prefixed is at least as long
    /// as prefix and header.
    virtual void address(std::span<std::uint8_t> prefixed, common::UpstreamSerial upstream,
                         common::FlowToken token) const = 0;
    /// Id of the request whose first bytes the packet carries; empty when it shows none.
    [[nodiscard]] virtual std::string_view
    requestIdOf(std::span<const std::uint8_t> packet) const = 0;
    /// The packet that tells the caller that its flow does not exist.
    [[nodiscard]] virtual Reset resetOf(const connection::FlowPacket &packet) const = 0;
};

} // namespace banyanwall::process
