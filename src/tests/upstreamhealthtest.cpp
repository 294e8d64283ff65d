#include "connection/upstreamhealth.h"
#include "connection/zonehealth.h"

#include <CppUTest/TestHarness.h>

using namespace banyanwall;
using namespace std::chrono_literals;
using common::FlowToken;
using connection::UpstreamHealth;
using connection::ZoneHealth;

TEST_GROUP(UpstreamHealth)
{
    UpstreamHealth health;
    common::TimePoint start { 100s };
};

// One in a thousand datagrams is lost and retransmitted without any fault of the upstream.
TEST(UpstreamHealth, singleRetransmissionIsNoSuspicion)
{
    health.onDataRetransmitted(1, start);
    CHECK_FALSE(health.isSuspected(start));
    health.onDataRetransmitted(2, start + 3s);
    CHECK_FALSE(health.isSuspected(start + 3s));
}

// New flows go to other upstreams, which costs nothing, while a second retransmission could show a
// crash.
TEST(UpstreamHealth, singleRetransmissionDefersNewFlowsBriefly)
{
    health.onPeerOpeningRetransmitted(start);
    CHECK_FALSE(health.isSuspected(start));
    CHECK_FALSE(health.mayOpenFlow(start + 400ms));
    CHECK(health.mayOpenFlow(start + 500ms));
    health.onDataRetransmitted(1, start + 2s);
    health.onResponse(start + 2100ms);
    CHECK(health.mayOpenFlow(start + 2100ms));
}

// An upstream crashes under load: several callers retransmit packets within half a second.
TEST(UpstreamHealth, retransmissionsOfSeveralFlowsMakeItUnresponsive)
{
    health.onDataRetransmitted(1, start);
    health.onDataRetransmitted(2, start + 100ms);
    CHECK(health.isSuspected(start + 100ms));
    CHECK_FALSE(health.isUnresponsive(start + 100ms));
    health.onDataRetransmitted(3, start + 200ms);
    CHECK(health.isUnresponsive(start + 200ms));
}

// One caller behind a bad link retransmits its packets again and again.
TEST(UpstreamHealth, oneFlowAloneDoesNotMakeItUnresponsive)
{
    for (int retransmission = 0; retransmission < 8; ++retransmission) {
        health.onDataRetransmitted(1, start + retransmission * 200ms);
    }
    CHECK_FALSE(health.isUnresponsive(start + 1600ms));
}

// An upstream without free slots leaves opening packets unanswered but serves its open flows.
TEST(UpstreamHealth, retransmittedOpeningsDoNotMakeItUnresponsive)
{
    for (int retransmission = 0; retransmission < 8; ++retransmission) {
        health.onOpeningRetransmitted(start + retransmission * 100ms);
    }
    CHECK(health.isSuspected(start + 800ms));
    CHECK_FALSE(health.isUnresponsive(start + 800ms));
}

// Any response clears a wrong verdict at once.
TEST(UpstreamHealth, responseClearsTheVerdict)
{
    health.onDataRetransmitted(1, start);
    health.onDataRetransmitted(2, start + 100ms);
    health.onDataRetransmitted(3, start + 200ms);
    health.onResponse(start + 210ms);
    CHECK_FALSE(health.isSuspected(start + 210ms));
    CHECK_FALSE(health.isUnresponsive(start + 210ms));
    CHECK(health.mayOpenFlow(start + 210ms));
}

// One flow per probe interval tests whether the upstream responds again, not the flows of all
// callers.
TEST(UpstreamHealth, suspectedUpstreamIsProbedByOneFlowPerInterval)
{
    health.onDataRetransmitted(1, start);
    health.onDataRetransmitted(2, start + 100ms);
    CHECK_FALSE(health.mayOpenFlow(start + 1s));
    CHECK(health.mayOpenFlow(start + 2200ms));
    health.onFlowOpened(start + 2200ms);
    CHECK_FALSE(health.mayOpenFlow(start + 2300ms));
}

// Many upstreams crash during a store outage: the instances of a zone share the results of their
// probes.
TEST(UpstreamHealth, failedProbeOfAPeerPostponesTheOwnProbe)
{
    health.onDataRetransmitted(1, start);
    health.onDataRetransmitted(2, start + 100ms);
    health.onPeerOpeningRetransmitted(start + 2s);
    CHECK_FALSE(health.mayOpenFlow(start + 2200ms));
    CHECK(health.mayOpenFlow(start + 4100ms));
    health.onPeerResponse(start + 2s);
    CHECK(health.mayOpenFlow(start + 2200ms));
}

// An upstream crashes in a large fleet: each instance sees only one or two of its flows.
TEST(UpstreamHealth, flowsOfPeersMakeItUnresponsiveAfterTheRefutationTimeout)
{
    health.onDataRetransmitted(1, start);
    health.onReportSent(start + 20ms);
    health.onPeerDataRetransmitted(2, start + 50ms);
    health.onPeerDataRetransmitted(3, start + 210ms);
    CHECK_FALSE(health.isUnresponsive(start + 210ms));
    CHECK_FALSE(health.isUnresponsiveToZone(start + 190ms));
    CHECK(health.isUnresponsiveToZone(start + 210ms));
    CHECK_FALSE(health.isUnresponsiveToZone(start + 3300ms));
}

