#include "tools/feedset.h"
#include "tools/requestset.h"

#include "common/hash.h"
#include "tools/workload.h"

#include <CppUTest/TestHarness.h>

using namespace banyanwall;
using namespace std::chrono_literals;
using wire::proto::CallerMessage;

namespace {

const std::string Service = "caruaru/bancada";
const std::string Upstream = "caruaru/bancada/b01";

/// Clock reading this long after the start of the test.
tools::ClockReading after(std::chrono::milliseconds elapsed)
{
    return { common::TimePoint(1h + elapsed), common::WallTime(1'000'000ms + elapsed) };
}

/// Messages that carry an answer of 600 bytes in two pieces.
std::vector<CallerMessage> inTwoPieces(std::uint64_t requestId, const std::string &answer)
{
    std::vector<CallerMessage> pieces(2);
    for (std::uint32_t index = 0; index < 2; ++index) {
        auto *piece = pieces[index].mutable_answer();
        piece->set_request_id(requestId);
        piece->set_attempt(1);
        piece->set_index(index);
        piece->set_count(2);
        piece->set_checksum(common::hashBytes(answer));
        piece->set_payload(answer.substr(std::size_t { index } * 300, 300));
    }
    return pieces;
}

} // namespace

TEST_GROUP(FeedSet)
{
    tools::FeedSet feeds { { Service, 1, 500ms, 0ms, 4 }, 3 };

    std::vector<CallerMessage> tick(std::chrono::milliseconds at)
    {
        return feeds.onTick(after(at).now, after(at).wall);
    }

    void answer(CallerMessage message, std::uint64_t flow, std::chrono::milliseconds at)
    {
        message.set_flow_id(flow);
        feeds.onMessage(message, after(at).now, after(at).wall);
    }

    std::uint64_t openFeed()
    {
        tick(0ms);
        const auto flow = tick(500ms).at(0).flow_id();
        CallerMessage opened;
        opened.mutable_opened()->set_upstream(
                common::idFromName<common::UpstreamId>(Upstream).value());
        answer(opened, flow, 500ms);
        return flow;
    }

    void echo(const CallerMessage &data, const std::string &upstream, std::chrono::milliseconds at)
    {
        CallerMessage message;
        message.mutable_feed()->set_sequence(data.data().sequence());
        message.mutable_feed()->set_payload(tools::encodeEcho(upstream, data.data().payload()));
        answer(message, data.flow_id(), at);
    }
};

// Guards against the demo not counting a broken feed. A feed is broken when the upstream stops
// echoing (here after 4 packets in a row without an echo) or when the balancer resets the flow.
TEST(FeedSet, countsUnansweredAndResetFeedsAsBroken)
{
    openFeed();
    for (auto at = 1000ms; at <= 2500ms; at += 500ms) {
        LONGS_EQUAL(1, tick(at).size());
        LONGS_EQUAL(0, feeds.counters().broken);
    }
    tick(3000ms);
    LONGS_EQUAL(1, feeds.counters().broken);

    const auto flow = tick(3500ms).at(0).flow_id();
    CallerMessage message;
    message.mutable_opened()->set_upstream(1);
    answer(message, flow, 3500ms);
    message.mutable_reset()->set_reason("upstream_lost");
    answer(message, flow, 3600ms);
    LONGS_EQUAL(2, feeds.counters().broken);
}

// Guards against the demo accepting an echo of a misdirected packet: from an upstream of another
// service, or from another upstream than the one that opened the feed.
TEST(FeedSet, countsEchoesOfAnotherServiceOrUpstream)
{
    openFeed();
    const auto data = tick(1000ms).at(0);
    echo(data, "caruaru/certidao/c01", 1000ms);
    LONGS_EQUAL(1, feeds.counters().wrongService);
    echo(data, Upstream, 1000ms);
    LONGS_EQUAL(0, feeds.counters().movedEchoes);
    echo(data, "caruaru/bancada/b02", 1000ms);
    LONGS_EQUAL(1, feeds.counters().movedEchoes);
}

TEST_GROUP(RequestSet)
{
    tools::RequestSet requests { { Service, 1 }, 3 };

    std::uint64_t issue()
    {
        return requests.onTick(after(0ms)).at(0).request().request_id();
    }
};

// Guards against the demo accepting the answer of another request, or rejecting a correct answer
// whose pieces arrive out of order and duplicated.
TEST(RequestSet, comparesAssembledAnswerWithExpectedAnswer)
{
    const auto first = issue();
    const auto pieces = inTwoPieces(first, tools::expectedAnswer(Service, first, 600));
    requests.onMessage(pieces[1], after(10ms));
    requests.onMessage(pieces[1], after(10ms));
    LONGS_EQUAL(0, requests.counters().completed);
    requests.onMessage(pieces[0], after(20ms));
    LONGS_EQUAL(1, requests.counters().completed);
    LONGS_EQUAL(0, requests.counters().wrongAnswers);

    const auto second = requests.onTick(after(1000ms)).at(0).request().request_id();
    for (const auto &piece : inTwoPieces(second, tools::expectedAnswer(Service, first, 600))) {
        requests.onMessage(piece, after(1010ms));
    }
    LONGS_EQUAL(1, requests.counters().wrongAnswers);
}

// Guards against the demo not counting a false verdict: the balancer reports "not run", but an
// answer arrives later, so the request did run.
TEST(RequestSet, countsAnswerAfterNotRunAsConflict)
{
    const auto id = issue();
    CallerMessage refusal;
    refusal.mutable_refusal()->set_request_id(id);
    refusal.mutable_refusal()->set_verdict(wire::proto::VERDICT_NOT_RUN);
    requests.onMessage(refusal, after(10ms));
    LONGS_EQUAL(1, requests.counters().notRun);
    requests.onMessage(inTwoPieces(id, tools::expectedAnswer(Service, id, 600))[0], after(20ms));
    LONGS_EQUAL(1, requests.counters().conflictingVerdicts);
}

// Guards against a report that leaves out a request without a verdict. The caller gives up such a
// request 2 s after its deadline of 3 s, and counts its answer as incomplete if a part arrived.
TEST(RequestSet, countsRequestWithPartOfAnAnswerAsIncomplete)
{
    const auto id = issue();
    requests.onMessage(inTwoPieces(id, tools::expectedAnswer(Service, id, 600))[0], after(10ms));
    requests.stop();
    CHECK_TRUE(requests.onTick(after(4999ms)).empty());
    LONGS_EQUAL(0, requests.counters().noVerdict);
    CHECK_TRUE(requests.onTick(after(5000ms)).empty());
    LONGS_EQUAL(1, requests.counters().noVerdict);
    LONGS_EQUAL(1, requests.counters().incompleteAnswers);
    LONGS_EQUAL(0, requests.pending());
}
