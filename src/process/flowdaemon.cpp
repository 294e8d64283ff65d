#include "process/flowdaemon.h"

#include "common/hash.h"
#include "process/admissionmetrics.h"
#include "process/boottimeclock.h"
#include "process/loadmetrics.h"
#include "process/shutdowntiming.h"
#include "wire/loadreportcodec.h"
#include "wire/passivehealthcodec.h"

#include <boost/asio/error.hpp>

#include <algorithm>
#include <csignal>
#include <iterator>
#include <sstream>

namespace banyanwall::process {

using boost::asio::ip::udp;
using common::Endpoint;
using common::Overloaded;
using common::TimePoint;

namespace {

constexpr std::chrono::milliseconds TickInterval { 100 };
// Limits the packets read per wake-up, so that traffic does not delay timers.
constexpr int PacketsPerWakeup = 64;
constexpr std::chrono::seconds SweepInterval { 1 };
// A reload changes seeds and grace time only, which take effect at the next outage or stop.
constexpr std::chrono::seconds SettingsCheckInterval { 2 };
// Observations from several packets are sent in one message.
constexpr std::chrono::milliseconds MinReportInterval { 20 };
// Multiplied by the number of peers in the zone, so that an instance sends at most 1,000 report
// datagrams per second in a zone of any size.
constexpr std::chrono::milliseconds ReportIntervalPerPeer { 1 };
// Until the directory is loaded, packets stay in the socket's buffer. Callers retransmit opening
// packets after 200 ms, so that a longer wait has little benefit.
constexpr std::chrono::milliseconds MaxDirectoryWait { 1'000 };
// Part of the link that messages with entries of the directory may take; the rest is for traffic.
constexpr double DirectoryLinkPart = 0.5;
constexpr double BytesPerMegabit = 125'000.0;
constexpr double MinLinkMbps = 1.0;
// Several queued messages are sent at each wake-up.
constexpr std::chrono::milliseconds MinSendInterval { 10 };
// An operator's edit causes many changes in quick succession. Leaving out some events loses
// nothing, since each event holds the newest state.
constexpr double ChangeEventsPerSecond = 10.0;
constexpr double ChangeBurst = 30.0;
constexpr double ErrorEventsPerSecond = 5.0;
constexpr double ErrorBurst = 20.0;

udp::endpoint toAsio(Endpoint endpoint)
{
    return { boost::asio::ip::address_v4(endpoint.address), endpoint.port };
}

Endpoint fromAsio(const udp::endpoint &endpoint)
{
    return { endpoint.address().to_v4().to_uint(), endpoint.port() };
}

/// Identifies an instance: unique in the fleet, and the same number at all instances.
std::uint64_t instanceIdOf(Endpoint peer)
{
    return (std::uint64_t { peer.address } << 16U) | peer.port;
}

/// Whether the action sends a part of the directory.
bool isFragment(const SyncAction &action)
{
    const auto *send = std::get_if<SendDirectoryMessage>(&action);
    return send != nullptr && send->message.has_fragment();
}

DirectorySync::Options syncOptions(const FlowSettings &settings)
{
    const auto zone = common::idFromName<common::ZoneId>(settings.zone);
    const auto seed = common::hashBytes(common::toString(settings.peerListen))
            ^ static_cast<std::uint64_t>(bootTimeNow().time_since_epoch().count());
    return { .self = { settings.peerAdvertised, zone, settings.capacity },
             .seeds = settings.seeds,
             .seed = static_cast<std::uint32_t>(seed) };
}

double usableLinkMbps(const FlowSettings &settings)
{
    return std::max(MinLinkMbps, settings.linkMbps);
}

} // namespace

FlowDaemon::FlowDaemon(boost::asio::io_context &context, FlowSettings settings,
                       FlowSettingsFile &file, FleetStore &store, const PacketFormat &format,
                       Metrics &metrics)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_settingsFile(file)
    , m_store(store)
    , m_format(format)
    , m_metrics(metrics)
    , m_changeLog(ChangeEventsPerSecond, ChangeBurst)
    , m_errorLog(ErrorEventsPerSecond, ErrorBurst)
    , m_flowLog(format)
    , m_sync(syncOptions(m_settings), m_directory)
    , m_forwarder({ .ownZone = common::idFromName<common::ZoneId>(m_settings.zone),
                    .instance = instanceIdOf(m_settings.peerAdvertised),
                    .openFlowsAfterWithdrawal = m_settings.openFlowsAfterWithdrawal,
                    .choice = m_settings.choice,
                    .refusesOpenings = m_settings.refusesOpenings },
                  [this](common::Duration time) { m_metrics.observeLatency(time); })
    , m_trafficSocket(context, toAsio(m_settings.trafficListen))
    , m_peerSocket(context, toAsio(m_settings.peerListen))
    , m_admin(context, m_settings.adminListen,
              { [this] { return isReady(); }, [this] { return metricsText(); },
                [this] { return statusText(); } })
    , m_tickTimer(context)
    , m_sendPacer(usableLinkMbps(m_settings) * BytesPerMegabit * DirectoryLinkPart)
    , m_sendTimer(context)
    , m_signals(context, SIGTERM, SIGINT, SIGHUP)
{
    m_trafficSocket.non_blocking(true);
    m_peerSocket.non_blocking(true);
}

void FlowDaemon::run()
{
    LogEvent(LogLevel::Info, "started")
            .with("zone", m_settings.zone)
            .with("traffic", common::toString(m_settings.trafficListen))
            .with("peer", common::toString(m_settings.peerListen))
            .with("store", common::toString(m_settings.store))
            .with("seeds", m_settings.seeds.size())
            .with("grace_ms", m_settings.shutdownGrace.count())
            .with("link_mbps", usableLinkMbps(m_settings))
            .with("capacity", m_settings.capacity);
    logReplacedSettings();
    waitForSignal();
    receivePeers();
    m_startedAt = bootTimeNow();
    onTick(m_startedAt);
    while (!m_context.stopped()) {
        runGuarded("event_loop", [this] { m_context.run(); });
    }
    LogEvent(LogLevel::Info, "stopped").with("packets", m_metrics.value(Counter::FabricDatagrams));
}

template<typename Handler>
void FlowDaemon::runGuarded(std::string_view handlerName, const Handler &handler)
{
    try {
        handler();
    } catch (const std::exception &error) {
        m_metrics.countRefusal(common::Reason::InternalError);
        if (auto event = m_errorLog.event(LogLevel::Error, "handler_failed", bootTimeNow())) {
            event->with("handler", handlerName).with("problem", error.what());
        }
    }
}

void FlowDaemon::startTraffic(TimePoint now)
{
    if (m_isReceiving || (!m_directory.isLoaded() && now - m_startedAt < MaxDirectoryWait)) {
        return;
    }
    m_isReceiving = true;
    receiveTraffic();
}

void FlowDaemon::receiveTraffic()
{
    m_trafficSocket.async_wait(udp::socket::wait_read, [this](boost::system::error_code error) {
        if (error) {
            return;
        }
        const auto now = bootTimeNow();
        m_stallDetector.onWakeup(now);
        for (int packet = 0; packet < PacketsPerWakeup && receivePacket(now); ++packet) { }
        runGuarded("health_report", [&] {
            sendHealthReports(now);
            resetUnresponsiveFlows(now);
        });
        receiveTraffic();
    });
}

bool FlowDaemon::receivePacket(TimePoint now)
{
    udp::endpoint from;
    boost::system::error_code error;
    const auto space = boost::asio::buffer(m_buffer) + PacketFormat::PrefixBytes;
    const auto bytes = m_trafficSocket.receive_from(space, from, 0, error);
    if (error) {
        m_stallDetector.onSocketEmpty();
        m_forwarder.setPacketsReadUpTo(now);
        return false;
    }
    runGuarded("packet", [&] { onPacket(bytes, from, now); });
    return true;
}

void FlowDaemon::onPacket(std::size_t bytes, const udp::endpoint &from, TimePoint now)
{
    m_metrics.count(Counter::FabricDatagrams);
    m_lastPacketAt = now;
    const auto packet =
            m_format.decode(std::span(m_buffer).subspan(PacketFormat::PrefixBytes, bytes));
    if (!packet) {
        m_metrics.countRefusal(common::Reason::MalformedPacket);
        m_flowLog.logMalformed("packet_dropped", fromAsio(from), bytes, now);
        return;
    }
    // The caller has retransmitted the opening packet since, or has given up.
    const auto verdict = packet->opens && m_stallDetector.hasStalePackets()
            ? connection::DropPacket { common::Reason::StalePacket }
            : m_forwarder.handle(*packet, now);
    apply(*packet, verdict, bytes);
}

void FlowDaemon::apply(const connection::FlowPacket &packet,
                       const connection::PacketVerdict &verdict, std::size_t bytes)
{
    boost::system::error_code error;
    const auto received = std::span(m_buffer).subspan(PacketFormat::PrefixBytes, bytes);
    std::visit(Overloaded {
                       [&](const connection::ForwardPacket &forward) {
                           m_flowLog.logForwarded(packet, forward, received, directoryState(),
                                                  m_lastPacketAt);
                           const auto prefixed =
                                   std::span(m_buffer).first(PacketFormat::PrefixBytes + bytes);
                           m_format.address(prefixed, forward.serial, forward.token);
                           m_trafficSocket.send_to(
                                   boost::asio::buffer(prefixed.data(), prefixed.size()),
                                   toAsio(forward.upstream), 0, error);
                           m_metrics.count(Counter::PacketsToUpstream);
                       },
                       [&](const connection::ResetFlow &reset) {
                           sendReset(packet, reset.reason, received, m_lastPacketAt);
                       },
                       [&](const connection::DropPacket &drop) {
                           m_metrics.countRefusal(drop.reason);
                           m_flowLog.logRefused("packet_dropped", packet, drop.reason, received,
                                                directoryState(), m_lastPacketAt);
                       },
               },
               verdict);
    if (error) {
        m_metrics.count(Counter::SendErrors);
    }
}

void FlowDaemon::sendReset(const connection::FlowPacket &packet, common::Reason reason,
                           std::span<const std::uint8_t> received, TimePoint now)
{
    const auto reset = m_format.resetOf(packet);
    const Endpoint caller { packet.caller.address, m_settings.trafficListen.port };
    boost::system::error_code error;
    m_trafficSocket.send_to(boost::asio::buffer(reset), toAsio(caller), 0, error);
    m_metrics.count(error ? Counter::SendErrors : Counter::FlowsReset);
    m_metrics.countRefusal(reason);
    if (reason == common::Reason::NoRoom) {
        m_flowLog.logNoRoom(packet, m_forwarder.lastRefusal(), now);
        return;
    }
    m_flowLog.logRefused("flow_reset", packet, reason, received, directoryState(), now);
}

void FlowDaemon::resetUnresponsiveFlows(TimePoint now)
{
    for (const auto &packet : m_forwarder.takeFlowsToReset(now)) {
        sendReset(packet, common::Reason::UpstreamSilent, {}, now);
    }
}

FlowLog::DirectoryState FlowDaemon::directoryState() const
{
    const auto age = m_lastPacketAt - m_sync.confirmedAt();
    return { m_directory.revision(), std::chrono::duration_cast<std::chrono::milliseconds>(age) };
}

void FlowDaemon::receivePeers()
{
    m_peerSocket.async_wait(udp::socket::wait_read, [this](boost::system::error_code error) {
        if (error) {
            return;
        }
        m_peerStallDetector.onWakeup(bootTimeNow());
        udp::endpoint from;
        for (int message = 0; message < PacketsPerWakeup && !error; ++message) {
            const auto bytes =
                    m_peerSocket.receive_from(boost::asio::buffer(m_peerBuffer), from, 0, error);
            if (!error) {
                runGuarded("peer_message", [&] { onPeerDatagram(bytes, from); });
            } else {
                m_peerStallDetector.onSocketEmpty();
            }
        }
        runGuarded("reset", [this] { resetUnresponsiveFlows(bootTimeNow()); });
        receivePeers();
    });
}

void FlowDaemon::onPeerDatagram(std::size_t bytes, const udp::endpoint &from)
{
    m_metrics.count(Counter::ControlBytesReceived, bytes);
    wire::proto::DirectoryMessage message;
    const auto now = bootTimeNow();
    if (!message.ParseFromArray(m_peerBuffer.data(), static_cast<int>(bytes))) {
        m_metrics.countRefusal(common::Reason::MalformedPacket);
        m_flowLog.logMalformed("peer_message_dropped", fromAsio(from), bytes, now);
        return;
    }
    // The ages that heartbeats and reports hold were right when they arrived. Changes of the
    // directory do not grow old.
    if (m_peerStallDetector.hasStalePackets() && !message.has_fragment()) {
        m_metrics.countRefusal(common::Reason::StalePacket);
        return;
    }
    if (message.has_silence()) {
        const auto report = wire::decodePassiveHealth(message.silence(), now);
        const auto refutations = m_forwarder.onPeerHealthReport(report, now);
        forwardRestarts(m_forwarder.takeLearnedRestarts(), isZonePeer(fromAsio(from)), now);
        if (!refutations.isEmpty()) {
            sendToPeer({ fromAsio(from), wire::encodePassiveHealth(refutations, now) });
        }
        return;
    }
    if (message.has_load()) {
        // The demand of a zone is that of its own instances.
        if (isZonePeer(fromAsio(from))) {
            m_forwarder.onPeerLoadReport(wire::decodeLoadReport(message.load()), now,
                                         instanceIdOf(fromAsio(from)));
        }
        return;
    }
    auto actions = m_sync.onMessage(fromAsio(from), message, now);
    if (message.has_fetch() && m_sendPacer.hasQueued(fromAsio(from))) {
        std::erase_if(actions, isFragment);
    }
    perform(actions, now);
    if (message.has_fetch()) {
        sendRestartReport(fromAsio(from), now);
    }
}

void FlowDaemon::sendRestartReport(Endpoint peer, TimePoint now)
{
    const auto report = m_forwarder.restartReport(now);
    if (!report.isEmpty()) {
        sendToPeer({ peer, wire::encodePassiveHealth(report, now) });
    }
}

void FlowDaemon::forwardRestarts(std::vector<connection::AssumedRestart> restarts,
                                 bool isFromOwnZone, TimePoint now)
{
    if (!m_sync.isLeading() || restarts.empty()) {
        return;
    }
    const auto message = wire::encodePassiveHealth({ .assumedRestarts = std::move(restarts) }, now);
    for (const auto peer : isFromOwnZone ? m_sync.knownOtherLeaders(now) : m_sync.zonePeers()) {
        sendToPeer({ peer, message });
    }
}

void FlowDaemon::sendToPeer(const SendDirectoryMessage &send)
{
    auto bytes = send.message.SerializeAsString();
    if (!send.message.has_fragment()) {
        sendDatagram(send.to, bytes);
        return;
    }
    if (!m_sendPacer.push({ send.to, std::move(bytes) })) {
        m_metrics.count(Counter::SendErrors);
    }
    if (!m_isSendScheduled) {
        sendQueued();
    }
}

void FlowDaemon::sendDatagram(Endpoint to, const std::string &bytes)
{
    boost::system::error_code error;
    m_peerSocket.send_to(boost::asio::buffer(bytes), toAsio(to), 0, error);
    if (error) {
        m_metrics.count(Counter::SendErrors);
    } else {
        m_metrics.count(Counter::ControlBytesSent, bytes.size());
    }
}

void FlowDaemon::sendQueued()
{
    const auto now = bootTimeNow();
    while (const auto message = m_sendPacer.takeDue(now)) {
        sendDatagram(message->to, message->bytes);
    }
    const auto wait = m_sendPacer.untilNext(now);
    m_isSendScheduled = wait.has_value();
    if (!wait) {
        return;
    }
    m_sendTimer.expires_after(std::max<common::Duration>(*wait, MinSendInterval));
    m_sendTimer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            runGuarded("send_queued", [this] { sendQueued(); });
        }
    });
}