// Other instances can refute only what was reported to them, so the refutation timeout runs from
// the own report.
TEST(UpstreamHealth, unreportedRetransmissionsGiveNoVerdict)
{
    health.onPeerDataRetransmitted(2, start);
    health.onPeerDataRetransmitted(3, start + 100ms);
    health.onDataRetransmitted(1, start + 250ms);
    CHECK_FALSE(health.isUnresponsiveToZone(start + 250ms));
    health.onReportSent(start + 250ms);
    CHECK_FALSE(health.isUnresponsiveToZone(start + 300ms));
    CHECK(health.isUnresponsiveToZone(start + 310ms));
}

// A working upstream is slow to acknowledge: an instance that got a response refutes the verdict.
TEST(UpstreamHealth, refutationOfAPeerClearsTheVerdict)
{
    health.onResponse(start);
    CHECK(health.refutation(start + 100ms).has_value());
    CHECK_FALSE(health.refutation(start + 400ms).has_value());
    health.onDataRetransmitted(1, start + 1s);
    health.onReportSent(start + 1s);
    health.onPeerDataRetransmitted(2, start + 1100ms);
    health.onPeerDataRetransmitted(3, start + 1200ms);
    CHECK(health.isUnresponsiveToZone(start + 1200ms));
    health.onPeerResponse(start + 900ms);
    CHECK_FALSE(health.isUnresponsiveToZone(start + 1200ms));
    CHECK_FALSE(health.isSuspected(start + 1200ms));
}

// A response from before the crash must not refute the verdict.
TEST(UpstreamHealth, responseBeforeTheFirstTransmissionIsNoRefutation)
{
    health.onDataRetransmitted(1, start);
    health.onReportSent(start);
    health.onPeerDataRetransmitted(2, start + 100ms);
    health.onPeerDataRetransmitted(3, start + 200ms);
    health.onPeerResponse(start - 250ms);
    CHECK(health.isUnresponsiveToZone(start + 200ms));
}

// Only retransmissions after the last response count.
TEST(UpstreamHealth, retransmissionsAreCountedAnewAfterAResponse)
{
    health.onDataRetransmitted(1, start);
    health.onDataRetransmitted(2, start + 100ms);
    health.onResponse(start + 150ms);
    health.onDataRetransmitted(1, start + 300ms);
    health.onDataRetransmitted(2, start + 310ms);
    health.onDataRetransmitted(3, start + 320ms);
    CHECK_FALSE(health.isUnresponsive(start + 320ms));
    CHECK(health.isUnresponsive(start + 450ms));
}

// A path works again: retransmissions from before must not cause resets.
TEST(UpstreamHealth, oldRetransmissionsExpire)
{
    health.onDataRetransmitted(1, start);
    health.onDataRetransmitted(2, start + 100ms);
    health.onDataRetransmitted(3, start + 200ms);
    CHECK(health.isUnresponsive(start + 3s));
    CHECK_FALSE(health.isUnresponsive(start + 3300ms));
    CHECK_FALSE(health.isSuspected(start + 9s));
}

TEST_GROUP(ZoneHealth)
{
    ZoneHealth health;
    common::TimePoint start { 100s };

    void setup() override
    {
        // Five answers a second for ten seconds.
        for (int answer = 0; answer < 50; ++answer) {
            const auto at = start - 10s + answer * 200ms;
            health.onResponse(at);
            health.onRequestAnswered(at);
        }
    }

    void respondFromOtherZones()
    {
        for (int answer = 0; answer < 3; ++answer) {
            health.onOtherZoneResponse();
        }
    }

    void retransmitToAllUpstreams(common::TimePoint at)
    {
        respondFromOtherZones();
        for (std::uint32_t upstream = 1; upstream <= 4; ++upstream) {
            health.onRetransmission(FlowToken(upstream), at);
        }
    }
};

// A zone is cut off: all its upstreams stop responding at once.
TEST(ZoneHealth, severalUnresponsiveUpstreamsMakeTheZoneUnreachable)
{
    retransmitToAllUpstreams(start + 300ms);
    CHECK_FALSE(health.isUnreachable(start + 300ms));
    CHECK(health.takeDueReport(start + 1s));
    CHECK(health.mayOpenFlow(start + 1s));
    CHECK_FALSE(health.mayOpenFlow(start + 1100ms));
}

// Many upstreams of a zone crash, and the others still respond.
TEST(ZoneHealth, responseOfOneUpstreamKeepsTheZoneReachable)
{
    retransmitToAllUpstreams(start + 300ms);
    health.onResponse(start + 400ms);
    CHECK_FALSE(health.isUnreachable(start + 1s));
}

