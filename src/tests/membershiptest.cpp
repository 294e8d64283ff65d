#include "process/membership.h"

#include <CppUTest/TestHarness.h>

#include <deque>
#include <memory>

using namespace banyanwall;
using namespace std::chrono_literals;
using common::Incarnation;
using common::InstanceId;
using common::TimePoint;
using common::ZoneId;
using process::Membership;
using wire::proto::MemberRecord;

namespace {

constexpr std::uint64_t Digest = 77;

/// A fleet whose messages are delivered at once, unless their sender or receiver is disconnected or
/// paused.
class Fleet
{
public:
    explicit Fleet(std::uint32_t count)
    {
        for (std::uint32_t id = 1; id <= count; ++id) {
            add(id, 1);
        }
    }

    void add(std::uint32_t id, std::uint64_t incarnation)
    {
        const common::Endpoint address { 0x7f000001, static_cast<std::uint16_t>(9000 + id) };
        m_members[InstanceId(id)] = std::make_unique<Membership>(
                InstanceId(id), Incarnation(incarnation), ZoneId(id % 3), address);
        m_disconnected.erase(InstanceId(id));
    }

    Membership &at(std::uint32_t id) { return *m_members.at(InstanceId(id)); }

    void disconnect(std::uint32_t id) { m_disconnected.insert(InstanceId(id)); }

    void reconnect(std::uint32_t id) { m_disconnected.erase(InstanceId(id)); }

    void applyStoreLists()
    {
        for (auto &[id, member] : m_members) {
            for (const auto &[other, info] : m_members) {
                process::MemberInfo listed { other,
                                             info->incarnation(),
                                             ZoneId(other.value() % 3),
                                             {},
                                             MemberRecord::ALIVE,
                                             now,
                                             now,
                                             false,
                                             info->incarnation() };
                member->applyStoreList({ listed }, now);
            }
        }
    }

    void run(common::Duration time)
    {
        wire::proto::Heartbeat prepared;
        prepared.set_store_reachable(storeReachable);
        for (const auto end = now + time; now < end; now += Membership::HeartbeatInterval) {
            for (auto &[id, member] : m_members) {
                if (!m_paused.contains(id)) {
                    deliver(id, member->onTick(prepared, now));
                }
            }
        }
    }

    void deliver(InstanceId from, std::vector<process::SendToMember> sends)
    {
        std::deque<std::pair<InstanceId, process::SendToMember>> queue;
        const auto enqueue = [&](InstanceId sender, std::vector<process::SendToMember> messages) {
            for (auto &message : messages) {
                queue.emplace_back(sender, std::move(message));
            }
        };
        enqueue(from, std::move(sends));
        while (!queue.empty()) {
            const auto [sender, send] = queue.front();
            queue.pop_front();
            const auto receiver = m_members.find(send.member);
            if (receiver == m_members.end() || isUnreachable(sender)
                || isUnreachable(send.member)) {
                continue;
            }
            auto &member = *receiver->second;
            if (send.message.has_heartbeat()) {
                enqueue(send.member,
                        member.onHeartbeat(sender, send.message.heartbeat(), Digest, now));
            } else if (send.message.has_heartbeat_ack()) {
                member.onHeartbeatAck(sender, send.message.heartbeat_ack(), Digest, now);
            } else {
                enqueue(send.member, member.onUpdate(send.message.member_update(), now));
            }
        }
    }

    bool storeReachable = true;

    void pause(std::uint32_t id) { m_paused.insert(InstanceId(id)); }

    void resume(std::uint32_t id) { m_paused.erase(InstanceId(id)); }

    TimePoint now { 1000s };

private:
    bool isUnreachable(InstanceId id) const
    {
        return m_disconnected.contains(id) || m_paused.contains(id);
    }

    std::map<InstanceId, std::unique_ptr<Membership>> m_members;
    std::set<InstanceId> m_disconnected;
    std::set<InstanceId> m_paused;
};

MemberRecord::State stateAt(Fleet &fleet, std::uint32_t observer, std::uint32_t member)
{
    return fleet.at(observer).members().at(InstanceId(member)).state;
}

} // namespace

TEST_GROUP(Membership)
{
    Fleet fleet { 9 };

    void setup() override
    {
        fleet.applyStoreLists();
        fleet.run(1s);
    }
};

