#include "common/hash.h"
#include "connection/flowrouter.h"
#include "connection/upstreamowner.h"
#include "process/membership.h"
#include "version/catalogue.h"
#include "wire/peercodec.h"

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <iostream>
#include <memory>
#include <ranges>
#include <string>
#include <vector>

/// Measures what the control plane costs one instance, against the number of members, documents,
/// payload bytes, services or owned upstreams. Members run in process and in simulated time; only
/// processor time is real. Prints lines "capacity.<metric> n=<size> value=<x>" with the metrics
///   membership_memory_bytes, heartbeat_bytes_per_s, heartbeat_cpu_us_per_s (mean per member),
///   heartbeat_bytes_per_s_store_down (the same without the store), member_failure_bytes (sent in
///   addition after one member fails), members_live_after_failure: n members
///   catalogue_memory_bytes, catalogue_update_us, catalogue_summary_bytes: n documents of 4 KB each
///   peer_message_us (to sign and verify one message): n bytes of payload
///   router_memory_bytes, router_change_us (one roster change): n services with five upstreams each
///   upstream_owner_memory_bytes, slot_cycle_us (acquire and release a slot): n owned upstreams
namespace banyanwall::benchmarks {

using common::InstanceId;
using common::TimePoint;
using process::Membership;

namespace {

constexpr auto Start = TimePoint(std::chrono::seconds(1'000));
constexpr std::size_t ZoneCount = 4;
constexpr int SettleTicks = 10;
constexpr int MeasuredTicks = 20;

double cpuSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

template<typename Value>
void printRow(const std::string &metric, std::size_t size, Value value)
{
    std::cout << "capacity." << metric << " n=" << size << " value=" << value << '\n';
}

/// Members whose messages are delivered at once. Disconnected members neither send nor receive.
class Group
{
public:
    explicit Group(std::size_t size)
    {
        for (std::size_t index = 0; index < size; ++index) {
            const InstanceId id(static_cast<std::uint32_t>(common::hashPair(index, size)));
            const common::Endpoint address { 0x7f000001,
                                             static_cast<std::uint16_t>(10'000 + index) };
            const common::ZoneId zone(static_cast<std::uint32_t>(index % ZoneCount));
            m_members.push_back(
                    { id, zone, address,
                      std::make_unique<Membership>(id, common::Incarnation(1), zone, address),
                      std::make_unique<wire::PeerCodec>(
                              id, common::Incarnation(1),
                              std::map<std::uint32_t, std::string> { { 1, "key" } }, 1),
                      false });
        }
        std::vector<process::MemberInfo> members;
        std::ranges::transform(m_members, std::back_inserter(members), [](const auto &member) {
            process::MemberInfo info;
            info.id = member.id;
            info.incarnation = common::Incarnation(1);
            info.zone = member.zone;
            info.peerAddress = member.address;
            return info;
        });
        for (auto &member : m_members) {
            member.membership->applyStoreList(members, m_now);
        }
    }

    void runTicks(int ticks)
    {
        for (int tick = 0; tick < ticks; ++tick) {
            m_now += Membership::HeartbeatInterval;
            wire::proto::Heartbeat heartbeat;
            heartbeat.set_store_reachable(m_isStoreReachable);
            std::ranges::for_each(m_members, [&](Entry &member) {
                if (!member.isDisconnected) {
                    queue(member, member.membership->onTick(heartbeat, m_now));
                }
            });
            deliverAll();
        }
    }

    void setStoreReachable(bool isReachable) { m_isStoreReachable = isReachable; }

    void disconnect(std::size_t index) { m_members[index].isDisconnected = true; }

    [[nodiscard]] double bytesSent() const { return m_bytes; }

    [[nodiscard]] std::size_t liveSeenByFirst() const
    {
        return m_members.front().membership->liveMembers().size();
    }

private:
    struct Entry
    {
        InstanceId id;
        common::ZoneId zone;
        common::Endpoint address;
        std::unique_ptr<Membership> membership;
        std::unique_ptr<wire::PeerCodec> codec;
        bool isDisconnected = false;
    };

    struct InFlight
    {
        InstanceId receiver;
        std::string bytes;
    };

    void queue(Entry &sender, const std::vector<process::SendToMember> &sends)
    {
        for (const auto &send : sends) {
            auto bytes = sender.codec->encode(send.message);
            m_bytes += static_cast<double>(bytes.size());
            m_inFlight.push_back({ send.member, std::move(bytes) });
        }
    }

    void deliverAll()
    {
        while (!m_inFlight.empty()) {
            const auto next = std::move(m_inFlight.front());
            m_inFlight.pop_front();
            const auto receiver = std::ranges::find(m_members, next.receiver, &Entry::id);
            if (receiver != m_members.end() && !receiver->isDisconnected) {
                receive(*receiver, next.bytes);
            }
        }
    }

    void receive(Entry &receiver, const std::string &bytes)
    {
        const auto decoded = receiver.codec->decode(bytes);
        if (!common::isOk(decoded)) {
            return;
        }
        const auto &verified = common::valueOf(decoded);
        auto &membership = *receiver.membership;
        if (verified.message.has_heartbeat()) {
            queue(receiver,
                  membership.onHeartbeat(verified.sender, verified.message.heartbeat(), 0, m_now));
        } else if (verified.message.has_heartbeat_ack()) {
            membership.onHeartbeatAck(verified.sender, verified.message.heartbeat_ack(), 0, m_now);
        } else if (verified.message.has_member_update()) {
            queue(receiver, membership.onUpdate(verified.message.member_update(), m_now));
        }
    }

    TimePoint m_now = Start;
    double m_bytes = 0;
    bool m_isStoreReachable = true;
    std::vector<Entry> m_members;
    std::deque<InFlight> m_inFlight;
};

double seconds(int ticks)
{
    return ticks * std::chrono::duration<double>(Membership::HeartbeatInterval).count();
}

void measureMembership(std::size_t size)
{
    const auto heapBefore = heapBytes();
    Group group(size);
    const auto memberCount = static_cast<double>(size);
    group.runTicks(SettleTicks);
    printRow("membership_memory_bytes", size, (heapBytes() - heapBefore) / memberCount);

    const auto bytesBefore = group.bytesSent();
    const auto cpuBefore = cpuSeconds();
    group.runTicks(MeasuredTicks);
    const auto steadyBytes =
            (group.bytesSent() - bytesBefore) / memberCount / seconds(MeasuredTicks);
    printRow("heartbeat_bytes_per_s", size, steadyBytes);
    printRow("heartbeat_cpu_us_per_s", size,
             (cpuSeconds() - cpuBefore) * 1e6 / memberCount / seconds(MeasuredTicks));

    group.setStoreReachable(false);
    const auto bytesBeforeOutage = group.bytesSent();
    group.runTicks(MeasuredTicks);
    printRow("heartbeat_bytes_per_s_store_down", size,
             (group.bytesSent() - bytesBeforeOutage) / memberCount / seconds(MeasuredTicks));
    group.setStoreReachable(true);

    const auto bytesBeforeFailure = group.bytesSent();
    group.disconnect(size - 1);
    group.runTicks(MeasuredTicks);
    const auto failureBytes = (group.bytesSent() - bytesBeforeFailure) / memberCount
            - steadyBytes * seconds(MeasuredTicks);
    printRow("member_failure_bytes", size, std::max(0.0, failureBytes));
    printRow("members_live_after_failure", size, group.liveSeenByFirst());
}

version::Catalogue::Document document(std::size_t index, std::uint64_t revision)
{
    version::Catalogue::Document document;
    document.set_key("contracts/customer-" + std::to_string(index));
    document.set_version(revision);
    document.set_value(std::string(4'000, 'c'));
    return document;
}

void measureCatalogue(std::size_t documents)
{
    const auto heapBefore = heapBytes();
    version::Catalogue catalogue;
    for (std::size_t index = 0; index < documents; ++index) {
        catalogue.put(document(index, 1));
    }
    printRow("catalogue_memory_bytes", documents, heapBytes() - heapBefore);
    constexpr std::size_t updates = 2'000;
    const auto cpuBefore = cpuSeconds();
    for (std::size_t update = 0; update < updates; ++update) {
        catalogue.put(document(update % documents, 2 + update / documents));
    }
    printRow("catalogue_update_us", documents, (cpuSeconds() - cpuBefore) * 1e6 / updates);
    wire::proto::PeerMessage summary;
    for (const auto &version : catalogue.versions()) {
        *summary.mutable_catalogue_summary()->add_versions() = version;
    }
    printRow("catalogue_summary_bytes", documents, summary.ByteSizeLong());
}

version::ServiceRoster roster(std::size_t service, std::uint64_t revision)
{
    constexpr std::uint32_t upstreamCount = 5;
    version::ServiceRoster roster;
    roster.service = common::ServiceId(static_cast<std::uint32_t>(service + 1));
    roster.version = common::RosterVersion(revision);
    for (std::uint32_t index = 1; index <= upstreamCount; ++index) {
        const auto id = static_cast<std::uint32_t>(common::hashPair(service, index));
        roster.upstreams.push_back(
                { common::UpstreamId(id), common::ZoneId(index % ZoneCount), {} });
    }
    std::ranges::sort(roster.upstreams, {}, &version::RosterUpstream::id);
    return roster;
}

/// Memory of the routing tables when no bucket is transitional, and time of one roster change.
void measureRouter(std::size_t services)
{
    const auto heapBefore = heapBytes();
    connection::FlowRouter router(InstanceId(1), common::ZoneId(1));
    for (std::size_t service = 0; service < services; ++service) {
        router.applyRoster(roster(service, 1), Start);
        router.setInForce(common::ServiceId(static_cast<std::uint32_t>(service + 1)),
                          common::RosterVersion(1));
    }
    printRow("router_memory_bytes", services, heapBytes() - heapBefore);
    constexpr std::size_t changes = 20;
    const auto cpuBefore = cpuSeconds();
    for (std::size_t change = 0; change < changes; ++change) {
        auto changed = roster(change, 2);
        changed.upstreams.front().state = version::UpstreamState::Draining;
        router.applyRoster(changed, Start);
    }
    printRow("router_change_us", services, (cpuSeconds() - cpuBefore) * 1e6 / changes);
}

void measureUpstreamOwners(std::size_t owners)
{
    const auto heapBefore = heapBytes();
    std::vector<std::unique_ptr<connection::UpstreamOwner>> owned;
    for (std::size_t index = 0; index < owners; ++index) {
        owned.push_back(std::make_unique<connection::UpstreamOwner>(
                3, std::chrono::milliseconds(50), std::chrono::seconds(10), Start));
        const auto later = Start + std::chrono::seconds(20);
        std::ignore = owned.back()->acquire({ common::RequestKey(index), {} },
                                            std::chrono::seconds(1), later);
    }
    printRow("upstream_owner_memory_bytes", owners, heapBytes() - heapBefore);
    constexpr std::size_t rounds = 20'000;
    const auto cpuBefore = cpuSeconds();
    auto now = Start + std::chrono::seconds(30);
    for (std::size_t round = 0; round < rounds; ++round) {
        auto &owner = *owned[round % owners];
        const connection::SlotKey key { common::RequestKey(round), common::AttemptNumber(1) };
        now += std::chrono::milliseconds(1);
        if (owner.acquire(key, std::chrono::seconds(1), now)) {
            owner.release(key, connection::SlotOutcome::Answered, std::chrono::milliseconds(40),
                          now);
        }
    }
    printRow("slot_cycle_us", owners, (cpuSeconds() - cpuBefore) * 1e6 / rounds);
}

void measureSigning(std::size_t payloadBytes)
{
    wire::PeerCodec sender(InstanceId(1), common::Incarnation(1), { { 1, "key" } }, 1);
    wire::PeerCodec receiver(InstanceId(2), common::Incarnation(1), { { 1, "key" } }, 1);
    wire::proto::PeerMessage message;
    message.mutable_relay()->mutable_frame()->set_payload(std::string(payloadBytes, 'p'));
    constexpr std::size_t messages = 50'000;
    std::size_t accepted = 0;
    const auto cpuBefore = cpuSeconds();
    for (std::size_t index = 0; index < messages; ++index) {
        accepted += common::isOk(receiver.decode(sender.encode(message))) ? 1 : 0;
    }
    printRow("peer_message_us", payloadBytes,
             (cpuSeconds() - cpuBefore) * 1e6 / static_cast<double>(accepted));
}

} // namespace

} // namespace banyanwall::benchmarks

int main()
{
    using namespace banyanwall::benchmarks;
    std::ranges::for_each(std::vector<std::size_t> { 16, 64, 130, 260, 520 }, measureMembership);
    std::ranges::for_each(std::vector<std::size_t> { 50, 200, 650, 1'300 }, measureCatalogue);
    std::ranges::for_each(std::vector<std::size_t> { 64, 256, 1'024 }, measureSigning);
    std::ranges::for_each(std::vector<std::size_t> { 100, 400, 1'300 }, measureRouter);
    std::ranges::for_each(std::vector<std::size_t> { 12, 48, 192 }, measureUpstreamOwners);
    return 0;
}
