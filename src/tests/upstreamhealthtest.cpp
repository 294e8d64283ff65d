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

// Lost datagrams: one in a thousand is repeated without any fault of the upstream.
TEST(UpstreamHealth, singleRepeatIsNoSuspicion)
{
    health.onDataRepeated(1, start);
    CHECK_FALSE(health.isSuspected(start));
    health.onDataRepeated(2, start + 3s);
    CHECK_FALSE(health.isSuspected(start + 3s));
}

// New flows lose nothing elsewhere while a second repeat could show a crash.
TEST(UpstreamHealth, singleRepeatKeepsNewFlowsAwayForAMoment)
{
    health.onPeerReport(start);
    CHECK_FALSE(health.isSuspected(start));
    CHECK_FALSE(health.mayOpen(start + 400ms));
    CHECK(health.mayOpen(start + 500ms));
    health.onDataRepeated(1, start + 2s);
    health.onHeard(start + 2100ms);
    CHECK(health.mayOpen(start + 2100ms));
}

// Crashed upstream under load: several callers repeat packets within half a second.
TEST(UpstreamHealth, repeatsOfSeveralFlowsMakeItSilent)
{
    health.onDataRepeated(1, start);
    health.onDataRepeated(2, start + 100ms);
    CHECK(health.isSuspected(start + 100ms));
    CHECK_FALSE(health.isSilent(start + 100ms));
    health.onDataRepeated(3, start + 200ms);
    CHECK(health.isSilent(start + 200ms));
}

// One caller behind a bad link repeats its packets for ever.
TEST(UpstreamHealth, oneFlowAloneDoesNotMakeItSilent)
{
    for (int repeat = 0; repeat < 8; ++repeat) {
        health.onDataRepeated(1, start + repeat * 200ms);
    }
    CHECK_FALSE(health.isSilent(start + 1600ms));
}

// A full upstream leaves opening packets unanswered while its flows are served.
TEST(UpstreamHealth, repeatedOpeningsDoNotCloseFlows)
{
    for (int repeat = 0; repeat < 8; ++repeat) {
        health.onOpeningRepeated(start + repeat * 100ms);
    }
    CHECK(health.isSuspected(start + 800ms));
    CHECK_FALSE(health.isSilent(start + 800ms));
}

// Wrong verdict: any answer ends it at once.
TEST(UpstreamHealth, answerEndsTheVerdict)
{
    health.onDataRepeated(1, start);
    health.onDataRepeated(2, start + 100ms);
    health.onDataRepeated(3, start + 200ms);
    health.onHeard(start + 210ms);
    CHECK_FALSE(health.isSuspected(start + 210ms));
    CHECK_FALSE(health.isSilent(start + 210ms));
    CHECK(health.mayOpen(start + 210ms));
}

// Upstream that comes back: one flow after each interval finds out, not each caller.
TEST(UpstreamHealth, suspectedUpstreamIsProbedByOneFlowAnInterval)
{
    health.onDataRepeated(1, start);
    health.onDataRepeated(2, start + 100ms);
    CHECK_FALSE(health.mayOpen(start + 1s));
    CHECK(health.mayOpen(start + 2200ms));
    health.onOpened(start + 2200ms);
    CHECK_FALSE(health.mayOpen(start + 2300ms));
}

// Mass crash while the store is away: the instances of a zone share their probes.
TEST(UpstreamHealth, failedProbeOfAnotherInstancePostponesTheOwn)
{
    health.onDataRepeated(1, start);
    health.onDataRepeated(2, start + 100ms);
    health.onPeerReport(start + 2s);
    CHECK_FALSE(health.mayOpen(start + 2200ms));
    CHECK(health.mayOpen(start + 4100ms));
    health.onPeerHeard(start + 2s);
    CHECK(health.mayOpen(start + 2200ms));
}