void FlowDaemon::scheduleTick()
{
    m_tickTimer.expires_after(TickInterval);
    m_tickTimer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            onTick(bootTimeNow());
        }
    });
}

void FlowDaemon::onTick(TimePoint now)
{
    m_stallDetector.onWakeup(now);
    m_peerStallDetector.onWakeup(now);
    if (m_isShuttingDown && mayStop(now)) {
        m_context.stop();
        return;
    }
    runGuarded("tick", [&] { doPeriodicWork(now); });
    scheduleTick();
}

void FlowDaemon::doPeriodicWork(TimePoint now)
{
    perform(m_sync.onTick(now), now);
    startTraffic(now);
    if (now - m_lastSweepAt >= SweepInterval) {
        m_lastSweepAt = now;
        m_forwarder.removeExpired(now);
    }
    m_forwarder.findOutliers(now);
    m_forwarder.findIsolation({ m_sync.outsideContactAt(), m_sync.isLeaderIsolated() }, now);
    m_sync.setIsolated(m_forwarder.isIsolated());
    refreshLoad(now);
    updateAdmission(now);
    sendHealthReports(now);
    resetUnresponsiveFlows(now);
    logStateChanges();
    checkSettingsFile(now);
}

void FlowDaemon::updateAdmission(TimePoint now)
{
    const auto wallTime = std::chrono::time_point_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now());
    m_forwarder.updateAdmission(m_forwarder.load().demands(now), wallTime, now);
    for (const auto &change : m_forwarder.takeAdmissionChanges()) {
        FlowLog::logAdmissionChange(change);
    }
}

