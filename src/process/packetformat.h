#pragma once

#include "connection/flowpacket.h"

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace banyanwall::process {

/// Encodes and decodes the packets of a fabric.
class PacketFormat
{
public:
    /// Size of the prefix that names the upstream, in front of a packet that is sent to it.
    static constexpr std::size_t PrefixBytes = 8;
    static constexpr std::size_t HeaderBytes = 31;
    using Reset = std::array<std::uint8_t, HeaderBytes>;

    virtual ~PacketFormat() = default;
    /// Empty when the bytes are not a valid packet.
    [[nodiscard]] virtual std::optional<connection::FlowPacket>
    decode(std::span<const std::uint8_t> packet) const = 0;
    /// Writes the upstream into the prefix and the flow token into the header. prefixed holds the
    /// prefix and the packet, at least PrefixBytes + HeaderBytes.
    virtual void address(std::span<std::uint8_t> prefixed, common::UpstreamSerial upstream,
                         common::FlowToken token) const = 0;
    /// Id of the request whose first bytes the packet carries; empty when the packet has none.
    [[nodiscard]] virtual std::string_view
    requestIdOf(std::span<const std::uint8_t> packet) const = 0;
    /// Reset that informs the caller of the packet that its flow does not exist.
    [[nodiscard]] virtual Reset resetOf(const connection::FlowPacket &packet) const = 0;
};

} // namespace banyanwall::process
