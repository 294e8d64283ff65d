#pragma once

#include <string_view>

namespace banyanwall::common {

/// Why a packet or request was refused, dropped or retried. Each value has a counter.
enum class Reason {
    // Packets
    MalformedPacket,
    OversizedPacket,
    UnsupportedVersion,
    UnknownService,
    HopLimit,
    NoUpstream,
    ConnectionLimit,
    UnknownFlow,
    UpstreamLost,
    UpstreamSilent,
    WrongService,
    WrongIncarnation,
    ZoneWithdrawn,
    MalformedEntry,
    StalePacket,
    // Peer messages
    BadSignature,
    UnknownKey,
    ReplayedMessage,
    UnknownPeer,
    // Requests
    RateLimit,
    FairShare,
    NoSlot,
    LeaseLost,
    AwaitingTakeover,
    IssuedBeforeTakeover,
    DeadlineExceeded,
    RetryBudgetExhausted,
    UpstreamShed,
    UpstreamDraining,
    UpstreamTimeout,
    ChecksumMismatch,
    StaleAttempt,
    Cancelled,
    ShuttingDown,
    AnswerDropped,
    TooManyRequests,
};

/// Name for logs, metrics and refusals, in snake_case.
[[nodiscard]] std::string_view toString(Reason reason);

} // namespace banyanwall::common
