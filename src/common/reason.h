#pragma once

#include <string_view>

namespace banyanwall::common {

/// Why a packet or request was refused, dropped or retried. Metrics count each value under its name
/// from toString().
enum class Reason {
    // Packets
    MalformedPacket,
    OversizedPacket,
    UnsupportedVersion,
    /// No service has the address to which the packet was sent.
    UnknownService,
    /// The packet was relayed too often between instances.
    HopLimit,
    /// The service has no upstream that takes new flows or requests.
    NoUpstream,
    /// Callers bring more work than the upstreams can do within the response aim.
    NoRoom,
    /// The upstream holds as many flows as it may.
    ConnectionLimit,
    /// The flow is not open, or its token names no known upstream.
    UnknownFlow,
    /// The upstream of the flow has failed or was removed.
    UpstreamLost,
    /// The upstream of the flow does not respond.
    UpstreamSilent,
    /// The upstream belongs to another service than the packet.
    WrongService,
    /// The packet names a former incarnation of the upstream.
    WrongIncarnation,
    /// The availability zone of the upstream is withdrawn.
    ZoneWithdrawn,
    /// A store entry could not be decoded.
    MalformedEntry,
    /// An opening packet that was read only after a stall of the process. Its caller has
    /// retransmitted it or given up.
    StalePacket,
    /// The handler of a packet, message or timer threw an exception.
    InternalError,
    // Peer messages
    BadSignature,
    /// The message is signed with a key that the settings do not hold.
    UnknownKey,
    /// The sequence number was received before or is too old, or the sender has restarted since.
    ReplayedMessage,
    UnknownPeer,
    /// The changes of a peer's directory do not fit the entries that are known here.
    InconsistentDelta,
    /// A message of a peer, or an answer of the store, that ends in a former era of the store.
    StaleEra,
    /// An answer of the store does not name its era, or names no number.
    UnreadableEra,
    // Requests
    /// The customer sends more requests per second than the contract allows.
    RateLimit,
    /// The instance has as many requests in progress as it may, and the customer has its fair share
    /// of them.
    FairShare,
    /// No upstream granted a slot in time.
    NoSlot,
    /// The instance may not dispatch the request, because it holds no valid lease.
    LeaseLost,
    /// Another instance may still dispatch the request, or its coordinator is not known yet.
    AwaitingTakeover,
    /// The request was issued before this instance took over as its coordinator, so that another
    /// instance may have dispatched it.
    IssuedBeforeTakeover,
    DeadlineExceeded,
    RetryBudgetExhausted,
    /// All slots of the upstream were busy when the request arrived there.
    UpstreamShed,
    UpstreamDraining,
    UpstreamTimeout,
    ChecksumMismatch,
    /// An answer, refusal or slot grant for an attempt that is no longer in progress.
    StaleAttempt,
    Cancelled,
    ShuttingDown,
    /// The request has completed, and the coordinator no longer holds its answer.
    AnswerDropped,
    /// The instance holds as many requests or pending work items as it may.
    TooManyRequests,
};

/// Returns the name for logs, metrics and messages to callers, in snake_case.
[[nodiscard]] std::string_view toString(Reason reason);

} // namespace banyanwall::common
