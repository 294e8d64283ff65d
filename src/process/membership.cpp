#include "process/membership.h"

#include "common/hash.h"
#include "version/rollout.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <ranges>

namespace banyanwall::process {

using common::InstanceId;
using common::TimePoint;
using wire::proto::MemberRecord;

namespace {

bool isLive(const MemberInfo &member)
{
    return member.state != MemberRecord::DEAD;
}

MemberRecord recordOf(const MemberInfo &member)
{
    MemberRecord record;
    record.set_instance(member.id.value());
    record.set_incarnation(member.incarnation.value());
    record.set_zone(member.zone.value());
    record.set_address(member.peerAddress.address);
    record.set_peer_port(member.peerAddress.port);
    record.set_state(member.state);
    record.set_started(member.started.value());
    return record;
}

/// State of a member at the given time, after the timeouts. Only a neighbour suspects a member, or
/// considers a leaving member dead after DeadAfter without a message. Every instance considers a
/// member dead that has been suspected for DeadAfter - SuspectAfter.
MemberRecord::State nextState(const MemberInfo &member, std::optional<TimePoint> neighbourSince,
                              TimePoint now)
{
    const bool isNeighbour = neighbourSince.has_value();
    const auto sinceLastSeen =
            now - std::max(member.lastSeen, neighbourSince.value_or(member.lastSeen));
    const bool isSuspicionExpired = member.state == MemberRecord::SUSPECTED
            && now - member.stateSince > Membership::DeadAfter - Membership::SuspectAfter;
    const bool isLeaverExpired = member.state == MemberRecord::LEAVING && isNeighbour
            && sinceLastSeen > Membership::DeadAfter;
    if (isSuspicionExpired || isLeaverExpired) {
        return MemberRecord::DEAD;
    }
    const bool isUnresponsive = isNeighbour && sinceLastSeen > Membership::SuspectAfter;
    return isUnresponsive && member.state == MemberRecord::ALIVE ? MemberRecord::SUSPECTED
                                                                 : member.state;
}

/// Ids that follow self in ring order, at most count, among the candidates sorted by id.
std::vector<InstanceId> successors(const std::vector<InstanceId> &candidates, InstanceId self,
                                   std::size_t count)
{
    std::vector<InstanceId> ring;
    const auto next = std::ranges::upper_bound(candidates, self);
    std::copy(next, candidates.end(), std::back_inserter(ring));
    std::copy(candidates.begin(), next, std::back_inserter(ring));
    ring.resize(std::min(count, ring.size()));
    return ring;
}

} // namespace

Membership::Membership(InstanceId self, common::Incarnation incarnation, common::ZoneId zone,
                       common::Endpoint peerAddress)
    : m_self(self)
    , m_startIncarnation(incarnation)
    , m_incarnation(incarnation)
    , m_zone(zone)
    , m_peerAddress(peerAddress)
{ }

void Membership::applyStoreList(const std::vector<MemberInfo> &listed, TimePoint now)
{
    std::ranges::for_each(listed, [&](const auto &member) { merge(recordOf(member), now); });
}

std::vector<SendToMember> Membership::onTick(wire::proto::Heartbeat preparedHeartbeat,
                                             TimePoint now)
{
    resetTimersAfterPause(now);
    auto sends = flood(detectFailures(now), std::nullopt);
    preparedHeartbeat.set_sequence(++m_sequence);
    preparedHeartbeat.set_leaving(m_isLeaving);
    preparedHeartbeat.set_view_digest(viewDigest());
    *preparedHeartbeat.mutable_self() = selfRecord();
    m_heartbeatSentAt[m_sequence] = now;
    std::erase_if(m_heartbeatSentAt,
                  [&](const auto &entry) { return now - entry.second > DeadAfter; });
    const auto receivers = heartbeatReceivers(preparedHeartbeat.store_reachable());
    std::ranges::transform(receivers, std::back_inserter(sends), [&](InstanceId receiver) {
        SendToMember send { receiver, {} };
        *send.message.mutable_heartbeat() = preparedHeartbeat;
        return send;
    });
    return sends;
}

std::vector<InstanceId> Membership::heartbeatReceivers(bool storeReachable) const
{
    return !storeReachable && m_sequence % TicksPerBroadcast == 0 ? livePeers() : neighbours();
}

std::vector<SendToMember> Membership::onHeartbeat(InstanceId sender,
                                                  const wire::proto::Heartbeat &heartbeat,
                                                  std::uint64_t ownCatalogueDigest, TimePoint now)
{
    auto record = heartbeat.self();
    record.set_state(heartbeat.leaving() ? MemberRecord::LEAVING : MemberRecord::ALIVE);
    if (record.instance() != sender.value()) {
        return {};
    }
    std::vector<SendToMember> sends;
    if (merge(record, now)) {
        sends = flood({ record }, sender);
        // A joining instance may know no other member than this one.
        sends.push_back({ sender, fullView() });
    }
    const auto known = m_members.find(sender);
    if (known == m_members.end()) {
        return sends;
    }
    // A heartbeat of an older process with this id does not show that the newer one is alive.
    if (known->second.incarnation.value() != record.incarnation()) {
        SendToMember notice { sender, {} };
        *notice.message.mutable_member_update()->add_members() = recordOf(known->second);
        sends.push_back(std::move(notice));
        return sends;
    }
    onMessageReceived(sender, now);
    if (known->second.state == MemberRecord::SUSPECTED
        || known->second.state == MemberRecord::DEAD) {
        // The sender does not know that it is suspected. The notice makes it refute the suspicion
        // with a higher incarnation.
        SendToMember notice { sender, {} };
        *notice.message.mutable_member_update()->add_members() = recordOf(known->second);
        sends.push_back(std::move(notice));
    }
    if (heartbeat.catalogue_digest() == ownCatalogueDigest) {
        m_contacts[sender].digestEqualAt = now;
    }
    if (recordViewReport(sender, heartbeat.view_digest(), now)) {
        sends.push_back({ sender, fullView() });
    }
    SendToMember reply { sender, {} };
    reply.message.mutable_heartbeat_ack()->set_view_digest(viewDigest());
    reply.message.mutable_heartbeat_ack()->set_sequence(heartbeat.sequence());
    reply.message.mutable_heartbeat_ack()->set_catalogue_digest(ownCatalogueDigest);
    sends.push_back(std::move(reply));
    return sends;
}

void Membership::onHeartbeatAck(InstanceId sender, const wire::proto::HeartbeatAck &ack,
                                std::uint64_t ownCatalogueDigest, TimePoint now)
{
    const auto sent = m_heartbeatSentAt.find(ack.sequence());
    if (sent == m_heartbeatSentAt.end() || !m_members.contains(sender)) {
        return;
    }
    onMessageReceived(sender, now);
    auto &contact = m_contacts[sender];
    contact.acknowledgedSentAt = std::max(contact.acknowledgedSentAt, sent->second);
    contact.viewDigest = ack.view_digest();
    contact.viewReportedAt = now;
    if (ack.catalogue_digest() == ownCatalogueDigest) {
        contact.digestEqualAt = std::max(contact.digestEqualAt, sent->second);
    }
}

std::vector<SendToMember> Membership::onUpdate(const wire::proto::MemberUpdate &update,
                                               TimePoint now)
{
    std::vector<MemberRecord> records;
    for (const auto &record : update.members()) {
        if (record.instance() == m_self.value()) {
            // Other instances suspect this instance or consider it dead, for example after a pause,
            // or have a record of a former process whose clock was ahead. A higher incarnation
            // replaces their records.
            const bool isRefutable = record.state() == MemberRecord::SUSPECTED
                    || record.state() == MemberRecord::DEAD;
            if (record.incarnation() > m_incarnation.value()
                || (record.incarnation() == m_incarnation.value() && isRefutable)) {
                m_incarnation = common::Incarnation(record.incarnation() + 1);
                records.push_back(selfRecord());
            }
        } else if (merge(record, now)) {
            records.push_back(record);
        }
    }
    return flood(records, std::nullopt);
}

std::vector<SendToMember> Membership::leave(TimePoint now)
{
    m_isLeaving = true;
    ++m_viewNumber;
    std::ignore = now;
    return flood({ selfRecord() }, std::nullopt);
}

std::vector<SendToMember> Membership::rejoin()
{
    if (!m_isLeaving) {
        return {};
    }
    m_isLeaving = false;
    m_incarnation = common::Incarnation(m_incarnation.value() + 1);
    ++m_viewNumber;
    return flood({ selfRecord() }, std::nullopt);
}

std::vector<SendToMember> Membership::announceDeparture() const
{
    auto record = selfRecord();
    record.set_state(MemberRecord::DEAD);
    return flood({ record }, std::nullopt);
}

std::vector<connection::Member> Membership::liveMembers() const
{
    std::vector<connection::Member> live { { m_self, m_zone, m_isLeaving } };
    for (const auto &[id, member] : m_members) {
        if (isLive(member)) {
            live.push_back({ id, member.zone, member.state == MemberRecord::LEAVING });
        }
    }
    std::ranges::sort(live, {}, &connection::Member::id);
    return live;
}

std::vector<InstanceId> Membership::livePeers() const
{
    std::vector<InstanceId> peers;
    for (const auto &[id, member] : m_members) {
        if (isLive(member)) {
            peers.push_back(id);
        }
    }
    return peers;
}

std::optional<common::Endpoint> Membership::addressOf(InstanceId member) const
{
    const auto found = m_members.find(member);
    return found == m_members.end() ? std::nullopt : std::optional(found->second.peerAddress);
}

std::vector<InstanceId> Membership::neighbours() const
{
    std::vector<InstanceId> local;
    for (const auto &[id, member] : m_members) {
        if (isLive(member) && member.zone == m_zone) {
            local.push_back(id);
        }
    }
    auto chosen = successors(local, m_self, MaxLocalNeighbours);
    std::ranges::copy(remoteNeighbours(), std::back_inserter(chosen));
    return chosen;
}

std::vector<InstanceId> Membership::remoteNeighbours() const
{
    std::map<common::ZoneId, std::vector<InstanceId>> byZone;
    for (const auto &[id, member] : m_members) {
        if (isLive(member) && member.zone != m_zone) {
            byZone[member.zone].push_back(id);
        }
    }
    const auto zones = byZone.size();
    const auto perZone = zones == 0 ? 0 : (MinRemoteNeighbours + zones - 1) / zones;
    std::vector<InstanceId> chosen;
    for (const auto &[zone, candidates] : byZone) {
        std::size_t responsive = 0;
        // A suspected or leaving neighbour stays a neighbour, and one more is added for its zone:
        // the zone would look unreachable when the only neighbour in it has left.
        for (const auto id : successors(candidates, m_self, candidates.size())) {
            if (responsive == perZone) {
                break;
            }
            chosen.push_back(id);
            responsive += m_members.at(id).state == MemberRecord::ALIVE ? 1 : 0;
        }
    }
    return chosen;
}

bool Membership::isStale(TimePoint now) const
{
    return now > freshUntil();
}

TimePoint Membership::freshUntil() const
{
    std::vector<TimePoint> equalTimes;
    std::ranges::transform(neighbours(), std::back_inserter(equalTimes), [&](InstanceId neighbour) {
        const auto contact = m_contacts.find(neighbour);
        return contact == m_contacts.end() ? TimePoint {} : contact->second.digestEqualAt;
    });
    if (equalTimes.empty()) {
        return TimePoint::max();
    }
    // This instance becomes stale when less than half of the times are recent enough, that is, when
    // the one at rank ceil(count / 2) from the newest gets older than StaleAfter.
    std::ranges::sort(equalTimes, std::greater {});
    return equalTimes.at((equalTimes.size() + 1) / 2 - 1) + version::Rollout::StaleAfter;
}

std::uint64_t Membership::viewDigest() const
{
    std::uint64_t digest = 0;
    for (const auto &member : liveMembers()) {
        digest += common::hashPair(member.id.value(), member.leaving ? 1 : 0);
    }
    return digest;
}

bool Membership::recordViewReport(InstanceId sender, std::uint64_t digest, TimePoint now)
{
    auto &contact = m_contacts[sender];
    contact.viewDigest = digest;
    contact.viewReportedAt = now;
    contact.viewMismatches = digest == viewDigest() ? 0 : contact.viewMismatches + 1;
    if (contact.viewMismatches < MismatchesBeforeRepair) {
        return false;
    }
    contact.viewMismatches = 0;
    return true;
}

bool Membership::isViewConfirmed(TimePoint now) const
{
    const auto currentNeighbours = neighbours();
    const auto own = viewDigest();
    const auto equal = std::ranges::count_if(currentNeighbours, [&](InstanceId neighbour) {
        const auto contact = m_contacts.find(neighbour);
        return contact != m_contacts.end() && contact->second.viewDigest == own
                && now - contact->second.viewReportedAt <= MaxViewReportAge;
    });
    return currentNeighbours.empty()
            || 2 * static_cast<std::size_t>(equal) > currentNeighbours.size();
}

std::vector<common::ZoneId> Membership::unreachableZones(TimePoint now) const
{
    std::map<common::ZoneId, TimePoint> newest;
    for (const auto &[id, member] : m_members) {
        // The last message of a departed member says nothing about the path to its zone.
        if (member.hasLeft && !isLive(member)) {
            continue;
        }
        newest[member.zone] = std::max(newest[member.zone], member.lastSeen);
    }
    std::vector<common::ZoneId> unreachable;
    for (const auto &[zone, lastSeen] : newest) {
        if (zone != m_zone && now - lastSeen > ZoneUnreachableAfter) {
            unreachable.push_back(zone);
        }
    }
    return unreachable;
}

std::uint32_t Membership::acknowledgedSince(TimePoint oldest) const
{
    return static_cast<std::uint32_t>(std::ranges::count_if(m_contacts, [&](const auto &entry) {
        return entry.second.acknowledgedSentAt >= oldest;
    }));
}

MemberRecord Membership::selfRecord() const
{
    return recordOf({ m_self,
                      m_incarnation,
                      m_zone,
                      m_peerAddress,
                      m_isLeaving ? MemberRecord::LEAVING : MemberRecord::ALIVE,
                      {},
                      {},
                      false,
                      m_startIncarnation });
}

std::vector<SendToMember> Membership::flood(const std::vector<MemberRecord> &records,
                                            std::optional<InstanceId> except) const
{
    if (records.empty()) {
        return {};
    }
    wire::proto::PeerMessage message;
    std::ranges::for_each(records, [&](const auto &record) {
        *message.mutable_member_update()->add_members() = record;
    });
    std::vector<SendToMember> sends;
    for (const auto neighbour : neighbours()) {
        if (neighbour != except) {
            sends.push_back({ neighbour, message });
        }
    }
    return sends;
}

bool Membership::merge(const MemberRecord &record, TimePoint now)
{
    const InstanceId id(record.instance());
    if (id == m_self) {
        return false;
    }
    auto [entry, added] = m_members.try_emplace(id);
    auto &member = entry->second;
    const auto known = std::pair(member.incarnation.value(), static_cast<int>(member.state));
    // Within one incarnation the later state in the order ALIVE, SUSPECTED, LEAVING, DEAD wins, so
    // that all views converge.
    if (!added && std::pair(record.incarnation(), static_cast<int>(record.state())) <= known) {
        return false;
    }
    const bool wasLive = !added && isLive(member);
    const bool wasLeaving = !added && member.state == MemberRecord::LEAVING;
    const common::Incarnation started(record.started());
    const bool isNewProcess = !added && started > member.started;
    const bool isNewIncarnation = added || record.incarnation() > member.incarnation.value();
    member.id = id;
    member.started = std::max(member.started, started);
    member.incarnation = common::Incarnation(record.incarnation());
    member.zone = common::ZoneId(record.zone());
    member.peerAddress = { record.address(), static_cast<std::uint16_t>(record.peer_port()) };
    member.hasLeft = record.state() == MemberRecord::LEAVING
            || (record.state() == MemberRecord::DEAD && wasLeaving);
    member.state = record.state();
    member.stateSince = now;
    if (isNewIncarnation) {
        member.lastSeen = now;
    }
    if (isNewProcess || wasLive != isLive(member)
        || wasLeaving != (member.state == MemberRecord::LEAVING)) {
        ++m_viewNumber;
    }
    return true;
}

void Membership::onMessageReceived(InstanceId sender, TimePoint now)
{
    const auto found = m_members.find(sender);
    if (found != m_members.end()) {
        found->second.lastSeen = now;
    }
}

void Membership::resetTimersAfterPause(TimePoint now)
{
    if (m_lastTick != TimePoint {} && now - m_lastTick > PauseThreshold) {
        for (auto &[id, member] : m_members) {
            member.lastSeen = now;
            member.stateSince = std::max(member.stateSince, now - SuspectAfter);
        }
    }
    m_lastTick = now;
}

wire::proto::PeerMessage Membership::fullView() const
{
    wire::proto::PeerMessage message;
    for (const auto &[id, member] : m_members) {
        *message.mutable_member_update()->add_members() = recordOf(member);
    }
    *message.mutable_member_update()->add_members() = selfRecord();
    return message;
}

std::vector<MemberRecord> Membership::detectFailures(TimePoint now)
{
    std::vector<MemberRecord> records;
    const auto currentNeighbours = neighbours();
    std::erase_if(m_neighbourSince, [&](const auto &entry) {
        return std::ranges::find(currentNeighbours, entry.first) == currentNeighbours.end();
    });
    std::ranges::for_each(currentNeighbours,
                          [&](InstanceId id) { m_neighbourSince.try_emplace(id, now); });
    for (auto &[id, member] : m_members) {
        const auto neighbourSince = m_neighbourSince.find(id);
        const auto next = nextState(member,
                                    neighbourSince == m_neighbourSince.end()
                                            ? std::nullopt
                                            : std::optional(neighbourSince->second),
                                    now);
        if (next == member.state) {
            continue;
        }
        member.state = next;
        member.stateSince = now;
        m_viewNumber += next == MemberRecord::DEAD ? 1 : 0;
        records.push_back(recordOf(member));
    }
    return records;
}

} // namespace banyanwall::process