void FlowDaemon::sendHealthReports(TimePoint now)
{
    const auto zonePeers = static_cast<std::int64_t>(m_sync.zonePeers().size());
    if (now - m_lastReportAt < std::max(MinReportInterval, zonePeers * ReportIntervalPerPeer)) {
        return;
    }
    m_lastReportAt = now;
    const auto reports = m_forwarder.takeHealthReport(now);
    m_flowLog.logReports(reports, now);
    if (reports.isEmpty()) {
        return;
    }
    const auto message = wire::encodePassiveHealth(reports, now);
    for (const auto peer : m_sync.zonePeers()) {
        sendToPeer({ peer, message });
    }
    forwardRestarts(reports.assumedRestarts, true, now);
}

void FlowDaemon::refreshLoad(TimePoint now)
{
    m_forwarder.refreshLoad(now);
    m_flowLog.logSlowness(m_forwarder.load().takeSlownessChanges(), now);
    const auto report = m_forwarder.takeLoadReport(now);
    if (!report) {
        return;
    }
    const auto message = wire::encodeLoadReport(*report);
    for (const auto peer : m_sync.zonePeers()) {
        sendToPeer({ peer, message });
    }
}

bool FlowDaemon::isZonePeer(Endpoint peer) const
{
    const auto &zonePeers = m_sync.zonePeers();
    return std::ranges::find(zonePeers, peer) != zonePeers.end();
}

