#include "process/node.h"

#include "common/hash.h"
#include "common/result.h"
#include "process/clocks.h"
#include "process/logging.h"

#include <boost/asio/post.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <csignal>

namespace banyanwall::process {

using common::InstanceId;
using common::TimePoint;
using wire::proto::PeerMessage;

namespace {

// Tasks that may wait for the control thread. Further tasks are dropped; callers retransmit the
// requests among them.
constexpr std::size_t MaxPendingTasks = 20'000;

version::InstanceRecord recordOf(const Settings &settings, common::Incarnation incarnation)
{
    version::InstanceRecord record;
    record.name = settings.name;
    record.zone = settings.zone;
    record.incarnation = incarnation.value();
    record.fabric = settings.fabricListen;
    record.peer = settings.peerListen;
    record.admin = settings.adminListen;
    return record;
}

StoreSettings storeSettings(const Settings &settings)
{
    StoreSettings store;
    store.endpoints = settings.storeEndpoints;
    return store;
}

} // namespace

Node::Node(Settings settings)
    : m_settings(std::move(settings))
    , m_self(common::idFromName<InstanceId>(m_settings.name))
    , m_zone(common::idFromName<common::ZoneId>(m_settings.zone))
    , m_incarnation(static_cast<std::uint64_t>(wallNow().time_since_epoch().count()))
    , m_router(m_self, m_zone)
    , m_coordinator(common::hashPair(m_self.value(), m_incarnation.value()))
    , m_rollouts(m_self)
    , m_applier({ m_directory, m_router, m_coordinator, m_rollouts })
    , m_planner(m_router, m_directory)
    , m_placement(m_self)
    , m_udp(
              { m_settings.fabricListen, m_settings.upstreamListen, m_settings.fabric },
              m_settings.workers, m_metrics,
              [this](std::string_view bytes, common::Endpoint, TimePoint now) {
                  m_packets.onFabricDatagram(bytes, now);
              },
              [this](std::string_view bytes, common::Endpoint sender, TimePoint now) {
                  m_packets.onUpstreamDatagram(bytes, sender, now);
              })
    , m_transport(m_settings.peerListen,
                  wire::PeerCodec(m_self, m_incarnation, m_settings.keys, m_settings.signingKey),
                  m_metrics,
                  [this](wire::VerifiedMessage verified) { onPeerMessage(std::move(verified)); })
    , m_packets({ m_directory, m_router, m_unansweredFlows, m_udp, m_transport, *this, m_metrics })
    , m_owned(m_self, m_directory, m_udp, m_transport)
    , m_upstreamStates({ m_directory, m_router, m_unansweredFlows, m_packets })
    , m_requests({ m_self, m_directory, m_coordinator, m_placement, m_owned, m_udp, m_transport,
                   m_metrics })
    , m_membership(
              Membership(m_self, m_incarnation, m_zone, m_settings.peerListen), m_settings.seeds,
              m_transport,
              [this](auto addresses) { m_transport.setAddresses(std::move(addresses)); },
              [this](const MembershipDriver::Change &change, TimePoint now) {
                  onMembersChanged(change, now);
              })
    , m_catalogue(m_applier, m_membership, m_transport)
    , m_storeClient(m_context, storeSettings(m_settings), m_incarnation.value())
    , m_store(
              m_context, m_storeClient, m_guard, recordOf(m_settings, m_incarnation),
              [this](const auto &entries) { onStoreRead(entries); },
              [this](const StoreEntry &entry) { onStoreEntry(entry); })
    , m_admin(m_context, m_settings.adminListen,
              { [this] { return isJoined() && !m_shutdownSince; },
                [this] { return m_metrics.prometheusText(); }, [this] { return status(); } })
    , m_signals(m_context, SIGTERM, SIGINT)
    , m_startedAt(monotonicNow())
    , m_handledIncarnation(m_incarnation)
{ }

Node::~Node()
{
    m_udp.stop();
    m_transport.stop();
}

void Node::run()
{
    m_transport.start();
    m_udp.start();
    m_signals.async_wait([this](const boost::system::error_code &error, int) {
        if (!error) {
            beginShutdown();
        }
    });
    m_store.start();
    startTimers();
    LogEvent(LogLevel::Info, "started")
            .with("zone", m_settings.zone)
            .with("incarnation", m_incarnation.value())
            .with("workers", m_settings.workers);
    m_context.run();
    m_udp.stop();
    m_transport.stop();
    LogEvent(LogLevel::Info, "stopped");
}

void Node::post(Task task)
{
    if (m_pendingTasks.fetch_add(1) >= MaxPendingTasks) {
        m_pendingTasks.fetch_sub(1);
        m_metrics.countRefusal(common::Reason::TooManyRequests);
        return;
    }
    boost::asio::post(m_context, [this, task = std::move(task)] {
        m_pendingTasks.fetch_sub(1);
        task();
    });
}

void Node::onCallerRequest(wire::proto::RequestRelay request)
{
    post([this, request = std::move(request)] {
        m_requests.onCallerRequest(request, std::nullopt, currentMoment());
    });
}

void Node::onDispatchResult(wire::proto::UpstreamMessage message)
{
    post([this, message = std::move(message)] {
        m_requests.onDispatchResult(message, currentMoment());
    });
}

void Node::onHealthReport(common::UpstreamId upstream, wire::proto::HealthReport report)
{
    post([this, upstream, report = std::move(report)] {
        m_owned.onHealthReport(upstream, report, monotonicNow());
    });
}

void Node::onIncarnationRejected(common::UpstreamId upstream, common::Incarnation incarnation)
{
    post([this, upstream, incarnation] { m_upstreamStates.onIncarnation(upstream, incarnation); });
}

void Node::onPeerMessage(wire::VerifiedMessage verified)
{
    if (verified.message.has_relay()) {
        m_packets.onRelay(verified.message.relay(), verified.sender, monotonicNow());
        return;
    }
    post([this, verified = std::move(verified)] { dispatch(verified); });
}

void Node::dispatch(const wire::VerifiedMessage &verified)
{
    const auto moment = currentMoment();
    const auto &message = verified.message;
    const auto sender = verified.sender;
    switch (message.body_case()) {
    case PeerMessage::kRequestRelay:
        m_requests.onCallerRequest(message.request_relay(), sender, moment);
        break;
    case PeerMessage::kSlotRequest:
        m_requests.onSlotRequest(sender, message.slot_request(), moment);
        break;
    case PeerMessage::kSlotGrant:
        m_requests.onSlotGrant(message.slot_grant(), moment);
        break;
    case PeerMessage::kSlotRelease:
        m_requests.onSlotRelease(message.slot_release(), moment);
        break;
    case PeerMessage::kSlotReportRequest:
        m_requests.onSlotReportRequest(sender, message.slot_report_request(), moment);
        break;
    case PeerMessage::kSlotReport:
        m_owned.onSlotReport(sender, message.slot_report(), moment.now);
        break;
    default:
        dispatchControl(verified, moment);
    }
}

void Node::dispatchControl(const wire::VerifiedMessage &verified, request::Moment moment)
{
    const auto &message = verified.message;
    switch (message.body_case()) {
    case PeerMessage::kHeartbeat:
        onHeartbeat(verified, moment.now);
        break;
    case PeerMessage::kHeartbeatAck:
        m_membership.onHeartbeatAck(verified.sender, message.heartbeat_ack(),
                                    m_catalogue.catalogue().digest(), moment.now);
        break;
    case PeerMessage::kMemberUpdate:
        m_membership.onUpdate(message.member_update(), moment.now);
        break;
    case PeerMessage::kCatalogueSummary:
        m_catalogue.onSummary(verified.sender, message.catalogue_summary());
        break;
    case PeerMessage::kCatalogueOffer:
        m_catalogue.onOffer(verified.sender, message.catalogue_offer(), moment.now);
        break;
    case PeerMessage::kCatalogueFetch:
        m_catalogue.onFetch(verified.sender, message.catalogue_fetch());
        break;
    case PeerMessage::kCataloguePush:
        m_catalogue.onPush(verified.sender, message.catalogue_push(), moment.now);
        refreshOwnedUpstreams(moment.now);
        break;
    case PeerMessage::kHandover:
        onHandover(message.handover(), moment.now);
        break;
    case PeerMessage::kDigest:
        onHandoverRequest(verified.sender, message.digest(), moment.now);
        break;
    case PeerMessage::kIdleBuckets:
        m_planner.onIdleBuckets(verified.sender, message.idle_buckets());
        break;
    case PeerMessage::kUpstreamStates:
        for (const auto &state : message.upstream_states().states()) {
            m_upstreamStates.onState(state);
        }
        break;
    default:
        m_metrics.countRefusal(common::Reason::MalformedPacket);
    }
}

void Node::onHeartbeat(const wire::VerifiedMessage &verified, TimePoint now)
{
    const auto &heartbeat = verified.message.heartbeat();
    m_membership.onHeartbeat(verified.sender, heartbeat, m_catalogue.catalogue().digest(), now);
    for (const auto &acknowledgement : heartbeat.acknowledged()) {
        m_rollouts.onAcknowledged(acknowledgement);
    }
    m_catalogue.onDigest(verified.sender, heartbeat.catalogue_digest());
}

void Node::onHandoverRequest(common::InstanceId sender, const wire::proto::OverrideDigest &digest,
                             TimePoint now)
{
    if (digest.bucket() >= version::BucketCount) {
        m_metrics.countRefusal(common::Reason::MalformedPacket);
        return;
    }
    m_router.acceptHandoverRequest(sender,
                                   { m_self, common::ServiceId(digest.service()),
                                     common::BucketIndex(digest.bucket()), digest.count(),
                                     digest.hash() },
                                   now);
}

void Node::onHandover(const wire::proto::OverrideHandover &handover, TimePoint now)
{
    if (handover.flows_size() != handover.upstreams_size()
        || handover.bucket() >= version::BucketCount) {
        m_metrics.countRefusal(common::Reason::MalformedPacket);
        return;
    }
    connection::OverrideBatch batch;
    batch.receiver = m_self;
    batch.service = common::ServiceId(handover.service());
    batch.bucket = common::BucketIndex(handover.bucket());
    batch.complete = handover.complete();
    for (int index = 0; index < handover.flows_size(); ++index) {
        batch.records.push_back({ common::FlowKey(handover.flows(index)),
                                  common::UpstreamId(handover.upstreams(index)) });
    }
    for (const auto upstream : handover.recent_upstreams()) {
        batch.recentUpstreams.emplace_back(upstream);
    }
    m_router.acceptHandover(batch, now);
}

void Node::onStoreRead(const std::optional<std::vector<StoreEntry>> &entries)
{
    const auto now = monotonicNow();
    std::map<std::string, std::string> values;
    for (const auto &entry : entries.value_or(std::vector<StoreEntry>())) {
        if (entry.key.starts_with(version::InstanceKeyPrefix)) {
            onInstanceRecord(entry, now);
        } else {
            values[entry.key] = entry.value;
        }
    }
    if (entries) {
        m_catalogue.onStoreRead(values, now);
    }
    m_membership.startNotifications(now);
    refreshOwnedUpstreams(now);
}

void Node::onStoreEntry(const StoreEntry &entry)
{
    const auto now = monotonicNow();
    if (entry.key.starts_with(version::InstanceKeyPrefix)) {
        onInstanceRecord(entry, now);
    } else if (m_catalogue.onStoreValue(entry.key, entry.value, now)) {
        refreshOwnedUpstreams(now);
    }
}

void Node::onInstanceRecord(const StoreEntry &entry, TimePoint now)
{
    const auto parsed = version::parseInstanceRecord(entry.value);
    if (!common::isOk(parsed)) {
        LogEvent(LogLevel::Warning, "instance_record_unreadable").with("key", entry.key);
        return;
    }
    const auto &record = common::valueOf(parsed);
    if (record.name == m_settings.name) {
        if (record.incarnation != m_incarnation.value()) {
            // The former process of this name may still run and dispatch requests until its lease
            // expires.
            const auto wall = wallNow();
            m_coordinator.setTakeover(wall, wall + StoreSession::LeaseSeconds);
        }
        return;
    }
    MemberInfo info;
    info.id = common::idFromName<InstanceId>(record.name);
    info.incarnation = common::Incarnation(record.incarnation);
    info.started = info.incarnation;
    info.zone = common::idFromName<common::ZoneId>(record.zone);
    info.peerAddress = record.peer;
    info.state =
            record.leaving ? wire::proto::MemberRecord::LEAVING : wire::proto::MemberRecord::ALIVE;
    m_membership.applyStoreList({ info }, now);
}

void Node::onMembersChanged(const MembershipDriver::Change &change, TimePoint now)
{
    const auto moment = currentMoment();
    for (const auto &member : change.members->members()) {
        if (member.leaving) {
            m_leavingSince.try_emplace(member.id, moment.wall);
        }
    }
    for (const auto &member : change.departed) {
        fenceRequestsOf(member, change.former, moment);
        m_planner.removeReports(member.id);
        m_lastDepartureAt = now;
    }
    m_router.setMembers(change.members, now);
    m_placement.setMembers(change.members, moment.wall);
    m_placement.setViewConfirmed(m_membership.membership().isViewConfirmed(now));
    m_requests.setMembers(change.members);
    m_coordinator.setInstances(static_cast<std::uint32_t>(change.members->members().size()));
    m_appliedRosterVersionSum = {};
    // The planner may have changed, and a new planner has no reports.
    m_sentIdleReports.clear();
    refreshOwnedUpstreams(now);
    PeerMessage states;
    for (const auto &state : m_owned.states()) {
        *states.mutable_upstream_states()->add_states() = state;
    }
    if (states.has_upstream_states()) {
        for (const auto peer : change.joined) {
            m_transport.toPeer(peer, states);
        }
    }
    updateWatcherAndZoneState();
}

void Node::fenceRequestsOf(const connection::Member &departed,
                           const std::shared_ptr<const connection::OwnerSelector> &formerMembers,
                           request::Moment moment)
{
    const auto leaving = m_leavingSince.find(departed.id);
    auto fenceEnd = moment.wall + StoreSession::LeaseSeconds;
    if (leaving != m_leavingSince.end()) {
        // After a member has announced that it leaves, it gets only requests from instances that do
        // not know of this yet.
        fenceEnd = leaving->second + RequestPlacement::ViewDisseminationTime;
        m_leavingSince.erase(leaving);
    }
    m_coordinator.setTakeover(moment.wall, fenceEnd,
                              [formerMembers, id = departed.id](common::RequestKey key) {
                                  return formerMembers->coordinator(key) == id;
                              });
}

std::string Node::status() const
{
    namespace json = boost::json;
    const auto &membership = m_membership.membership();
    json::array members;
    for (const auto &[id, member] : membership.members()) {
        members.push_back(
                json::object { { "id", id.value() },
                               { "zone", member.zone.value() },
                               { "peer", common::toString(member.peerAddress) },
                               { "incarnation", member.incarnation.value() },
                               { "state", wire::proto::MemberRecord::State_Name(member.state) } });
    }
    json::object documents;
    for (const auto &[key, document] : m_catalogue.catalogue().documents()) {
        documents[key] = json::object { { "known", document.version() },
                                        { "in_force", m_applier.versionInForce(key) } };
    }
    return json::serialize(json::object {
            { "instance", m_settings.name },
            { "zone", m_settings.zone },
            { "incarnation", membership.incarnation().value() },
            { "joined", isJoined() },
            { "leaving", m_shutdownSince.has_value() || m_isZoneWithdrawn },
            { "stale", membership.isStale(monotonicNow()) },
            { "store_reachable", m_store.isReachable() },
            { "members", members },
            { "documents", documents },
            { "requests_in_progress", m_coordinator.inProgress() },
            { "overrides", m_router.overrideCount() },
            { "owned_upstreams", m_owned.count() },
            { "control_bytes_sent", m_metrics.value(Counter::ControlBytesSent) },
            { "control_bytes_received", m_metrics.value(Counter::ControlBytesReceived) },
            { "relay_bytes_sent", m_metrics.value(Counter::RelayBytesSent) },
            { "relay_bytes_received", m_metrics.value(Counter::RelayBytesReceived) },
            { "cpu_seconds", std::chrono::duration<double>(processCpuTime()).count() } });
}

} // namespace banyanwall::process