// Guards against a failed instance that stays a live member and keeps its roles, and against
// suspecting an instance too early.
TEST(Membership, unresponsiveMemberIsSuspectedThenDead)
{
    fleet.disconnect(5);
    fleet.run(1500ms);
    CHECK_TRUE(stateAt(fleet, 1, 5) == MemberRecord::ALIVE);
    fleet.run(1500ms);
    CHECK_TRUE(stateAt(fleet, 1, 5) == MemberRecord::SUSPECTED);
    LONGS_EQUAL(9, fleet.at(1).liveMembers().size());
    fleet.run(4s);
    for (const std::uint32_t observer : { 1U, 2U, 3U, 9U }) {
        CHECK_TRUE(stateAt(fleet, observer, 5) == MemberRecord::DEAD);
        LONGS_EQUAL(8, fleet.at(observer).liveMembers().size());
    }
}

// Guards against an instance that stays dead for its peers after a pause, and against one that
// suspects its peers because it received nothing during its own pause.
TEST(Membership, resumedMemberRefutesAndSuspectsNobody)
{
    fleet.pause(5);
    fleet.run(10s);
    CHECK_TRUE(stateAt(fleet, 1, 5) == MemberRecord::DEAD);
    CHECK_TRUE(fleet.at(5).isStale(fleet.now));
    fleet.resume(5);
    fleet.run(2s);
    CHECK_TRUE(stateAt(fleet, 1, 5) == MemberRecord::ALIVE);
    CHECK_TRUE(fleet.at(5).incarnation() > Incarnation(1));
    CHECK_FALSE(fleet.at(5).isStale(fleet.now));
    for (std::uint32_t member = 1; member <= 9; ++member) {
        if (member != 5) {
            CHECK_TRUE(stateAt(fleet, 5, member) == MemberRecord::ALIVE);
            CHECK_TRUE(fleet.at(member).incarnation() == Incarnation(1));
        }
    }
}

// Guards against an instance that becomes stale too late, and against one that becomes stale
// because it lost a single neighbour.
TEST(Membership, staleAfterTwoSecondsWithoutMostNeighbours)
{
    fleet.disconnect(9);
    fleet.run(500ms);
    CHECK_FALSE(fleet.at(1).isStale(fleet.now + 1s));
    fleet.disconnect(1);
    const auto disconnectedAt = fleet.now;
    fleet.run(1500ms);
    CHECK_FALSE(fleet.at(1).isStale(disconnectedAt + 1400ms));
    CHECK_TRUE(fleet.at(1).isStale(disconnectedAt + 2s));
    CHECK_TRUE(fleet.at(1).freshUntil() < disconnectedAt + 2s);
}

// Guards against a leaving instance that is removed from the live members before it has finished
// its work.
TEST(Membership, leavingMemberStaysLiveUntilItsDeparture)
{
    fleet.deliver(InstanceId(5), fleet.at(5).leave(fleet.now));
    fleet.run(3s);
    CHECK_TRUE(stateAt(fleet, 1, 5) == MemberRecord::LEAVING);
    LONGS_EQUAL(9, fleet.at(1).liveMembers().size());
    fleet.deliver(InstanceId(5), fleet.at(5).announceDeparture());
    LONGS_EQUAL(8, fleet.at(1).liveMembers().size());
    LONGS_EQUAL(8, fleet.at(9).liveMembers().size());
}

// The store's list lags behind the heartbeats. Guards against a list that revives a dead member or
// removes a live one.
TEST(Membership, laggingStoreListNeitherRevivesNorRemovesMembers)
{
    fleet.disconnect(5);
    fleet.run(7s);
    fleet.applyStoreLists();
    CHECK_TRUE(stateAt(fleet, 1, 5) == MemberRecord::DEAD);
    fleet.at(1).applyStoreList({}, fleet.now);
    LONGS_EQUAL(8, fleet.at(1).liveMembers().size());
}

// Guards against a joining instance that knows only the seed to which it sent its first heartbeat.
TEST(Membership, joinerLearnsTheWholeFleetFromOneSeed)
{
    fleet.add(10, 1);
    wire::proto::Heartbeat heartbeat;
    *heartbeat.mutable_self() = fleet.at(10).selfRecord();
    fleet.deliver(InstanceId(3),
                  fleet.at(3).onHeartbeat(InstanceId(10), heartbeat, Digest, fleet.now));
    LONGS_EQUAL(10, fleet.at(10).liveMembers().size());
    fleet.run(500ms);
    LONGS_EQUAL(10, fleet.at(8).liveMembers().size());
}