// Crashed upstream in a large fleet: each instance has one or two of its flows.
TEST(UpstreamHealth, flowsOfOtherInstancesMakeItSilentAfterTheTimeToObject)
{
    health.onDataRepeated(1, start);
    health.onReported(start + 20ms);
    health.onPeerDataRepeated(2, start + 50ms);
    health.onPeerDataRepeated(3, start + 210ms);
    CHECK_FALSE(health.isSilent(start + 210ms));
    CHECK_FALSE(health.isUncontestedSilent(start + 190ms));
    CHECK(health.isUncontestedSilent(start + 210ms));
    CHECK_FALSE(health.isUncontestedSilent(start + 3300ms));
}

TEST(UpstreamHealth, unreportedEvidenceClosesNoFlow)
{
    health.onPeerDataRepeated(2, start);
    health.onPeerDataRepeated(3, start + 100ms);
    health.onDataRepeated(1, start + 250ms);
    CHECK_FALSE(health.isUncontestedSilent(start + 250ms));
    health.onReported(start + 250ms);
    CHECK_FALSE(health.isUncontestedSilent(start + 300ms));
    CHECK(health.isUncontestedSilent(start + 310ms));
}

// Live upstream that is slow to acknowledge: an instance that hears it objects.
TEST(UpstreamHealth, objectionOfAnotherInstanceKeepsItsFlows)
{
    health.onHeard(start);
    CHECK(health.objection(start + 100ms).has_value());
    CHECK_FALSE(health.objection(start + 400ms).has_value());
    health.onDataRepeated(1, start + 1s);
    health.onReported(start + 1s);
    health.onPeerDataRepeated(2, start + 1100ms);
    health.onPeerDataRepeated(3, start + 1200ms);
    CHECK(health.isUncontestedSilent(start + 1200ms));
    health.onPeerHeard(start + 900ms);
    CHECK_FALSE(health.isUncontestedSilent(start + 1200ms));
    CHECK_FALSE(health.isSuspected(start + 1200ms));
}

// A sign of life from before the crash is no objection.
TEST(UpstreamHealth, signOfLifeBeforeTheFirstPacketIsNoObjection)
{
    health.onDataRepeated(1, start);
    health.onReported(start);
    health.onPeerDataRepeated(2, start + 100ms);
    health.onPeerDataRepeated(3, start + 200ms);
    health.onPeerHeard(start - 250ms);
    CHECK(health.isUncontestedSilent(start + 200ms));
}

// Evidence counts from the first packet that was repeated after the last sign of life.
TEST(UpstreamHealth, evidenceBeginsAnewAfterASignOfLife)
{
    health.onDataRepeated(1, start);
    health.onDataRepeated(2, start + 100ms);
    health.onHeard(start + 150ms);
    health.onDataRepeated(1, start + 300ms);
    health.onDataRepeated(2, start + 310ms);
    health.onDataRepeated(3, start + 320ms);
    CHECK_FALSE(health.isSilent(start + 320ms));
    CHECK(health.isSilent(start + 450ms));
}

// A path that works again: flows are not closed by evidence of before.
TEST(UpstreamHealth, oldEvidenceClosesNoFlows)
{
    health.onDataRepeated(1, start);
    health.onDataRepeated(2, start + 100ms);
    health.onDataRepeated(3, start + 200ms);
    CHECK(health.isSilent(start + 3s));
    CHECK_FALSE(health.isSilent(start + 3300ms));
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
            health.onHeard(at);
            health.onAnswered(at);
        }
    }

    void hearElsewhere()
    {
        for (int answer = 0; answer < 3; ++answer) {
            health.onHeardElsewhere();
        }
    }

    void repeatAll(common::TimePoint at)
    {
        hearElsewhere();
        for (std::uint32_t upstream = 1; upstream <= 4; ++upstream) {
            health.onRepeated(FlowToken(upstream), at);
        }
    }
};

// Zone cut off: all its upstreams fall silent at once.
TEST(ZoneHealth, silenceOfSeveralUpstreamsMeansUnreachable)
{
    repeatAll(start + 300ms);
    CHECK_FALSE(health.isUnreachable(start + 300ms));
    CHECK(health.takeReport(start + 1s));
    CHECK(health.mayOpen(start + 1s));
    CHECK_FALSE(health.mayOpen(start + 1100ms));
}

