#include "version/rollout.h"
#include "process/rollouttracker.h"

#include <CppUTest/TestHarness.h>

using namespace banyanwall;
using namespace std::chrono_literals;
using common::InstanceId;
using common::TimePoint;
using process::RolloutTracker;
using version::Rollout;

namespace {

const std::vector<InstanceId> Peers { InstanceId(1), InstanceId(2) };

} // namespace

TEST_GROUP(Rollout)
{
    Rollout rollout;
    TimePoint start { 100s };
};

// Guards against flows that are opened by a version that a live member does not know.
TEST(Rollout, waitsForEveryLiveMember)
{
    rollout.onAnnounced(7, start);
    rollout.onAcknowledged(InstanceId(1), 7);
    LONGS_EQUAL(0, rollout.inForce(Peers, start + 1s));
    rollout.onAcknowledged(InstanceId(2), 7);
    LONGS_EQUAL(7, rollout.inForce(Peers, start + 1s));
    CHECK_FALSE(rollout.isOpen());
}

// Guards against a roll-out that a dead or paused member blocks forever.
TEST(Rollout, deadlineReplacesMissingAcknowledgements)
{
    rollout.onAnnounced(7, start);
    rollout.onAcknowledged(InstanceId(1), 7);
    LONGS_EQUAL(0, rollout.inForce(Peers, start + Rollout::Deadline - 1us));
    LONGS_EQUAL(7, rollout.inForce(Peers, start + Rollout::Deadline));
    LONGS_EQUAL(1, rollout.missing(Peers).size());
}

// Guards against waiting for a member that died during the roll-out.
TEST(Rollout, deadMemberIsNotWaitedFor)
{
    rollout.onAnnounced(7, start);
    rollout.onAcknowledged(InstanceId(1), 7);
    LONGS_EQUAL(7, rollout.inForce({ InstanceId(1) }, start + 10ms));
}

// Guards against a return to an older version when the older one is announced or acknowledged
// later.
TEST(Rollout, neverReverts)
{
    rollout.onAnnounced(7, start);
    LONGS_EQUAL(7, rollout.inForce({}, start));
    rollout.onAnnounced(6, start);
    rollout.onAcknowledged(InstanceId(1), 6);
    LONGS_EQUAL(7, rollout.inForce(Peers, start + 10s));
    LONGS_EQUAL(7, rollout.newestAnnounced());
}

// Guards against an older acknowledgement that replaces a newer one of the same member.
TEST(Rollout, acknowledgementOfNewerVersionCoversOlder)
{
    rollout.onAnnounced(6, start);
    rollout.onAnnounced(7, start);
    for (const auto member : Peers) {
        rollout.onAcknowledged(member, 7);
        rollout.onAcknowledged(member, 6);
    }
    LONGS_EQUAL(7, rollout.inForce(Peers, start));
}

TEST_GROUP(RolloutTracker)
{
    RolloutTracker one { InstanceId(1) };
    RolloutTracker two { InstanceId(2) };
    RolloutTracker three { InstanceId(3) };
    TimePoint start { 100s };

    static void heartbeat(RolloutTracker & from, RolloutTracker & to)
    {
        for (const auto &acknowledgement : from.takeAcknowledgements()) {
            to.onAcknowledged(acknowledgement);
        }
    }
};

// Guards against acknowledgements that reach only the neighbours of the acknowledging instance.
TEST(RolloutTracker, passesAcknowledgementsOn)
{
    one.onVersionKnown("roster/a", 4, start);
    two.onVersionKnown("roster/a", 4, start);
    three.onVersionKnown("roster/a", 4, start);
    heartbeat(three, two);
    heartbeat(two, one);
    LONGS_EQUAL(4, one.inForce("roster/a", { InstanceId(2), InstanceId(3) }, start));
    CHECK_TRUE(one.isKnownByAll("roster/a", { InstanceId(2), InstanceId(3) }));
}

// Guards against heartbeats that contain all former acknowledgements forever.
TEST(RolloutTracker, sendsAnAcknowledgementInAFewHeartbeats)
{
    one.onVersionKnown("roster/a", 4, start);
    for (std::uint32_t sent = 0; sent < RolloutTracker::HeartbeatsPerAcknowledgement; ++sent) {
        LONGS_EQUAL(1, one.takeAcknowledgements().size());
    }
    CHECK_TRUE(one.takeAcknowledgements().empty());
}

// Guards against overrides that are dropped when the deadline of a settled map has passed but a
// member has not acknowledged the map.
TEST(RolloutTracker, deadlineIsNoAcknowledgement)
{
    one.onVersionKnown("settled/a", 4, start);
    LONGS_EQUAL(4, one.inForce("settled/a", { InstanceId(2) }, start + 5s));
    CHECK_FALSE(one.isKnownByAll("settled/a", { InstanceId(2) }));
}
