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

/// State of a member after silence. Only neighbours suspect; every instance turns an old suspicion
/// into a death.
MemberRecord::State nextState(const MemberInfo &member, std::optional<TimePoint> watchedSince,
                              TimePoint now)
{
    const bool watchedHere = watchedSince.has_value();
    const auto silence = now - std::max(member.heard, watchedSince.value_or(member.heard));
    const bool suspicionOld = member.state == MemberRecord::SUSPECTED
            && now - member.since > Membership::DeadAfter - Membership::SuspectAfter;
    const bool leaverGone =
            member.state == MemberRecord::LEAVING && watchedHere && silence > Membership::DeadAfter;
    if (suspicionOld || leaverGone) {
        return MemberRecord::DEAD;
    }
    const bool silent = watchedHere && silence > Membership::SuspectAfter;
    return silent && member.state == MemberRecord::ALIVE ? MemberRecord::SUSPECTED : member.state;
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
    , m_started(incarnation)
    , m_incarnation(incarnation)
    , m_zone(zone)
    , m_peerAddress(peerAddress)
{ }

void Membership::applyStoreList(const std::vector<MemberInfo> &listed, TimePoint now)
{
    std::ranges::for_each(listed, [&](const auto &member) { merge(recordOf(member), now); });
}

std::vector<SendToMember> Membership::onTick(wire::proto::Heartbeat prepared, TimePoint now)
{
    forgivePause(now);
    auto sends = flood(expire(now), std::nullopt);
    prepared.set_sequence(++m_sequence);
    prepared.set_leaving(m_leaving);
    prepared.set_view_digest(viewDigest());
    *prepared.mutable_self() = selfRecord();
    m_sentAt[m_sequence] = now;
    std::erase_if(m_sentAt, [&](const auto &entry) { return now - entry.second > DeadAfter; });
    const auto receivers = heartbeatReceivers(prepared.store_reachable());
    std::ranges::transform(receivers, std::back_inserter(sends), [&](InstanceId receiver) {
        SendToMember send { receiver, {} };
        *send.message.mutable_heartbeat() = prepared;
        return send;
    });
    return sends;
}

std::vector<InstanceId> Membership::heartbeatReceivers(bool storeReachable) const
{
    return !storeReachable && m_sequence % WideHeartbeatTicks == 0 ? livePeers() : neighbours();
}

std::vector<SendToMember> Membership::onHeartbeat(InstanceId sender,
                                                  const wire::proto::Heartbeat &heartbeat,
                                                  std::uint64_t ownDigest, TimePoint now)
{
    auto record = heartbeat.self();
    record.set_state(heartbeat.leaving() ? MemberRecord::LEAVING : MemberRecord::ALIVE);
    if (record.instance() != sender.value()) {
        return {};
    }
    std::vector<SendToMember> sends;
    if (merge(record, now)) {
        sends = flood({ record }, sender);
        // A joining instance may know only this one.
        sends.push_back({ sender, wholeView() });
    }
    const auto known = m_members.find(sender);
    // An older process with this id must not count as a sign of life of the newer one.
    if (known == m_members.end()) {
        return sends;
    }
    if (known->second.incarnation.value() != record.incarnation()) {
        SendToMember notice { sender, {} };
        *notice.message.mutable_member_update()->add_members() = recordOf(known->second);
        sends.push_back(std::move(notice));
        return sends;
    }
    heardFrom(sender, now);
    if (known->second.state == MemberRecord::SUSPECTED
        || known->second.state == MemberRecord::DEAD) {
        // The sender does not know how it is seen; told so, it returns with a higher incarnation.
        SendToMember notice { sender, {} };
        *notice.message.mutable_member_update()->add_members() = recordOf(known->second);
        sends.push_back(std::move(notice));
    }
    if (heartbeat.catalogue_digest() == ownDigest) {
        m_contacts[sender].equalDigest = now;
    }
    if (compareViews(sender, heartbeat.view_digest(), now)) {
        sends.push_back({ sender, wholeView() });
    }
    SendToMember reply { sender, {} };
    reply.message.mutable_heartbeat_ack()->set_view_digest(viewDigest());
    reply.message.mutable_heartbeat_ack()->set_sequence(heartbeat.sequence());
    reply.message.mutable_heartbeat_ack()->set_catalogue_digest(ownDigest);
    sends.push_back(std::move(reply));
    return sends;
}

void Membership::onHeartbeatAck(InstanceId sender, const wire::proto::HeartbeatAck &ack,
                                std::uint64_t ownDigest, TimePoint now)
{
    const auto sent = m_sentAt.find(ack.sequence());
    if (sent == m_sentAt.end() || !m_members.contains(sender)) {
        return;
    }
    heardFrom(sender, now);
    auto &contact = m_contacts[sender];
    contact.acknowledgedSend = std::max(contact.acknowledgedSend, sent->second);
    contact.viewDigest = ack.view_digest();
    contact.viewReported = now;
    if (ack.catalogue_digest() == ownDigest) {
        contact.equalDigest = std::max(contact.equalDigest, sent->second);
    }
}

std::vector<SendToMember> Membership::onUpdate(const wire::proto::MemberUpdate &update,
                                               TimePoint now)
{
    std::vector<MemberRecord> news;
    for (const auto &record : update.members()) {
        if (record.instance() == m_self.value()) {
            // Others think that this instance is gone, for example after a pause, or know a former
            // process whose clock was ahead: a higher incarnation refutes it.
            const bool refutable = record.state() == MemberRecord::SUSPECTED
                    || record.state() == MemberRecord::DEAD;
            if (record.incarnation() > m_incarnation.value()
                || (record.incarnation() == m_incarnation.value() && refutable)) {
                m_incarnation = common::Incarnation(record.incarnation() + 1);
                news.push_back(selfRecord());
            }
        } else if (merge(record, now)) {
            news.push_back(record);
        }
    }
    return flood(news, std::nullopt);
}

std::vector<SendToMember> Membership::leave(TimePoint now)
{
    m_leaving = true;
    ++m_viewNumber;
    std::ignore = now;
    return flood({ selfRecord() }, std::nullopt);
}

std::vector<SendToMember> Membership::rejoin()
{
    if (!m_leaving) {
        return {};
    }
    m_leaving = false;
    m_incarnation = common::Incarnation(m_incarnation.value() + 1);
    ++m_viewNumber;
    return flood({ selfRecord() }, std::nullopt);
}

std::vector<SendToMember> Membership::farewell() const
{
    auto record = selfRecord();
    record.set_state(MemberRecord::DEAD);
    return flood({ record }, std::nullopt);
}

std::vector<connection::Member> Membership::liveMembers() const
{
    std::vector<connection::Member> live { { m_self, m_zone, m_leaving } };
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
    auto chosen = successors(local, m_self, ZoneNeighbours);
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
    const auto perZone = zones == 0 ? 0 : (RemoteNeighbours + zones - 1) / zones;
    std::vector<InstanceId> chosen;
    for (const auto &[zone, candidates] : byZone) {
        std::size_t responsive = 0;
        // A suspected or leaving neighbour is watched further, and one more speaks for its zone,
        // which would look silent when the leaver is gone.
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
    std::vector<TimePoint> contacts;
    std::ranges::transform(neighbours(), std::back_inserter(contacts), [&](InstanceId neighbour) {
        const auto contact = m_contacts.find(neighbour);
        return contact == m_contacts.end() ? TimePoint {} : contact->second.equalDigest;
    });
    if (contacts.empty()) {
        return TimePoint::max();
    }
    // Stale begins when less than half are current, that is, when the contact at rank
    // ceil(count / 2) from the newest one ends.
    std::ranges::sort(contacts, std::greater {});
    return contacts.at((contacts.size() + 1) / 2 - 1) + version::Rollout::StaleAfter;
}

std::uint64_t Membership::viewDigest() const
{
    std::uint64_t digest = 0;
    for (const auto &member : liveMembers()) {
        digest += common::hashPair(member.id.value(), member.leaving ? 1 : 0);
    }
    return digest;
}

bool Membership::compareViews(InstanceId sender, std::uint64_t digest, TimePoint now)
{
    auto &contact = m_contacts[sender];
    contact.viewDigest = digest;
    contact.viewReported = now;
    contact.viewDifferences = digest == viewDigest() ? 0 : contact.viewDifferences + 1;
    if (contact.viewDifferences < DifferencesBeforeRepair) {
        return false;
    }
    contact.viewDifferences = 0;
    return true;
}

bool Membership::isViewConfirmed(TimePoint now) const
{
    const auto watched = neighbours();
    const auto own = viewDigest();
    const auto equal = std::ranges::count_if(watched, [&](InstanceId neighbour) {
        const auto contact = m_contacts.find(neighbour);
        return contact != m_contacts.end() && contact->second.viewDigest == own
                && now - contact->second.viewReported <= ViewConfirmedFor;
    });
    return watched.empty() || 2 * static_cast<std::size_t>(equal) > watched.size();
}

std::vector<common::ZoneId> Membership::silentZones(TimePoint now) const
{
    std::map<common::ZoneId, TimePoint> newest;
    for (const auto &[id, member] : m_members) {
        // Members that left say nothing about the path to their zone.
        if (member.left && !isLive(member)) {
            continue;
        }
        newest[member.zone] = std::max(newest[member.zone], member.heard);
    }
    std::vector<common::ZoneId> silent;
    for (const auto &[zone, heard] : newest) {
        if (zone != m_zone && now - heard > ZoneSilentAfter) {
            silent.push_back(zone);
        }
    }
    return silent;
}

std::uint32_t Membership::acknowledgedSince(TimePoint oldest) const
{
    return static_cast<std::uint32_t>(std::ranges::count_if(m_contacts, [&](const auto &entry) {
        return entry.second.acknowledgedSend >= oldest;
    }));
}

MemberRecord Membership::selfRecord() const
{
    return recordOf({ m_self,
                      m_incarnation,
                      m_zone,
                      m_peerAddress,
                      m_leaving ? MemberRecord::LEAVING : MemberRecord::ALIVE,
                      {},
                      {},
                      false,
                      m_started });
}

std::vector<SendToMember> Membership::flood(const std::vector<MemberRecord> &news,
                                            std::optional<InstanceId> except) const
{
    if (news.empty()) {
        return {};
    }
    wire::proto::PeerMessage message;
    std::ranges::for_each(news, [&](const auto &record) {
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
    // At one incarnation the later state of ALIVE, SUSPECTED, LEAVING, DEAD wins, so that all views
    // converge.
    if (!added && std::pair(record.incarnation(), static_cast<int>(record.state())) <= known) {
        return false;
    }
    const bool wasLive = !added && isLive(member);
    const bool wasLeaving = !added && member.state == MemberRecord::LEAVING;
    const common::Incarnation started(record.started());
    const bool newProcess = !added && started > member.started;
    const bool restarted = added || record.incarnation() > member.incarnation.value();
    member.id = id;
    member.started = std::max(member.started, started);
    member.incarnation = common::Incarnation(record.incarnation());
    member.zone = common::ZoneId(record.zone());
    member.peerAddress = { record.address(), static_cast<std::uint16_t>(record.peer_port()) };
    member.left = record.state() == MemberRecord::LEAVING
            || (record.state() == MemberRecord::DEAD && wasLeaving);
    member.state = record.state();
    member.since = now;
    if (restarted) {
        member.heard = now;
    }
    if (newProcess || wasLive != isLive(member)
        || wasLeaving != (member.state == MemberRecord::LEAVING)) {
        ++m_viewNumber;
    }
    return true;
}

void Membership::heardFrom(InstanceId sender, TimePoint now)
{
    const auto found = m_members.find(sender);
    if (found != m_members.end()) {
        found->second.heard = now;
    }
}

void Membership::forgivePause(TimePoint now)
{
    if (m_lastTick != TimePoint {} && now - m_lastTick > PauseAfter) {
        for (auto &[id, member] : m_members) {
            member.heard = now;
            member.since = std::max(member.since, now - SuspectAfter);
        }
    }
    m_lastTick = now;
}

wire::proto::PeerMessage Membership::wholeView() const
{
    wire::proto::PeerMessage message;
    for (const auto &[id, member] : m_members) {
        *message.mutable_member_update()->add_members() = recordOf(member);
    }
    *message.mutable_member_update()->add_members() = selfRecord();
    return message;
}

std::vector<MemberRecord> Membership::expire(TimePoint now)
{
    std::vector<MemberRecord> news;
    const auto watched = neighbours();
    std::erase_if(m_watchedSince, [&](const auto &entry) {
        return std::ranges::find(watched, entry.first) == watched.end();
    });
    std::ranges::for_each(watched, [&](InstanceId id) { m_watchedSince.try_emplace(id, now); });
    for (auto &[id, member] : m_members) {
        const auto since = m_watchedSince.find(id);
        const auto next = nextState(
                member, since == m_watchedSince.end() ? std::nullopt : std::optional(since->second),
                now);
        if (next == member.state) {
            continue;
        }
        member.state = next;
        member.since = now;
        m_viewNumber += next == MemberRecord::DEAD ? 1 : 0;
        news.push_back(recordOf(member));
    }
    return news;
}

} // namespace banyanwall::process