// A disconnected instance misses the update of a member that joins. Guards against views that stay
// different after that, so that instances choose different owners.
TEST(Membership, missedUpdateIsRepaired)
{
    for (std::uint32_t observer = 2; observer <= 9; ++observer) {
        Fleet joined { 9 };
        joined.applyStoreLists();
        joined.run(1s);
        joined.disconnect(observer);
        joined.add(10, 1);
        const process::MemberInfo seed { InstanceId(1),       Incarnation(1), ZoneId(1),  {},
                                         MemberRecord::ALIVE, joined.now,     joined.now, false,
                                         Incarnation(1) };
        joined.at(10).applyStoreList({ seed }, joined.now);
        joined.run(1s);
        joined.reconnect(observer);
        joined.run(15s);
        CHECK_TRUE(joined.at(observer).members().contains(InstanceId(10)));
    }
}

// Guards against views that differ for seconds, so that two instances coordinate transmissions of
// the same request, and against an instance that counts such a view as confirmed.
TEST(Membership, differentViewIsNoticedAndRepairedWithinTwoSeconds)
{
    Fleet joined { 9 };
    joined.applyStoreLists();
    joined.run(1s);
    CHECK_TRUE(joined.at(5).isViewConfirmed(joined.now));
    joined.disconnect(5);
    joined.add(10, 1);
    const process::MemberInfo seed { InstanceId(1),       Incarnation(1), ZoneId(1),  {},
                                     MemberRecord::ALIVE, joined.now,     joined.now, false,
                                     Incarnation(1) };
    joined.at(10).applyStoreList({ seed }, joined.now);
    joined.run(500ms);
    joined.reconnect(5);
    joined.run(500ms);
    CHECK_FALSE(joined.at(5).isViewConfirmed(joined.now)
                && !joined.at(5).members().contains(InstanceId(10)));
    joined.run(1500ms);
    CHECK_TRUE(joined.at(5).members().contains(InstanceId(10)));
    CHECK_TRUE(joined.at(5).isViewConfirmed(joined.now));
}

// Guards against coordinators that lose their dispatch permit during a store outage because too few
// members acknowledge their heartbeats: the neighbours alone are no majority of a larger fleet.
TEST(Membership, mostMembersAcknowledgeWhileTheStoreIsDown)
{
    Fleet large { 24 };
    large.applyStoreLists();
    large.storeReachable = false;
    large.run(4s);
    for (int step = 0; step < 6; ++step) {
        large.run(500ms);
        CHECK_TRUE(2 * (large.at(7).acknowledgedSince(large.now - 2s) + 1) > 24);
    }
    large.storeReachable = true;
    large.run(4s);
    CHECK_TRUE(large.at(7).acknowledgedSince(large.now - 2s) < 12);
}

// Guards against a restarted process that its peers ignore because its clock was set back, which
// gives it a lower incarnation than the former process.
TEST(Membership, restartAfterClockStepBackIsAccepted)
{
    fleet.add(5, 0);
    wire::proto::Heartbeat heartbeat;
    *heartbeat.mutable_self() = fleet.at(5).selfRecord();
    fleet.deliver(InstanceId(3),
                  fleet.at(3).onHeartbeat(InstanceId(5), heartbeat, Digest, fleet.now));
    fleet.run(2s);
    CHECK_TRUE(fleet.at(5).incarnation() > Incarnation(1));
    CHECK_TRUE(stateAt(fleet, 1, 5) == MemberRecord::ALIVE);
}

// Guards against a zone that counts as unreachable only because none of its members is a neighbour
// of this instance.
TEST(Membership, onlyZonesWithoutReachableMembersAreUnreachable)
{
    CHECK_TRUE(fleet.at(1).unreachableZones(fleet.now).empty());
    for (const std::uint32_t member : { 2U, 5U, 8U }) {
        fleet.disconnect(member);
    }
    fleet.run(4s);
    const auto unreachable = fleet.at(1).unreachableZones(fleet.now);
    LONGS_EQUAL(1, unreachable.size());
    CHECK_TRUE(unreachable.front() == ZoneId(2));
}
