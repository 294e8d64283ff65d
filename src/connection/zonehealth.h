#pragma once

#include "common/ids.h"
#include "common/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace banyanwall::connection {

/// Passive health check of an availability zone: whether any upstream of the zone responds to this
/// instance. Detects a zone that is cut off sooner than UpstreamHealth does for each of its
/// upstreams, because all of them stop responding at once. Not thread-safe.
class ZoneHealth
{
public:
    /// An upstream of the zone responded to a caller.
    void onResponse(common::TimePoint now);
    /// An upstream of another zone responded to a caller, so this instance itself is not cut off.
    void onOtherZoneResponse();
    /// An upstream of the zone answered a request.
    void onRequestAnswered(common::TimePoint now);
    /// A caller of this or another instance retransmitted a packet to this upstream of the zone.
    void onRetransmission(common::FlowToken upstream, common::TimePoint now);
    /// Another instance of the own zone reported that it does not reach the zone.
    void onPeerReportedUnreachable(common::TimePoint now);
    /// An upstream of the zone responded to another instance of the own zone at the given time.
    void onPeerResponse(common::TimePoint respondedAt);

    /// Whether the own zone has enough other instances to refute a wrong verdict. Otherwise the
    /// response timeout is longer.
    void setHasPeers(bool hasPeers) { m_hasPeers = hasPeers; }

    /// Callers retransmitted packets to several upstreams of the zone, and no upstream of the zone
    /// has responded to this instance within the response timeout. One upstream with
    /// retransmissions is enough when another instance has reported the zone.
    [[nodiscard]] bool isSilent(common::TimePoint now) const;
    /// The zone is silent while upstreams of other zones respond, so that the fault is not that of
    /// this instance, and no other instance has refuted this.
    [[nodiscard]] bool isUnreachable(common::TimePoint now) const;

    /// When an upstream of the zone last responded to this instance.
    [[nodiscard]] common::TimePoint lastResponse() const { return m_lastResponse; }

    /// When an upstream of the zone last responded after the zone had been silent.
    [[nodiscard]] common::TimePoint silentUntil() const { return m_silentUntil; }

    /// The zone is unreachable, and the other instances had time to refute the report of it.
    [[nodiscard]] bool isUnrefuted(common::TimePoint now) const;
    /// Unrefuted, and another instance has come to the same verdict.
    [[nodiscard]] bool isConfirmedUnreachable(common::TimePoint now) const;
    /// Returns true when the verdict is to be reported to other instances, and schedules the next
    /// report.
    [[nodiscard]] bool takeDueReport(common::TimePoint now);
    /// Time since the last response if it refutes the report of another instance; otherwise empty.
    [[nodiscard]] std::optional<common::Duration> refutation(common::TimePoint now) const;
    /// False while the verdict that the zone is unreachable is unrefuted, except for one flow per
    /// probe interval.
    [[nodiscard]] bool mayOpenFlow(common::TimePoint now) const;
    /// A new flow goes to the zone. If the zone is unreachable, this flow is the probe.
    void onFlowOpened(common::TimePoint now);

private:
    static constexpr std::size_t MinSuspects = 4;

    [[nodiscard]] bool hasPeerReport(common::TimePoint now) const;
    [[nodiscard]] common::Duration responseTimeout() const;
    /// Whether the zone answered so rarely that a silence shows nothing.
    [[nodiscard]] bool isRarelyUsed() const;

    /// Upstreams of the zone to which callers retransmitted packets since its last response.
    std::array<common::FlowToken, MinSuspects> m_suspects {};
    std::size_t m_suspectCount = 0;
    /// Responses of other zones since the last response of this zone.
    std::uint32_t m_otherZoneResponses = 0;
    common::TimePoint m_lastResponse;
    common::TimePoint m_silentUntil;
    common::TimePoint m_lastAnswer;
    /// Number of answers up to the last one; earlier ones count less.
    double m_answerCount = 0.0;
    /// Flows opened to the zone since its last answer.
    std::uint32_t m_openingsSinceAnswer = 0;
    common::TimePoint m_lastRetransmission;
    common::TimePoint m_lastPeerReport;
    common::TimePoint m_lastPeerResponse;
    /// When this instance first reported the present verdict to the other instances.
    common::TimePoint m_firstReport;
    common::TimePoint m_nextReport;
    common::TimePoint m_nextProbe;
    bool m_hasPeers = false;
    /// Mean time between two answered requests.
    common::Duration m_meanAnswerGap = std::chrono::milliseconds(200);
};

} // namespace banyanwall::connection