void FlowDaemon::perform(const SyncActions &actions, TimePoint now)
{
    for (const auto &action : actions) {
        std::visit(Overloaded {
                           [this](const ReadStore & /*none*/) { startRead(); },
                           [this](const WatchStore &watch) { startWatch(watch); },
                           [this](const RegisterMember &member) { startRegister(member); },
                           [this](const RemoveMember &removal) { startRemoval(removal); },
                           [this](const SendDirectoryMessage &send) { sendToPeer(send); },
                           [&](const DirectoryChanged &change) { onDirectoryChanged(change, now); },
                           [this](const DeltaRefused &refused) { onDeltaRefused(refused); },
                           [this](const EraEntered &era) { onEraEntered(era); },
                           [&](const StaleEraRefused &refused) { onStaleEra(refused, now); },
                   },
                   action);
    }
    m_forwarder.setConfirmedAt(m_sync.confirmedAt());
    startTraffic(now);
}

void FlowDaemon::startRead()
{
    m_store.readAll([this](const StoreAnswer &answer) {
        runGuarded("store_read", [&] { onStoreAnswer("read", answer); });
    });
}

void FlowDaemon::startWatch(const WatchStore &watch)
{
    m_store.watch(watch.after, watch.wait, [this](const StoreAnswer &answer) {
        runGuarded("store_watch", [&] { onStoreAnswer("watch", answer); });
    });
}

