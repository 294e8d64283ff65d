#include "connection/flowobserver.h"

#include <CppUTest/TestHarness.h>

using namespace banyanwall;
using namespace std::chrono_literals;
using common::FlowToken;
using connection::FlowObserver;
using connection::FlowPacket;

TEST_GROUP(FlowObserver)
{
    FlowObserver observer { 64 };
    common::TimePoint now { 100s };
    FlowToken token { 77 };

    FlowPacket packet(std::uint32_t sequence, std::uint32_t acknowledgement, std::uint16_t payload)
            const
    {
        return { .caller = { 0x64400007, 40001 },
                 .service = { 0xc6120001, 443 },
                 .token = token,
                 .sequence = sequence,
                 .acknowledgement = acknowledgement,
                 .payloadBytes = payload,
                 .acknowledges = true };
    }

    FlowPacket opening(std::uint32_t retransmissions) const
    {
        auto syn = packet(1000, retransmissions, 0);
        syn.token = {};
        syn.opens = true;
        syn.acknowledges = false;
        return syn;
    }
};

TEST(FlowObserver, retransmittedDataIsRecognised)
{
    observer.observe(packet(1000, 5000, 100), now);
    CHECK(observer.observe(packet(1000, 5000, 100), now + 200ms).isRetransmission);
}

// Packets of one burst overtake each other. In a run without a fault, such packets were counted as
// 400 retransmissions.
TEST(FlowObserver, reorderedDataIsNoRetransmission)
{
    observer.observe(packet(1000, 5000, 0), now);
    observer.observe(packet(2200, 5000, 52), now);
    CHECK_FALSE(observer.observe(packet(1000, 5000, 1200), now + 1ms).isRetransmission);
}

TEST(FlowObserver, newDataIsNoRetransmission)
{
    observer.observe(packet(1000, 5000, 100), now);
    CHECK_FALSE(observer.observe(packet(1100, 5000, 100), now + 500ms).isRetransmission);
}

// Sequence numbers wrap around within long feeds.
TEST(FlowObserver, sequenceNumbersWrapAround)
{
    observer.observe(packet(0xffffffc0, 5000, 32), now);
    CHECK_FALSE(observer.observe(packet(0xffffffe0, 5000, 64), now + 300ms).isRetransmission);
    CHECK(observer.observe(packet(0xffffffe0, 5000, 64), now + 600ms).isRetransmission);
}

