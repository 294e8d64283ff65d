#pragma once

#include "common/ids.h"
#include "common/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace banyanwall::connection {

/// Evidence whether any upstream of an availability zone answers this instance. A zone that is cut
/// off shows sooner than each of its upstreams, because all of them fall silent at once. Not
/// thread-safe.
class ZoneHealth
{
public:
    /// An upstream of the zone has answered a caller.
    void onResponse(common::TimePoint now);
    /// An upstream of another zone has answered a caller: this instance itself is reached.
    void onOtherZoneResponse();
    /// An upstream of the zone has answered a request.
    void onRequestAnswered(common::TimePoint now);
    /// A caller of this or another instance repeated a packet to this upstream of the zone.
    void onRetransmission(common::FlowToken upstream, common::TimePoint now);
    /// Another instance of the own zone does not reach the zone.
    void onPeerReportedUnreachable(common::TimePoint now);
    /// Another instance of the own zone heard the zone at this time.
    void onPeerResponse(common::TimePoint respondedAt);

    /// Whether other instances are there to object to a wrong verdict. Without them it takes more
    /// silence.
    void setHasPeers(bool hasPeers) { m_hasPeers = hasPeers; }

    /// Several upstreams are silent, nothing was heard from any for much longer than usual, and no
    /// other instance says otherwise. One upstream is enough when another instance has reported the
    /// zone.
    [[nodiscard]] bool isUnreachable(common::TimePoint now) const;
    /// The verdict was reported to other instances, which had time to object.
    [[nodiscard]] bool isUnrefuted(common::TimePoint now) const;
    /// Uncontested, and another instance has come to the same verdict.
    [[nodiscard]] bool isConfirmedUnreachable(common::TimePoint now) const;
    /// True when the verdict is to be reported to other instances; the next report is due later.
    [[nodiscard]] bool takeDueReport(common::TimePoint now);
    /// Time since the zone was heard, when a report of another instance is to be answered with it.
    [[nodiscard]] std::optional<common::Duration> refutation(common::TimePoint now) const;
    /// False while the verdict stands uncontested, but for one flow after each probe interval.
    [[nodiscard]] bool mayOpenFlow(common::TimePoint now) const;
    /// A new flow goes to the zone; spends the probe when it is unreachable.
    void onFlowOpened(common::TimePoint now);

private:
    static constexpr std::size_t MinSuspects = 4;

    [[nodiscard]] bool hasPeerReport(common::TimePoint now) const;
    [[nodiscard]] common::Duration responseTimeout() const;

    std::array<common::FlowToken, MinSuspects> m_suspects {};
    std::size_t m_suspectCount = 0;
    /// Signs of life of other zones since the last one of this zone.
    std::uint32_t m_otherZoneResponses = 0;
    common::TimePoint m_lastResponse;
    common::TimePoint m_lastAnswer;
    common::TimePoint m_lastRetransmission;
    common::TimePoint m_lastPeerReport;
    common::TimePoint m_lastPeerResponse;
    common::TimePoint m_firstReport;
    common::TimePoint m_nextReport;
    common::TimePoint m_nextProbe;
    bool m_hasPeers = false;
    /// Usual time between two answers.
    common::Duration m_meanAnswerGap = std::chrono::milliseconds(200);
};

} // namespace banyanwall::connection