void FlowDaemon::startRegister(const RegisterMember &registration)
{
    m_store.registerMember(registration.member, [this](bool isAccepted) {
        const auto now = bootTimeNow();
        LogEvent(LogLevel::Info, "member_registered").with("accepted", isAccepted);
        runGuarded("registration", [&] { perform(m_sync.onRegistered(isAccepted, now), now); });
    });
}

void FlowDaemon::startRemoval(const RemoveMember &removal)
{
    m_store.removeMember(removal.member, removal.position,
                         [endpoint = removal.member.endpoint](bool isAccepted) {
                             LogEvent(LogLevel::Info, "member_removed")
                                     .with("peer", common::toString(endpoint))
                                     .with("accepted", isAccepted);
                         });
}

void FlowDaemon::onStoreAnswer(const char *call, const StoreAnswer &answer)
{
    const auto now = bootTimeNow();
    const auto *failure = std::get_if<StoreFailure>(&answer);
    const bool isReachable = failure == nullptr;
    if (isReachable != m_wasStoreReachable) {
        LogEvent event(isReachable ? LogLevel::Info : LogLevel::Warning,
                       isReachable ? "store_regained" : "store_lost");
        event.with("call", call).with("revision", m_directory.revision().value());
        if (failure != nullptr) {
            event.with("problem", failure->reason);
        }
        m_wasStoreReachable = isReachable;
    }
    if (std::holds_alternative<HistoryLost>(answer)) {
        LogEvent(LogLevel::Info, "store_history_lost")
                .with("revision", m_directory.revision().value());
    }
    perform(m_sync.onStoreAnswer(answer, now), now);
}

