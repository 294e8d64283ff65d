#include "tools/upstreammodel.h"

#include "common/hash.h"
#include "tools/workload.h"

#include <CppUTest/TestHarness.h>

using namespace banyanwall;
using namespace std::chrono_literals;
using common::Incarnation;
using tools::UpstreamModel;
using wire::proto::UpstreamMessage;

namespace {

const common::Endpoint Instance { 0x7f000001, 4000 };
constexpr std::int64_t StartMs = 1'000'000;

/// Clock reading this long after the start of the test.
tools::ClockReading after(std::chrono::milliseconds elapsed)
{
    return { common::TimePoint(1h + elapsed), common::WallTime(StartMs * 1ms + elapsed) };
}

tools::UpstreamSettings upstreamSettings()
{
    tools::UpstreamSettings settings;
    settings.name = "caruaru/bancada/b01";
    settings.service = "caruaru/bancada";
    return settings;
}

UpstreamMessage toService(const std::string &service)
{
    UpstreamMessage message;
    message.set_service(common::idFromName<common::ServiceId>(service).value());
    message.set_flow_key(77);
    return message;
}

UpstreamMessage dispatchOf(std::uint64_t requestId, std::uint32_t attempt = 1)
{
    auto message = toService("caruaru/bancada");
    message.mutable_dispatch()->set_request_id(requestId);
    message.mutable_dispatch()->set_attempt(attempt);
    message.mutable_dispatch()->set_deadline_unix_ms(StartMs + 60'000);
    message.mutable_dispatch()->set_payload(tools::encodeRequest({ "caruaru/bancada", 3000 }));
    return message;
}

} // namespace

TEST_GROUP(UpstreamModel)
{
    tools::RunLedger ledger;
    UpstreamModel model { upstreamSettings(), Incarnation(5), ledger, 1 };

    std::vector<UpstreamModel::Outgoing> deliver(const UpstreamMessage &message,
                                                 std::chrono::milliseconds at = 0ms)
    {
        return model.onDatagram(wire::encode(message), Instance, after(at));
    }

    void warmUp()
    {
        for (std::uint64_t id = 1000; model.isCold(); ++id) {
            deliver(dispatchOf(id));
            CHECK_FALSE(model.onTick(after(1000ms)).empty());
        }
    }
};

// Guards against the demo not counting a second run of a non-repeatable request. A second dispatch
// by the balancer causes such a run; repeatable requests may run several times.
TEST(UpstreamModel, countsSecondRunOfNonRepeatableRequest)
{
    warmUp();
    deliver(dispatchOf(1));
    auto repeatable = dispatchOf(2);
    repeatable.mutable_dispatch()->set_repeatable(true);
    deliver(repeatable);
    CHECK_FALSE(model.onTick(after(1000ms)).empty());
    deliver(repeatable);
    LONGS_EQUAL(0, ledger.duplicateRuns());
    deliver(dispatchOf(1, 2));
    LONGS_EQUAL(1, ledger.duplicateRuns());
}

// Guards against the demo not counting a misdirected packet. Either the header names another
// service, or the header is right and the payload belongs to another service.
TEST(UpstreamModel, countsPacketsForAnotherServiceByHeaderAndByPayload)
{
    auto byHeader = toService("caruaru/certidao");
    byHeader.mutable_open();
    LONGS_EQUAL(wire::proto::RESET_WRONG_SERVICE, deliver(byHeader)[0].message.reset().reason());
    auto byPayload = dispatchOf(1);
    byPayload.mutable_dispatch()->set_payload(tools::encodeRequest({ "caruaru/certidao", 10 }));
    LONGS_EQUAL(wire::proto::DISPATCH_REFUSAL_WRONG_SERVICE,
                deliver(byPayload)[0].message.refusal().reason());
    LONGS_EQUAL(2, model.counters().wrongService);
    LONGS_EQUAL(0, ledger.runsOf(1));
}

// Guards against the demo not counting overload: more than one concurrent request on an upstream
// that has just started, or more concurrent requests than slots.
TEST(UpstreamModel, countsColdOverloadAndSlotsOverLimit)
{
    deliver(dispatchOf(1));
    LONGS_EQUAL(0, model.counters().coldOverload);
    deliver(dispatchOf(2));
    deliver(dispatchOf(3));
    LONGS_EQUAL(2, model.counters().coldOverload);
    LONGS_EQUAL(0, model.counters().slotsOverLimit);
    const auto refused = deliver(dispatchOf(4));
    LONGS_EQUAL(wire::proto::DISPATCH_REFUSAL_SHED, refused[0].message.refusal().reason());
    LONGS_EQUAL(1, model.counters().slotsOverLimit);
}

// Guards against an upstream stand-in that turns warm without answering requests, or never turns
// warm. A cold upstream answers after 200 ms, a warm one after 20 ms.
TEST(UpstreamModel, answersSlowlyUntilWarm)
{
    deliver(dispatchOf(1));
    CHECK_TRUE(model.onTick(after(199ms)).empty());
    CHECK_FALSE(model.onTick(after(200ms)).empty());
    warmUp();
    deliver(dispatchOf(2));
    CHECK_FALSE(model.onTick(after(20ms)).empty());
}

// Guards against a request that starts after its deadline. Fencing relies on upstreams refusing
// such a dispatch: otherwise a delayed dispatch could run a non-repeatable request a second time.
TEST(UpstreamModel, refusesDispatchAfterDeadline)
{
    const auto answer = deliver(dispatchOf(1), 60'001ms);
    LONGS_EQUAL(wire::proto::DISPATCH_REFUSAL_DEADLINE, answer[0].message.refusal().reason());
    LONGS_EQUAL(0, ledger.runsOf(1));
}

// Guards against flows that survive a restart of the upstream: packets with the former incarnation
// and packets of flows that were open before the restart are answered with a reset.
TEST(UpstreamModel, resetsFlowsOfFormerIncarnationAfterRestart)
{
    auto open = toService("caruaru/bancada");
    open.set_incarnation(5);
    open.mutable_open();
    CHECK_TRUE(deliver(open)[0].message.has_opened());
    model.restart(Incarnation(6));
    LONGS_EQUAL(wire::proto::RESET_WRONG_INCARNATION, deliver(open)[0].message.reset().reason());
    auto data = toService("caruaru/bancada");
    data.mutable_data()->set_payload("caruaru/bancada|1");
    LONGS_EQUAL(wire::proto::RESET_UNKNOWN_FLOW, deliver(data)[0].message.reset().reason());
}

// Guards against a cancelled request that keeps its slot and still gets an answer.
TEST(UpstreamModel, cancellationFreesSlot)
{
    deliver(dispatchOf(1));
    auto cancel = toService("caruaru/bancada");
    cancel.mutable_cancel()->set_request_id(1);
    cancel.mutable_cancel()->set_attempt(1);
    deliver(cancel);
    LONGS_EQUAL(0, model.busySlots());
    CHECK_TRUE(model.onTick(after(1000ms)).empty());
}

// Guards against the demo not counting new work that an upstream gets after it began to drain. The
// demo sums the requests of the timeline from a given time on.
TEST(UpstreamModel, timelineCountsRequestsFromGivenTime)
{
    using Event = tools::UpstreamCounters::Event;
    deliver(dispatchOf(1));
    deliver(dispatchOf(2), 5000ms);
    LONGS_EQUAL(2, model.counters().countedSince(Event::Request, after(0ms).wall));
    LONGS_EQUAL(1, model.counters().countedSince(Event::Request, after(4900ms).wall));
    LONGS_EQUAL(0, model.counters().countedSince(Event::Request, after(5100ms).wall));
}
