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

    FlowPacket opening(std::uint32_t copy) const
    {
        auto syn = packet(1000, copy, 0);
        syn.token = {};
        syn.opens = true;
        syn.acknowledges = false;
        return syn;
    }
};

TEST(FlowObserver, repeatedDataIsSeen)
{
    observer.observe(packet(1000, 5000, 100), now);
    CHECK(observer.observe(packet(1000, 5000, 100), now + 200ms).isRepeated);
}

// Packets of one burst overtake each other; on a quiet day that looked like 400 repeats.
TEST(FlowObserver, reorderedDataIsNoRepeat)
{
    observer.observe(packet(1000, 5000, 0), now);
    observer.observe(packet(2200, 5000, 52), now);
    CHECK_FALSE(observer.observe(packet(1000, 5000, 1200), now + 1ms).isRepeated);
}

TEST(FlowObserver, newDataIsNoRepeat)
{
    observer.observe(packet(1000, 5000, 100), now);
    CHECK_FALSE(observer.observe(packet(1100, 5000, 100), now + 500ms).isRepeated);
}

// Sequence numbers wrap around within long feeds.
TEST(FlowObserver, sequenceNumbersWrapAround)
{
    observer.observe(packet(0xffffffc0, 5000, 32), now);
    CHECK_FALSE(observer.observe(packet(0xffffffe0, 5000, 64), now + 300ms).isRepeated);
    CHECK(observer.observe(packet(0xffffffe0, 5000, 64), now + 600ms).isRepeated);
}

TEST(FlowObserver, answerTimeRunsFromRequestToAcknowledgement)
{
    observer.observe(packet(1000, 5000, 100), now);
    const auto seen = observer.observe(packet(1100, 6200, 0), now + 46ms);
    CHECK(seen.isHeard);
    CHECK(seen.answerTime.has_value());
    LONGS_EQUAL(46'000, seen.answerTime->count());
}

// Zone cut: the request that is lost carries the acknowledgement of the answer before it.
TEST(FlowObserver, acknowledgementWithDataIsNoSignOfLife)
{
    observer.observe(packet(1000, 5000, 100), now);
    CHECK_FALSE(observer.observe(packet(1100, 6200, 100), now + 2s).isHeard);
}

// The caller counts its opening packets, so that another instance recognises a copy.
TEST(FlowObserver, copyOfAnOpeningPacketIsRecognisedWithoutMemory)
{
    const auto seen = observer.observe(opening(1), now);
    CHECK(seen.isRepeated);
    CHECK(seen.upstream == FlowToken());
}

TEST(FlowObserver, copyNamesTheUpstreamOfTheFirst)
{
    observer.observe(opening(0), now);
    observer.noteOpening(opening(0), FlowToken(5), now);
    const auto seen = observer.observe(opening(1), now + 200ms);
    CHECK(seen.isRepeated);
    CHECK(seen.upstream == FlowToken(5));
}

TEST(FlowObserver, firstPacketAfterTheOpeningIsASignOfLife)
{
    observer.noteOpening(opening(0), token, now);
    CHECK(observer.observe(packet(1000, 5000, 0), now + 6ms).isHeard);
}

// Instances hand flows to each other whenever one joins or leaves.
TEST(FlowObserver, flowOfAnotherInstanceIsTakenUpWithoutEvidence)
{
    const auto seen = observer.observe(packet(1000, 5000, 100), now);
    CHECK_FALSE(seen.isRepeated);
    CHECK_FALSE(seen.isHeard);
    CHECK(seen.upstream == token);
}

// Memory is bounded: old flows make room and are observed anew.
TEST(FlowObserver, manyFlowsTakeNoMoreMemory)
{
    for (std::uint16_t port = 1; port < 10'000; ++port) {
        auto other = packet(1000, 5000, 100);
        other.caller.port = port;
        observer.observe(other, now);
    }
    CHECK_FALSE(observer.observe(packet(1000, 5000, 100), now + 1s).isHeard);
}

// A request that arrived and gets no answer: nothing is repeated, only time passes.
TEST(FlowObserver, waitingFlowIsVisitedOnceARequest)
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
