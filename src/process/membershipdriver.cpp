#include "process/membershipdriver.h"

#include "process/logging.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace banyanwall::process {

using common::InstanceId;
using common::TimePoint;

namespace {

bool contains(const connection::OwnerSelector &members, InstanceId id)
{
    return std::ranges::find(members.members(), id, &connection::Member::id)
            != members.members().end();
}

} // namespace

MembershipDriver::MembershipDriver(Membership membership, std::vector<common::Endpoint> seeds,
                                   PeerSink &peers, AddressHandler onAddresses,
                                   ChangeHandler onChange)
    : m_membership(std::move(membership))
    , m_seeds(std::move(seeds))
    , m_peers(peers)
    , m_onAddresses(std::move(onAddresses))
    , m_onChange(std::move(onChange))
    , m_members(
              std::make_shared<const connection::OwnerSelector>(std::vector<connection::Member> {}))
{ }

void MembershipDriver::tick(const wire::proto::Heartbeat &preparedHeartbeat, TimePoint now)
{
    const auto messages = m_membership.onTick(preparedHeartbeat, now);
    publish(now);
    send(messages);
    sendHeartbeatToSeeds(preparedHeartbeat);
}

void MembershipDriver::sendHeartbeatToSeeds(const wire::proto::Heartbeat &preparedHeartbeat)
{
    // Without live peers this instance can join the fleet again only through the seeds.
    if (!m_membership.livePeers().empty()) {
        return;
    }
    wire::proto::PeerMessage message;
    auto &heartbeat = *message.mutable_heartbeat();
    heartbeat = preparedHeartbeat;
    *heartbeat.mutable_self() = m_membership.selfRecord();
    for (const auto seed : m_seeds) {
        if (seed != m_membership.peerAddress()) {
            m_peers.toAddress(seed, message);
        }
    }
}

void MembershipDriver::onHeartbeat(InstanceId sender, const wire::proto::Heartbeat &heartbeat,
                                   std::uint64_t ownCatalogueDigest, TimePoint now)
{
    const auto messages = m_membership.onHeartbeat(sender, heartbeat, ownCatalogueDigest, now);
    publish(now);
    send(messages);
}

void MembershipDriver::onHeartbeatAck(InstanceId sender, const wire::proto::HeartbeatAck &ack,
                                      std::uint64_t ownCatalogueDigest, TimePoint now)
{
    m_membership.onHeartbeatAck(sender, ack, ownCatalogueDigest, now);
}

void MembershipDriver::onUpdate(const wire::proto::MemberUpdate &update, TimePoint now)
{
    const auto messages = m_membership.onUpdate(update, now);
    publish(now);
    send(messages);
}

void MembershipDriver::applyStoreList(const std::vector<MemberInfo> &listed, TimePoint now)
{
    m_membership.applyStoreList(listed, now);
    publish(now);
}

void MembershipDriver::startNotifications(TimePoint now)
{
    m_isPublishing = true;
    publish(now);
}

void MembershipDriver::leave(TimePoint now)
{
    const auto messages = m_membership.leave(now);
    publish(now);
    send(messages);
}

void MembershipDriver::rejoin(TimePoint now)
{
    const auto messages = m_membership.rejoin();
    publish(now);
    send(messages);
}

void MembershipDriver::announceDeparture()
{
    send(m_membership.announceDeparture());
}

void MembershipDriver::send(const std::vector<SendToMember> &messages)
{
    for (const auto &message : messages) {
        m_peers.toPeer(message.member, message.message);
    }
}

void MembershipDriver::publish(TimePoint now)
{
    const auto &known = m_membership.members();
    if (m_publishedView == m_membership.viewNumber() && m_publishedMembers == known.size()) {
        return;
    }
    std::map<InstanceId, common::Endpoint> addresses;
    for (const auto &[id, member] : known) {
        addresses[id] = member.peerAddress;
    }
    m_onAddresses(std::move(addresses));
    if (!m_isPublishing) {
        return;
    }
    m_publishedView = m_membership.viewNumber();
    m_publishedMembers = known.size();
    const auto live = m_membership.liveMembers();
    const auto restarted = takeRestarted();
    if (!restarted.empty()) {
        // A restarted instance has lost its state, even if no peer noticed that it was down: the
        // other parts first get a view without it, then one with it.
        auto without = live;
        std::erase_if(without, [&](const auto &member) {
            return std::ranges::find(restarted, member.id) != restarted.end();
        });
        publishView(std::move(without), now);
    }
    publishView(live, now);
}

std::vector<InstanceId> MembershipDriver::takeRestarted()
{
    std::vector<InstanceId> restarted;
    for (const auto &[id, member] : m_membership.members()) {
        auto &startIncarnation = m_startIncarnations[id];
        if (startIncarnation != common::Incarnation() && startIncarnation != member.started) {
            restarted.push_back(id);
        }
        startIncarnation = member.started;
    }
    return restarted;
}

void MembershipDriver::publishView(std::vector<connection::Member> live, TimePoint now)
{
    Change change;
    change.members = std::make_shared<const connection::OwnerSelector>(std::move(live));
    for (const auto &member : change.members->members()) {
        if (!contains(*m_members, member.id)) {
            change.joined.push_back(member.id);
        }
    }
    std::ranges::copy_if(m_members->members(), std::back_inserter(change.departed),
                         [&](const auto &member) { return !contains(*change.members, member.id); });
    LogEvent(LogLevel::Info, "members_changed")
            .with("live", change.members->members().size())
            .with("joined", change.joined.size())
            .with("gone", change.departed.size());
    change.former = std::exchange(m_members, change.members);
    m_onChange(change, now);
}

} // namespace banyanwall::process