// Flows stay in their own zone, so that another zone answers one request in three seconds. A
// silence of one second is its usual state; taken for a cut, it reset flows and was reported and
// refuted by all instances again and again.
TEST(ZoneHealth, zoneThatIsRarelyUsedIsNotJudgedByItsSilence)
{
    for (int answer = 1; answer <= 4; ++answer) {
        health.onResponse(start + answer * 3s);
        health.onRequestAnswered(start + answer * 3s);
    }
    retransmitToAllUpstreams(start + 13s);
    CHECK_FALSE(health.isUnreachable(start + 14s));
    CHECK_FALSE(health.takeDueReport(start + 14s));
    // All flows go there now, because the own zone is withdrawn, and none is answered.
    for (int opening = 0; opening < 8; ++opening) {
        health.onFlowOpened(start + 14s);
    }
    retransmitToAllUpstreams(start + 14500ms);
    CHECK(health.isUnreachable(start + 15s));
}

// Without a fault, losses cause retransmissions to one upstream at a time.
TEST(ZoneHealth, retransmissionsToOneUpstreamAreNotEnough)
{
    for (int retransmission = 0; retransmission < 10; ++retransmission) {
        health.onRetransmission(FlowToken(1), start + retransmission * 100ms);
    }
    CHECK_FALSE(health.isUnreachable(start + 1500ms));
}

// Flows are reset at the first transmission of a packet only when two instances agree.
TEST(ZoneHealth, verdictIsConfirmedByAPeer)
{
    retransmitToAllUpstreams(start + 300ms);
    CHECK(health.takeDueReport(start + 1s));
    health.onPeerReportedUnreachable(start + 1s);
    CHECK_FALSE(health.isConfirmedUnreachable(start + 1s));
    CHECK(health.isConfirmedUnreachable(start + 1100ms));
    health.onResponse(start + 1200ms);
    CHECK_FALSE(health.isConfirmedUnreachable(start + 2s));
}

// In a large fleet with some losses, at any time one of 45 instances has got no response from a
// zone for a while. Other instances get responses and refute its verdict, so that no flow of a
// working upstream is reset.
TEST(ZoneHealth, refutationOfAPeerClearsTheVerdict)
{
    retransmitToAllUpstreams(start + 300ms);
    CHECK(health.takeDueReport(start + 1s));
    health.onPeerReportedUnreachable(start + 1s);
    health.onPeerResponse(start + 900ms);
    retransmitToAllUpstreams(start + 1050ms);
    CHECK_FALSE(health.isUnreachable(start + 1100ms));
    CHECK_FALSE(health.isUnrefuted(start + 1100ms));
    CHECK_FALSE(health.isConfirmedUnreachable(start + 1100ms));
    CHECK(health.mayOpenFlow(start + 1100ms));
}

// Peers that get responses from the zone only later can refute a later report.
TEST(ZoneHealth, verdictIsReportedAgainWhileItHolds)
{
    retransmitToAllUpstreams(start + 300ms);
    CHECK(health.takeDueReport(start + 1s));
    CHECK_FALSE(health.takeDueReport(start + 1100ms));
    CHECK(health.takeDueReport(start + 1500ms));
}

// A zone is cut off: when peers can refute the verdict, half a second without a response is enough.
TEST(ZoneHealth, peersAllowAShorterResponseTimeout)
{
    retransmitToAllUpstreams(start + 250ms);
    CHECK_FALSE(health.isUnreachable(start + 600ms));
    health.setHasPeers(true);
    CHECK(health.isUnreachable(start + 600ms));
    CHECK_FALSE(health.isUnreachable(start + 250ms));
}

TEST(ZoneHealth, refutationGivesTheTimeSinceTheLastResponse)
{
    health.onResponse(start);
    LONGS_EQUAL(100'000, health.refutation(start + 100ms)->count());
    CHECK_FALSE(health.refutation(start + 500ms).has_value());
}

// An instance with little traffic relies on the reports of its peers, but only if it sees
// retransmissions itself.
TEST(ZoneHealth, reportOfAPeerNeedsAnOwnRetransmission)
{
    respondFromOtherZones();
    health.onPeerReportedUnreachable(start + 1s);
    CHECK_FALSE(health.isUnreachable(start + 1s));
    health.onRetransmission(FlowToken(1), start + 1s);
    CHECK(health.isUnreachable(start + 1s));
}

// The link of the instance itself is full: no zone responds, and no zone is at fault.
TEST(ZoneHealth, noResponseFromAnyZoneGivesNoVerdict)
{
    for (std::uint32_t upstream = 1; upstream <= 4; ++upstream) {
        health.onRetransmission(FlowToken(upstream), start + 300ms);
    }
    CHECK_FALSE(health.isUnreachable(start + 1s));
}

// A zone is reachable again: retransmissions from before must not cause resets.
TEST(ZoneHealth, oldRetransmissionsExpire)
{
    retransmitToAllUpstreams(start + 300ms);
    CHECK_FALSE(health.isUnreachable(start + 4s));
}