void FlowDaemon::onDirectoryChanged(const DirectoryChanged &change, TimePoint now)
{
    m_forwarder.update(m_directory, change.keys, now);
    m_forwarder.setPosition(position(), now);
    if (auto event = m_changeLog.event(LogLevel::Info, "directory_changed", now)) {
        const auto *rules = m_directory.rules();
        event->with("revision", m_directory.revision().value())
                .with("entries", change.keys.size())
                .with("contract_version", rules == nullptr ? 0 : rules->version)
                .with("upstreams", m_forwarder.upstreams().size())
                .with("members", m_sync.memberCount());
    }
}

void FlowDaemon::onDeltaRefused(const DeltaRefused &refused)
{
    m_metrics.countRefusal(common::Reason::InconsistentDelta);
    LogEvent(LogLevel::Info, "delta_refused")
            .with("revision", m_directory.revision().value())
            .with("from", refused.from.revision.value())
            .with("to", refused.to.revision.value())
            .with("from_era", refused.from.era.value())
            .with("to_era", refused.to.era.value());
}

void FlowDaemon::onEraEntered(const EraEntered &era)
{
    LogEvent(LogLevel::Warning, "store_era_changed")
            .with("from", era.from.value())
            .with("to", era.to.value())
            .with("revision", m_directory.revision().value())
            .with("held_entries", m_directory.heldCount());
}

void FlowDaemon::onStaleEra(const StaleEraRefused &refused, TimePoint now)
{
    m_metrics.countRefusal(common::Reason::StaleEra);
    if (auto event = m_errorLog.event(LogLevel::Info, "stale_era", now)) {
        event->with("peer", common::toString(refused.from))
                .with("era", refused.era.value())
                .with("known_era", m_directory.position().era.value());
    }
}

connection::FleetPosition FlowDaemon::position() const
{
    const auto self = instanceIdOf(m_settings.peerAdvertised);
    std::vector<std::uint64_t> members { self };
    std::ranges::transform(m_sync.members(), std::back_inserter(members), instanceIdOf);
    return { .zone = common::idFromName<common::ZoneId>(m_settings.zone),
             .instance = self,
             .members = std::move(members),
             .zonePeers = static_cast<std::uint32_t>(m_sync.zonePeers().size()) };
}

void FlowDaemon::logStateChanges()
{
    if (m_sync.isWatching() != m_wasWatching) {
        m_wasWatching = m_sync.isWatching();
        LogEvent(LogLevel::Info, m_wasWatching ? "watch_started" : "watch_ended")
                .with("revision", m_directory.revision().value());
    }
    if (isReady() != m_wasReady) {
        m_wasReady = isReady();
        LogEvent(LogLevel::Info, m_wasReady ? "ready" : "not_ready")
                .with("revision", m_directory.revision().value())
                .with("upstreams", m_forwarder.upstreams().size())
                .with("isolated", m_forwarder.isIsolated())
                .with("stopping", m_isShuttingDown);
    }
}

void FlowDaemon::waitForSignal()
{
    m_signals.async_wait([this](boost::system::error_code error, int signal) {
        if (error) {
            return;
        }
        runGuarded("signal", [&] {
            if (signal == SIGHUP) {
                reloadSettings();
            } else {
                beginShutdown();
            }
        });
        waitForSignal();
    });
}

void FlowDaemon::beginShutdown()
{
    if (m_isShuttingDown) {
        return;
    }
    const auto now = bootTimeNow();
    m_isShuttingDown = true;
    m_shutdownAt = now;
    LogEvent(LogLevel::Info, "shutdown_started").with("grace_ms", m_settings.shutdownGrace.count());
    perform(m_sync.onShutdown(now), now);
}

