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
    /// Token of the upstream that this is about; zero when none is known.
    common::FlowToken upstream;
    /// The caller sent the same data, or the same opening packet, before.
    bool isRetransmission = false;
    /// The upstream has answered since the caller's last packet.
    bool hasResponse = false;
    /// Time from a request to the first acknowledged part of its answer.
    std::optional<common::Duration> responseTime {};
};

/// Remembers the position of flows that passed through this instance, to tell repeated packets and
/// answers. Routing does not depend on it: the memory is bounded and a flow may be forgotten at any
/// time. Not thread-safe.
class FlowObserver
{
public:
    /// sets is the number of sets of four flows; a power of two.
    explicit FlowObserver(std::size_t sets);

    FlowObservation observe(const FlowPacket &packet, common::TimePoint now);
    /// Takes the upstream, a number of the flow, and when its request was first sent.
    using WaitingVisitor = std::function<bool(common::FlowToken, std::uint64_t, common::TimePoint)>;

    /// Calls the visitor for each flow whose request was first sent before a time and waits. A flow
    /// for which it returns true is left out until its next request.
    void visitWaiting(common::TimePoint before, const WaitingVisitor &visitor);
    /// Whether data of the packet's flow still waits for an answer, as far as this instance sees.
    [[nodiscard]] bool isWaiting(const FlowPacket &packet);
    /// Notes the upstream of a flow that is being opened.
    void recordOpening(const FlowPacket &packet, common::FlowToken upstream, common::TimePoint now);

private:
    static constexpr std::size_t Ways = 4;

    struct Flow
    {
        std::uint64_t key = 0;
        common::TimePoint lastSeen;
        /// When the data that waits for an answer was first sent.
        common::TimePoint waitingSince;
        /// When data was sent that had not been sent before.
        common::TimePoint newDataAt;
        common::FlowToken upstream;
        std::uint32_t sentUpTo = 0;
        std::uint32_t acknowledged = 0;
        bool isOpen = false;
        bool isWaiting = false;
        bool isFinished = false;
        /// Was noted as overdue.
        bool isOverdue = false;
    };

    Flow *find(std::uint64_t key);
    Flow &replaceableEntry(std::uint64_t key);
    static FlowObservation observeKnown(Flow &flow, const FlowPacket &packet,
                                        common::TimePoint now);

    std::vector<Flow> m_flows;
    std::size_t m_mask;
};

} // namespace banyanwall::connection
