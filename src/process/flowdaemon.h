#pragma once

#include "connection/flowforwarder.h"
#include "process/adminserver.h"
#include "process/directorysync.h"
#include "process/fleetstore.h"
#include "process/flowlog.h"
#include "process/flowsettingsfile.h"
#include "process/metrics.h"
#include "process/packetformat.h"
#include "process/ratelimitedlog.h"
#include "process/sendpacer.h"
#include "process/stalldetector.h"
#include "version/directory.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>

namespace banyanwall::process {

/// An instance on a fabric whose packets carry a flow token. Owns the sockets and timers, passes
/// their events to FlowForwarder and DirectorySync, and performs the verdicts and actions that they
/// return. Runs on one thread, since the instances have at most one core.
class FlowDaemon
{
public:
    /// Binds the sockets. Throws boost::system::system_error when that fails.
    FlowDaemon(boost::asio::io_context &context, FlowSettings settings, FlowSettingsFile &file,
               FleetStore &store, const PacketFormat &format, Metrics &metrics);

    /// Serves until SIGTERM or SIGINT and the graceful shutdown that follows.
    void run();

private:
    /// Room for the largest packet of the fabric and its prefix.
    static constexpr std::size_t BufferBytes = 2'048;

    /// Runs a handler. An exception costs only what the handler was working on: it is counted and
    /// logged, and the process goes on.
    template<typename Handler>
    void runGuarded(std::string_view handlerName, const Handler &handler);
    /// Begins to read packets once the directory is loaded, or 1 s after the start.
    void startTraffic(common::TimePoint now);
    void receiveTraffic();
    bool receivePacket(common::TimePoint now);
    void onPacket(std::size_t bytes, const boost::asio::ip::udp::endpoint &from,
                  common::TimePoint now);
    void apply(const connection::FlowPacket &packet, const connection::PacketVerdict &verdict,
               std::size_t bytes);
    void resetUnresponsiveFlows(common::TimePoint now);
    void sendReset(const connection::FlowPacket &packet, common::Reason reason,
                   std::span<const std::uint8_t> received, common::TimePoint now);
    [[nodiscard]] FlowLog::DirectoryState directoryState() const;
    void receivePeers();
    void onPeerDatagram(std::size_t bytes, const boost::asio::ip::udp::endpoint &from);
    /// Tells an instance that fetches the directory which upstreams may have restarted.
    void sendRestartReport(common::Endpoint peer, common::TimePoint now);
    /// As leader of the zone, passes assumed restarts on: those of other zones to the own zone, and
    /// those of the own zone to the leaders of the others.
    void forwardRestarts(std::vector<connection::AssumedRestart> restarts, bool isFromOwnZone,
                         common::TimePoint now);
    void sendToPeer(const SendDirectoryMessage &send);
    void sendDatagram(common::Endpoint to, const std::string &bytes);
    /// Sends the queued messages that are due and schedules the next ones.
    void sendQueued();

    void scheduleTick();
    void onTick(common::TimePoint now);
    /// The work of a tick.
    void doPeriodicWork(common::TimePoint now);
    void perform(const SyncActions &actions, common::TimePoint now);
    void startRead();
    void startWatch(const WatchStore &watch);
    void startRegister(const RegisterMember &registration);
    void startRemoval(const RemoveMember &removal);
    void onStoreAnswer(const char *call, const StoreAnswer &answer);
    void onDirectoryChanged(const DirectoryChanged &change, common::TimePoint now);
    void onDeltaRefused(const DeltaRefused &refused);
    /// Updates the shares of admitted openings and logs changes of state.
    void updateAdmission(common::TimePoint now);
    void onEraEntered(const EraEntered &era);
    void onStaleEra(const StaleEraRefused &refused, common::TimePoint now);
    /// Sends the passive health observations of this instance to the other instances of the zone.
    void sendHealthReports(common::TimePoint now);
    /// Updates the load of the upstreams, and sends a report of it to the zone when one is due.
    void refreshLoad(common::TimePoint now);
    [[nodiscard]] bool isZonePeer(common::Endpoint peer) const;
    [[nodiscard]] connection::FleetPosition position() const;
    void logStateChanges();

    void waitForSignal();
    void beginShutdown();
    void reloadSettings();
    void logReplacedSettings() const;
    void checkSettingsFile(common::TimePoint now);
    [[nodiscard]] bool mayStop(common::TimePoint now) const;
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] std::string metricsText() const;
    [[nodiscard]] std::string statusText() const;

    boost::asio::io_context &m_context;
    FlowSettings m_settings;
    FlowSettingsFile &m_settingsFile;
    FleetStore &m_store;
    const PacketFormat &m_format;
    Metrics &m_metrics;
    RateLimitedLog m_changeLog;
    RateLimitedLog m_errorLog;
    FlowLog m_flowLog;
    version::Directory m_directory;
    DirectorySync m_sync;
    connection::FlowForwarder m_forwarder;
    boost::asio::ip::udp::socket m_trafficSocket;
    boost::asio::ip::udp::socket m_peerSocket;
    AdminServer m_admin;
    boost::asio::steady_timer m_tickTimer;
    SendPacer m_sendPacer;
    boost::asio::steady_timer m_sendTimer;
    bool m_isSendScheduled = false;
    boost::asio::signal_set m_signals;
    std::array<std::uint8_t, BufferBytes> m_buffer {};
    std::array<std::uint8_t, BufferBytes> m_peerBuffer {};
    StallDetector m_stallDetector;
    StallDetector m_peerStallDetector;
    common::TimePoint m_startedAt;
    common::TimePoint m_lastPacketAt;
    common::TimePoint m_shutdownAt;
    common::TimePoint m_lastSweepAt;
    common::TimePoint m_lastReportAt;
    common::TimePoint m_nextSettingsCheck;
    bool m_isReceiving = false;
    bool m_isShuttingDown = false;
    bool m_wasWatching = false;
    bool m_wasStoreReachable = true;
    bool m_wasReady = false;
};

} // namespace banyanwall::process
