#pragma once

#include "common/ids.h"
#include "common/time.h"
#include "connection/flowpacket.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace banyanwall::connection {

/// What one packet of a caller shows about its flow.
struct FlowObservation
{
    /// Token of the observed upstream; zero when it is unknown.
    common::FlowToken upstream;
    /// The caller sent the same data or the same opening packet before.
    bool isRetransmission = false;
    /// The upstream has responded since the caller's previous packet.
    bool hasResponse = false;
    /// Time from the first transmission of a request to the acknowledgement of the first part of
    /// its response.
    std::optional<common::Duration> responseTime {};
    /// When this instance first saw the flow open; the flow may be older.
    common::TimePoint openSince {};
    /// Hash of the flow.
    std::uint64_t flow = 0;
    /// The caller has begun a request.
    bool beginsRequest = false;
    /// The flow's request has been answered, or its caller has given up.
    bool endsRequest = false;
    /// responseTime is that of the upstream: the request was not retransmitted, its caller did not
    /// pause while it sent the request, and this instance has seen the first packet.
    bool isTimed = false;
    /// Size class of the request that begins or ends; see sizeClassOf().
    std::uint8_t sizeClass = 0;
    /// Size of the first part of the response to the request, when the packet acknowledges it.
    std::uint32_t answeredBytes = 0;
    /// Time from the opening packet to the caller's next packet: the delay to the upstream and back
    /// without any work. Zero when unknown or when the opening packet was retransmitted.
    common::Duration handshakeTime {};

    /// Time from a request to its answer that tells about the upstream.
    [[nodiscard]] std::optional<common::Duration> answerTime() const
    {
        return isTimed ? responseTime : std::nullopt;
    }
};

/// Tracks the sequence numbers of flows that pass through this instance to detect retransmissions
/// and responses. Forwarding does not depend on it: the table has a fixed size, and a new flow may
/// overwrite the entry of any other flow in its set. Not thread-safe.
class FlowObserver
{
public:
    /// sets is the number of sets of four flows; a power of two.
    explicit FlowObserver(std::size_t sets);

    /// Hash of the packet's flow.
    [[nodiscard]] static std::uint64_t flowOf(const FlowPacket &packet);

    FlowObservation observe(const FlowPacket &packet, common::TimePoint now);
    /// Gets the token of the upstream, the key of the flow and when its request was first sent.
    /// Returns true to leave the flow out until its next request.
    using WaitingVisitor = std::function<bool(common::FlowToken, std::uint64_t, common::TimePoint)>;

    /// Calls the visitor for each flow that waits for a response to a request first sent before the
    /// given time.
    void visitWaiting(common::TimePoint before, const WaitingVisitor &visitor);
    using UnopenedVisitor = std::function<void(common::FlowToken)>;

    /// Calls the visitor once for each flow whose opening packet was forwarded before the given
    /// time and neither retransmitted nor followed by another packet, with the token of the
    /// upstream.
    void visitUnopened(common::TimePoint before, const UnopenedVisitor &visitor);
    /// Whether, as far as this instance sees, data of the packet's flow still waits for a response.
    [[nodiscard]] bool isWaiting(const FlowPacket &packet);
    /// Records the upstream of a flow that is being opened.
    void recordOpening(const FlowPacket &packet, common::FlowToken upstream, common::TimePoint now);

private:
    static constexpr std::size_t Ways = 4;

    struct Flow
    {
        std::uint64_t key = 0;
        common::TimePoint lastSeen;
        /// When the data that waits for a response was first sent.
        common::TimePoint waitingSince;
        /// When data that is not a retransmission was last sent.
        common::TimePoint newDataAt;
        /// When this instance first saw the flow open.
        common::TimePoint openSince {};
        common::FlowToken upstream;
        std::uint32_t sentUpTo = 0;
        std::uint32_t acknowledged = 0;
        bool isOpen = false;
        bool isWaiting = false;
        bool isFinished = false;
        /// The visitor returned true for the current request.
        bool isOverdue = false;
        /// The first transmission of the opening packet was forwarded, and no visitor has got the
        /// flow.
        bool isOpening = false;
        /// The time to the answer of the current request, or to the upstream's reply to the opening
        /// packet, is that of the upstream.
        bool isTimed = false;
        std::uint8_t sizeClass = 0;
    };

    Flow *find(std::uint64_t key);
    Flow &replaceableEntry(std::uint64_t key);
    static FlowObservation observeKnown(Flow &flow, const FlowPacket &packet,
                                        common::TimePoint now);
    static void observeAcknowledgement(Flow &flow, const FlowPacket &packet, common::TimePoint now,
                                       FlowObservation &observation);
    static void observeData(Flow &flow, const FlowPacket &packet, common::TimePoint now,
                            FlowObservation &observation);

    std::vector<Flow> m_flows;
    std::size_t m_mask;
};

} // namespace banyanwall::connection