// Mass crash within a zone: the others of the zone still answer.
TEST(ZoneHealth, answerOfOneUpstreamKeepsTheZone)
{
    repeatAll(start + 300ms);
    health.onHeard(start + 400ms);
    CHECK_FALSE(health.isUnreachable(start + 1s));
}

// Losses on a quiet day: one upstream repeats at a time.
TEST(ZoneHealth, repeatsOfOneUpstreamDoNotCount)
{
    for (int repeat = 0; repeat < 10; ++repeat) {
        health.onRepeated(FlowToken(1), start + repeat * 100ms);
    }
    CHECK_FALSE(health.isUnreachable(start + 1500ms));
}

// Flows are closed at their first packet only when two instances agree.
TEST(ZoneHealth, verdictIsConfirmedByAnotherInstance)
{
    repeatAll(start + 300ms);
    CHECK(health.takeReport(start + 1s));
    health.onPeerReport(start + 1s);
    CHECK_FALSE(health.isConfirmedUnreachable(start + 1s));
    CHECK(health.isConfirmedUnreachable(start + 1100ms));
    health.onHeard(start + 1200ms);
    CHECK_FALSE(health.isConfirmedUnreachable(start + 2s));
}

// Large fleet with some losses: one of 45 instances always hears nothing for a while. Others hear
// the zone and object, so that no flow of a live upstream is closed.
TEST(ZoneHealth, objectionOfAnotherInstanceEndsTheVerdict)
{
    repeatAll(start + 300ms);
    CHECK(health.takeReport(start + 1s));
    health.onPeerReport(start + 1s);
    health.onPeerHeard(start + 900ms);
    repeatAll(start + 1050ms);
    CHECK_FALSE(health.isUnreachable(start + 1100ms));
    CHECK_FALSE(health.isUncontested(start + 1100ms));
    CHECK_FALSE(health.isConfirmedUnreachable(start + 1100ms));
    CHECK(health.mayOpen(start + 1100ms));
}

TEST(ZoneHealth, verdictIsReportedAgainWhileItHolds)
{
    repeatAll(start + 300ms);
    CHECK(health.takeReport(start + 1s));
    CHECK_FALSE(health.takeReport(start + 1100ms));
    CHECK(health.takeReport(start + 1500ms));
}

// Zone cut off: with others to object, half a second of silence is enough.
TEST(ZoneHealth, peersAllowAnEarlierVerdict)
{
    repeatAll(start + 250ms);
    CHECK_FALSE(health.isUnreachable(start + 600ms));
    health.setHasPeers(true);
    CHECK(health.isUnreachable(start + 600ms));
    CHECK_FALSE(health.isUnreachable(start + 250ms));
}

TEST(ZoneHealth, signOfLifeIsToldWithItsAge)
{
    health.onHeard(start);
    LONGS_EQUAL(100'000, health.objection(start + 100ms)->count());
    CHECK_FALSE(health.objection(start + 500ms).has_value());
}

// An instance that sees little traffic relies on its peers, but never against its own answers.
TEST(ZoneHealth, reportOfAPeerNeedsOneOwnSuspect)
{
    hearElsewhere();
    health.onPeerReport(start + 1s);
    CHECK_FALSE(health.isUnreachable(start + 1s));
    health.onRepeated(FlowToken(1), start + 1s);
    CHECK(health.isUnreachable(start + 1s));
}

// Full link of the instance itself: all zones fall silent at once, and none is at fault.
TEST(ZoneHealth, silenceEverywhereIsNoVerdictOnAZone)
{
    for (std::uint32_t upstream = 1; upstream <= 4; ++upstream) {
        health.onRepeated(FlowToken(upstream), start + 300ms);
    }
    CHECK_FALSE(health.isUnreachable(start + 1s));
}

// Cut that has healed: no flow is closed by evidence of before.
TEST(ZoneHealth, oldEvidenceIsForgotten)
{
    repeatAll(start + 300ms);
    CHECK_FALSE(health.isUnreachable(start + 4s));
}