TEST(FlowObserver, responseTimeRunsFromRequestToAcknowledgement)
{
    observer.observe(packet(1000, 5000, 100), now);
    const auto observation = observer.observe(packet(1100, 6200, 0), now + 46ms);
    CHECK(observation.hasResponse);
    CHECK(observation.responseTime.has_value());
    LONGS_EQUAL(46'000, observation.responseTime->count());
    LONGS_EQUAL(1'200, observation.answeredBytes);
}

// An upstream answers with an error and closes the flow: the caller's last packet shows its size.
TEST(FlowObserver, lastPacketShowsTheSizeOfTheAnswer)
{
    observer.observe(packet(1000, 5000, 100), now);
    auto last = packet(1100, 5120, 0);
    last.finishes = true;
    const auto observation = observer.observe(last, now + 5ms);
    CHECK_FALSE(observation.responseTime.has_value());
    LONGS_EQUAL(120, observation.answeredBytes);
}

// A zone is cut off: a request that is lost acknowledges the response to the request before it,
// which is no proof that the upstream still responds.
TEST(FlowObserver, acknowledgementWithDataIsNoResponse)
{
    observer.observe(packet(1000, 5000, 100), now);
    CHECK_FALSE(observer.observe(packet(1100, 6200, 100), now + 2s).hasResponse);
}

// The caller counts its opening packets, so an instance that did not see the first transmission
// recognises the retransmission.
TEST(FlowObserver, retransmittedOpeningIsRecognisedByItsCount)
{
    const auto observation = observer.observe(opening(1), now);
    CHECK(observation.isRetransmission);
    CHECK(observation.upstream == FlowToken());
}

// The upstream that did not answer the first transmission is known, so that another one can be
// chosen.
TEST(FlowObserver, retransmittedOpeningReportsTheFirstUpstream)
{
    observer.observe(opening(0), now);
    observer.recordOpening(opening(0), FlowToken(5), now);
    const auto observation = observer.observe(opening(1), now + 200ms);
    CHECK(observation.isRetransmission);
    CHECK(observation.upstream == FlowToken(5));
}

// The caller sends this packet only after the upstream has replied to the opening packet.
TEST(FlowObserver, firstPacketAfterTheOpeningIsAResponse)
{
    observer.recordOpening(opening(0), token, now);
    CHECK(observer.observe(packet(1000, 5000, 0), now + 6ms).hasResponse);
}

// The fabric moves flows to another instance whenever an instance joins or leaves.
TEST(FlowObserver, flowOfAnotherInstanceStartsWithoutObservations)
{
    const auto observation = observer.observe(packet(1000, 5000, 100), now);
    CHECK_FALSE(observation.isRetransmission);
    CHECK_FALSE(observation.hasResponse);
    CHECK(observation.upstream == token);
}

// The table has a fixed size: new flows overwrite old ones, which are then tracked anew.
TEST(FlowObserver, oldFlowsAreOverwrittenWhenTheTableIsFull)
{
    for (std::uint16_t port = 1; port < 10'000; ++port) {
        auto other = packet(1000, 5000, 100);
        other.caller.port = port;
        observer.observe(other, now);
    }
    CHECK_FALSE(observer.observe(packet(1000, 5000, 100), now + 1s).hasResponse);
}

// A request reaches its upstream and gets no response. The caller does not retransmit it, so only
// the elapsed time shows the fault.
TEST(FlowObserver, waitingFlowIsVisitedOncePerRequest)
{
    int visits = 0;
    const auto visit = [&](common::TimePoint at) {
        observer.visitWaiting(at - 300ms,
                              [&](FlowToken upstream, std::uint64_t, common::TimePoint since) {
                                  CHECK(upstream == token);
                                  CHECK(since == now);
                                  ++visits;
                                  return true;
                              });
    };
    observer.observe(packet(1000, 5000, 100), now);
    visit(now + 200ms);
    LONGS_EQUAL(0, visits);
    visit(now + 400ms);
    visit(now + 500ms);
    LONGS_EQUAL(1, visits);
    observer.observe(packet(1100, 6200, 0), now + 600ms);
    visit(now + 1s);
    LONGS_EQUAL(1, visits);
}

TEST(FlowObserver, requestBeginsWithNewDataAndEndsWithItsAnswer)
{
    observer.observe(packet(1000, 5000, 0), now);
    const auto begin = observer.observe(packet(1000, 5000, 300), now);
    CHECK(begin.beginsRequest);
    CHECK_FALSE(begin.endsRequest);
    CHECK_FALSE(observer.observe(packet(1300, 5000, 300), now + 1ms).beginsRequest);
    const auto end = observer.observe(packet(1600, 6200, 0), now + 46ms);
    CHECK(end.endsRequest);
    CHECK(end.answerTime() == 46ms);
    LONGS_EQUAL(begin.flow, end.flow);
    LONGS_EQUAL(begin.sizeClass, end.sizeClass);
    CHECK_FALSE(observer.observe(packet(1600, 7400, 0), now + 50ms).endsRequest);
}

// Large requests must not be taken for slow upstreams.
TEST(FlowObserver, sizeClassTellsRequestsApart)
{
    observer.observe(packet(1000, 5000, 0), now);
    const auto small = observer.observe(packet(1000, 5000, 60), now);
    observer.observe(packet(1060, 6000, 0), now + 10ms);
    const auto large = observer.observe(packet(1060, 6000, 1200), now + 20ms);
    CHECK(small.sizeClass != large.sizeClass);
}

// The time of a retransmitted request holds the caller's wait of 200 ms.
TEST(FlowObserver, retransmittedRequestGivesNoAnswerTime)
{
    observer.observe(packet(1000, 5000, 0), now);
    observer.observe(packet(1000, 5000, 100), now);
    observer.observe(packet(1000, 5000, 100), now + 200ms);
    const auto end = observer.observe(packet(1100, 6200, 0), now + 246ms);
    CHECK(end.endsRequest);
    CHECK_FALSE(end.answerTime().has_value());
}

// A caller that was paused in the middle of its request says nothing about the upstream.
TEST(FlowObserver, pausedCallerGivesNoAnswerTime)
{
    observer.observe(packet(1000, 5000, 0), now);
    observer.observe(packet(1000, 5000, 1200), now);
    observer.observe(packet(2200, 5000, 100), now + 400ms);
    const auto end = observer.observe(packet(2300, 6200, 0), now + 446ms);
    CHECK(end.endsRequest);
    CHECK_FALSE(end.answerTime().has_value());
}

// The fabric moves a flow here: its first packet may be a retransmission.
TEST(FlowObserver, firstRequestOfAnUnknownFlowGivesNoAnswerTime)
{
    CHECK(observer.observe(packet(1000, 5000, 100), now).beginsRequest);
    CHECK_FALSE(observer.observe(packet(1100, 6200, 0), now + 46ms).answerTime().has_value());
    observer.observe(packet(1100, 6200, 100), now + 100ms);
    CHECK(observer.observe(packet(1200, 7200, 0), now + 130ms).answerTime() == 30ms);
}

// The next request of a flow may carry the acknowledgement of the answer before.
TEST(FlowObserver, requestThatAcknowledgesAnAnswerEndsOneAndBeginsOne)
{
    observer.observe(packet(1000, 5000, 0), now);
    observer.observe(packet(1000, 5000, 100), now);
    const auto next = observer.observe(packet(1100, 6200, 100), now + 900ms);
    CHECK(next.endsRequest);
    CHECK(next.beginsRequest);
    CHECK_FALSE(next.answerTime().has_value());
}

TEST(FlowObserver, endOfAFlowEndsItsRequest)
{
    observer.observe(packet(1000, 5000, 0), now);
    observer.observe(packet(1000, 5000, 100), now);
    auto reset = packet(1100, 5000, 0);
    reset.resets = true;
    CHECK(observer.observe(reset, now + 900ms).endsRequest);
}

// The delay to the upstream's zone must not be taken for work.
TEST(FlowObserver, handshakeTimeIsThatOfAnOpeningSentOnce)
{
    observer.observe(opening(0), now);
    observer.recordOpening(opening(0), token, now);
    CHECK(observer.observe(packet(1001, 5000, 0), now + 12ms).handshakeTime == 12ms);
    CHECK_FALSE(observer.observe(packet(1001, 6000, 0), now + 40ms).handshakeTime > 0ms);
}

TEST(FlowObserver, retransmittedOpeningGivesNoHandshakeTime)
{
    observer.observe(opening(0), now);
    observer.recordOpening(opening(0), token, now);
    observer.observe(opening(1), now + 200ms);
    observer.recordOpening(opening(1), token, now + 200ms);
    CHECK_FALSE(observer.observe(packet(1001, 5000, 0), now + 212ms).handshakeTime > 0ms);
}
