#include "process/flowlog.h"

namespace banyanwall::process {

using common::TimePoint;

namespace {

constexpr double RefusalsPerSecond = 20.0;
// In current deployments, an instance receives 20 requests per second. Some of them open a flow,
// which causes a second event.
constexpr double ServedPerSecond = 40.0;
constexpr double LoadChangesPerSecond = 5.0;
constexpr double Burst = 60.0;

std::int64_t millisecondsOf(common::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

FlowLog::FlowLog(const PacketFormat &format)
    : m_format(format)
    , m_refusalLog(RefusalsPerSecond, Burst)
    , m_servedLog(ServedPerSecond, Burst)
    , m_loadLog(LoadChangesPerSecond, Burst)
{ }

void FlowLog::logForwarded(const connection::FlowPacket &packet,
                           const connection::ForwardPacket &forward,
                           std::span<const std::uint8_t> bytes, const DirectoryState &directory,
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
    const auto line = m_servedLog.event(LogLevel::Info, name, now);
    if (!line) {
        return;
    }
    line->with("caller", common::toString(packet.caller))
            .with("service", common::toString(packet.service))
            .with("upstream", common::toString(forward.upstream))
            .with("token", forward.token.value());
    if (packet.opens) {
        line->with("copy", packet.acknowledgement)
                .with("revision", directory.revision.value())
                .with("news_age_ms", directory.age.count());
    } else {
        line->with("request", request);
    }
}

void FlowLog::logRefused(std::string_view event, const connection::FlowPacket &packet,
                         common::Reason reason, std::span<const std::uint8_t> bytes,
                         const DirectoryState &directory, TimePoint now)
{
    const auto line = m_refusalLog.event(LogLevel::Info, event, now);
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
            .with("revision", directory.revision.value())
            .with("news_age_ms", directory.age.count());
    if (const auto request = m_format.requestIdOf(bytes); !request.empty()) {
        line->with("request", request);
    }
}

void FlowLog::logNoRoom(const connection::FlowPacket &packet,
                        const connection::OpeningRefused &refused, TimePoint now)
{
    const auto line = m_refusalLog.event(LogLevel::Info, "opening_refused", now);
    if (!line) {
        return;
    }
    const bool isForWait = refused.cause == connection::OpeningRefused::Cause::Wait;
    line->with("cause", isForWait ? "wait" : "share")
            .with("caller", common::toString(packet.caller))
            .with("service", common::toString(packet.service))
            .with("service_id", refused.service.value())
            .with("priority", refused.priority)
            .with("share", refused.share)
            .with("room", refused.room)
            .with("demand", refused.demand)
            .with("late_share", refused.lateShare)
            .with("expected_wait_ms", millisecondsOf(refused.expectedWait))
            .with("figure_age_ms", millisecondsOf(refused.figureAge));
}

void FlowLog::logAdmissionChange(const connection::AdmissionChange &change)
{
    LogEvent(LogLevel::Info, change.isLimiting ? "admission_limited" : "admission_released")
            .with("service_id", change.service.value())
            .with("room", change.room)
            .with("demand", change.demand)
            .with("late_share", change.lateShare)
            .with("figure_age_ms", millisecondsOf(change.figureAge));
}

void FlowLog::logMalformed(std::string_view event, common::Endpoint from, std::size_t bytes,
                           TimePoint now)
{
    if (const auto line = m_refusalLog.event(LogLevel::Warning, event, now)) {
        line->with("reason", toString(common::Reason::MalformedPacket))
                .with("from", common::toString(from))
                .with("bytes", bytes);
    }
}

void FlowLog::logReports(const connection::PassiveHealthReport &reports, TimePoint now)
{
    const auto logAll = [&](std::string_view name, std::string_view key, const auto &ids) {
        for (const auto id : ids) {
            if (const auto line = m_refusalLog.event(LogLevel::Info, name, now)) {
                line->with(key, id.value());
            }
        }
    };
    logAll("upstream_unanswered", "serial", reports.upstreams);
    logAll("upstream_refused_opening", "serial", reports.unopened);
    for (const auto &waiting : reports.waitingFlows) {
        if (const auto line = m_refusalLog.event(LogLevel::Info, "flow_waiting", now)) {
            line->with("serial", waiting.upstream.value()).with("flow", waiting.flow);
        }
    }
    logAll("upstream_outlier", "serial", reports.outliers);
    logAll("upstream_recovered", "serial", reports.recovered);
    for (const auto &restart : reports.assumedRestarts) {
        if (const auto line = m_refusalLog.event(LogLevel::Info, "upstream_assumed_cold", now)) {
            const auto silence = restart.respondedAt - restart.silentSince;
            line->with("serial", restart.upstream.value())
                    .with("silent_ms",
                          std::chrono::duration_cast<std::chrono::milliseconds>(silence).count());
        }
    }
    logAll("zone_unreachable", "zone_id", reports.zones);
}

void FlowLog::logSlowness(const std::vector<connection::SlownessChange> &changes, TimePoint now)
{
    for (const auto &change : changes) {
        const auto *name = change.isSlow ? "upstream_slow" : "upstream_usual";
        if (const auto line = m_loadLog.event(LogLevel::Info, name, now)) {
            line->with("serial", change.upstream.value()).with("slowness", change.slowness);
        }
    }
}

} // namespace banyanwall::process
