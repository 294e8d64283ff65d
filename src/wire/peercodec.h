#pragma once

#include "common/ids.h"
#include "peer.pb.h"
#include "wire/datagram.h"

#include <map>
#include <string>
#include <string_view>

namespace banyanwall::wire {

/// A message whose signature was verified.
struct VerifiedMessage
{
    common::InstanceId sender;
    common::Incarnation incarnation;
    std::uint64_t sequence = 0;
    proto::PeerMessage message;
};

/// Signs and verifies the messages between instances with HMAC-SHA256 truncated to 16 bytes.
///
/// Several keys may be valid at the same time. To rotate keys without interruption, add the new key
/// on all instances, then sign with it, then remove the old one.
///
/// Replayed messages are rejected by their sequence number. For each sender the numbers of the last
/// ReplayWindow messages of its newest incarnation are known; messages of former incarnations and
/// older numbers are rejected as well. Not thread-safe.
class PeerCodec
{
public:
    static constexpr std::uint64_t ReplayWindow = 64;

    PeerCodec(common::InstanceId self, common::Incarnation incarnation,
              std::map<std::uint32_t, std::string> keys, std::uint32_t signingKey);

    [[nodiscard]] std::string encode(const proto::PeerMessage &message);
    [[nodiscard]] Decoded<VerifiedMessage> decode(std::string_view bytes);

private:
    struct SenderWindow
    {
        std::uint64_t incarnation = 0;
        std::uint64_t newest = 0;
        /// Bit n is set if the message with sequence number newest - n was received.
        std::uint64_t seen = 0;
    };

    [[nodiscard]] bool acceptSequence(const proto::PeerEnvelope &envelope);

    common::InstanceId m_self;
    common::Incarnation m_incarnation;
    std::map<std::uint32_t, std::string> m_keys;
    std::uint32_t m_signingKey;
    std::uint64_t m_sequence = 0;
    std::map<std::uint32_t, SenderWindow> m_windows;
};

} // namespace banyanwall::wire
