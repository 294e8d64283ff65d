#include "process/flowlog.h"

namespace banyanwall::process {

using common::TimePoint;

namespace {

constexpr double RefusalsPerSecond = 20.0;
// An instance of today's deployments gets 20 requests a second, some on flows of their own.
constexpr double ServedPerSecond = 40.0;
constexpr double Burst = 60.0;

} // namespace

FlowLog::FlowLog(const PacketFormat &format)
    : m_format(format)
    , m_refusals(RefusalsPerSecond, Burst)
    , m_served(ServedPerSecond, Burst)
{ }

void FlowLog::forwarded(const connection::FlowPacket &packet,
                        const connection::ForwardPacket &forward,
                        std::span<const std::uint8_t> bytes, const Knowledge &knowledge,
                        TimePoint now)
{
    if (!packet.opens && !forward.hasNewData) {
        return;
    }
    const auto request = packet.opens ? std::string_view() : m_format.requestIdOf(bytes);
    if (!packet.opens && request.empty()) {
        return;
    }
    const auto *name = packet.opens ? "flow_opened" : "request_forwarded";
    const auto line = m_served.event(LogLevel::Info, name, now);
    if (!line) {
        return;
    }
    line->with("caller", common::toString(packet.caller))
            .with("service", common::toString(packet.service))
            .with("upstream", common::toString(forward.upstream))
            .with("token", forward.token.value());
    if (packet.opens) {
        line->with("copy", packet.acknowledgement)
                .with("revision", knowledge.revision.value())
                .with("news_age_ms", knowledge.age.count());
    } else {
        line->with("request", request);
    }
}

void FlowLog::refused(std::string_view event, const connection::FlowPacket &packet,
                      common::Reason reason, std::span<const std::uint8_t> bytes,
                      const Knowledge &knowledge, TimePoint now)
{
    const auto line = m_refusals.event(LogLevel::Info, event, now);
    if (!line) {
        return;
    }
    line->with("reason", toString(reason))
            .with("caller", common::toString(packet.caller))
            .with("service", common::toString(packet.service))
            .with("token", packet.token.value())
            .with("opens", packet.opens)
            .with("copy", packet.opens ? packet.acknowledgement : 0)
            .with("payload_bytes", packet.payloadBytes)
            .with("revision", knowledge.revision.value())
            .with("news_age_ms", knowledge.age.count());
    if (const auto request = m_format.requestIdOf(bytes); !request.empty()) {
        line->with("request", request);
    }
}

void FlowLog::malformed(std::string_view event, common::Endpoint from, std::size_t bytes,
                        TimePoint now)
{
    if (const auto line = m_refusals.event(LogLevel::Warning, event, now)) {
        line->with("reason", toString(common::Reason::MalformedPacket))
                .with("from", common::toString(from))
                .with("bytes", bytes);
    }
}

void FlowLog::reported(const connection::PassiveHealthReport &reports, TimePoint now)
{
    const auto logAll = [&](std::string_view name, std::string_view key, const auto &ids) {
        for (const auto id : ids) {
            if (const auto line = m_refusals.event(LogLevel::Info, name, now)) {
                line->with(key, id.value());
            }
        }
    };
    logAll("upstream_unanswered", "serial", reports.upstreams);
    for (const auto &waiting : reports.waitingFlows) {
        if (const auto line = m_refusals.event(LogLevel::Info, "flow_waiting", now)) {
            line->with("serial", waiting.upstream.value()).with("flow", waiting.flow);
        }
    }
    logAll("upstream_outlier", "serial", reports.outliers);
    logAll("upstream_recovered", "serial", reports.recovered);
    logAll("zone_unreachable", "zone_id", reports.zones);
}

} // namespace banyanwall::process