void FlowDaemon::reloadSettings()
{
    const auto loaded = m_settingsFile.load();
    if (!common::isOk(loaded)) {
        LogEvent(LogLevel::Warning, "settings_rejected")
                .with("problem", common::errorOf(loaded).message);
        return;
    }
    const auto &settings = common::valueOf(loaded);
    m_settings.seeds = settings.seeds;
    m_settings.shutdownGrace = settings.shutdownGrace;
    m_settings.replaced = settings.replaced;
    m_sync.setSeeds(settings.seeds);
    LogEvent(LogLevel::Info, "settings_reloaded")
            .with("seeds", settings.seeds.size())
            .with("grace_ms", settings.shutdownGrace.count())
            .with("needs_restart", settings != m_settings);
    logReplacedSettings();
}

void FlowDaemon::logReplacedSettings() const
{
    std::ranges::for_each(m_settings.replaced, [](const ReplacedSetting &setting) {
        LogEvent(LogLevel::Warning, "setting_replaced")
                .with("key", setting.key)
                .with("line", setting.line)
                .with("problem", setting.problem)
                .with("allowed", setting.allowed)
                .with("used", setting.used);
    });
}

void FlowDaemon::checkSettingsFile(TimePoint now)
{
    if (now < m_nextSettingsCheck) {
        return;
    }
    m_nextSettingsCheck = now + SettingsCheckInterval;
    if (m_settingsFile.hasChanged()) {
        reloadSettings();
    }
}

bool FlowDaemon::mayStop(TimePoint now) const
{
    const auto elapsed = now - m_shutdownAt;
    const bool isOutOfRotation = elapsed > RotationDelay && now - m_lastPacketAt > TrafficIdleTime;
    return isOutOfRotation || elapsed > longestForwarding(m_settings.shutdownGrace);
}

bool FlowDaemon::isReady() const
{
    return !m_isShuttingDown && m_directory.isLoaded() && m_directory.rules() != nullptr
            && !m_forwarder.isIsolated();
}

std::string FlowDaemon::metricsText() const
{
    std::ostringstream text;
    const auto age = std::chrono::duration<double>(bootTimeNow() - m_sync.confirmedAt()).count();
    text << m_metrics.prometheusText() << admissionMetricsText(m_forwarder.admission())
         << "# TYPE banyanwall_settings_replaced gauge\n"
         << "banyanwall_settings_replaced " << m_settings.replaced.size() << "\n"
         << "# TYPE banyanwall_directory_revision gauge\n"
         << "banyanwall_directory_revision " << m_directory.revision().value() << "\n"
         << "# TYPE banyanwall_store_era gauge\n"
         << "banyanwall_store_era " << m_directory.position().era.value() << "\n"
         << "# TYPE banyanwall_held_entries gauge\n"
         << "banyanwall_held_entries " << m_directory.heldCount() << "\n"
         << "# TYPE banyanwall_directory_age_seconds gauge\n"
         << "banyanwall_directory_age_seconds " << age << "\n"
         << "# TYPE banyanwall_upstreams gauge\n"
         << "banyanwall_upstreams " << m_forwarder.upstreams().size() << "\n"
         << "# TYPE banyanwall_token_collisions_total counter\n"
         << "banyanwall_token_collisions_total " << m_forwarder.upstreams().tokenCollisions()
         << "\n"
         << "# TYPE banyanwall_duplicate_entries_total counter\n"
         << "banyanwall_duplicate_entries_total " << m_forwarder.upstreams().duplicateEntries()
         << "\n"
         << "# TYPE banyanwall_isolated gauge\n"
         << "banyanwall_isolated " << (m_forwarder.isIsolated() ? 1 : 0) << "\n"
         << "# TYPE banyanwall_watching gauge\n"
         << "banyanwall_watching " << (m_sync.isWatching() ? 1 : 0) << "\n";
    return text.str() + loadMetricsText(m_forwarder.load(), bootTimeNow());
}

std::string FlowDaemon::statusText() const
{
    const auto *rules = m_directory.rules();
    std::ostringstream text;
    text << "{\"ready\":" << (isReady() ? "true" : "false")
         << ",\"revision\":" << m_directory.revision().value()
         << ",\"contract_version\":" << (rules == nullptr ? 0 : rules->version)
         << ",\"members\":" << m_sync.memberCount() << "}\n";
    return text.str();
}

} // namespace banyanwall::process
