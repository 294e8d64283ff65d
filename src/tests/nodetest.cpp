#include "common/hash.h"
#include "process/packethandler.h"
#include "process/requestplacement.h"
#include "process/upstreamconditions.h"

#include <CppUTest/TestHarness.h>

using namespace banyanwall;
using namespace std::chrono_literals;
using common::InstanceId;
using common::Reason;
using common::TimePoint;
using common::UpstreamId;
using process::RequestPlacement;
using wire::proto::CallerMessage;
using wire::proto::RequestRelay;
using wire::proto::UpstreamMessage;

namespace {

const common::Endpoint ServiceAddress { 0x7f000001, 8000 };
const common::Endpoint UpstreamAddress { 0x7f000001, 8100 };
const common::ServiceId Service(5);
const UpstreamId Upstream(50);
constexpr std::uint64_t FlowId = 4711;

struct FakeSinks : process::DatagramSink, process::PeerSink, process::ControlSink
{
    void toUpstream(common::Endpoint upstream, std::string bytes) override
    {
        CHECK_TRUE(upstream == UpstreamAddress);
        upstreamMessages.push_back(std::get<UpstreamMessage>(wire::decodeUpstreamMessage(bytes)));
    }

    void toFabric(std::string bytes) override
    {
        const auto frame = std::get<wire::proto::FabricFrame>(wire::decodeFabricFrame(bytes));
        replies.push_back(std::get<CallerMessage>(wire::decodeCallerMessage(frame.payload())));
    }

    void toPeer(InstanceId, const wire::proto::PeerMessage &) override { ++peerMessages; }

    void toAddress(common::Endpoint, const wire::proto::PeerMessage &) override { }

    void onCallerRequest(RequestRelay) override { ++requests; }

    void onDispatchResult(UpstreamMessage) override { ++results; }

    void onHealthReport(UpstreamId, wire::proto::HealthReport) override { }

    void onIncarnationRejected(UpstreamId upstream, common::Incarnation incarnation) override
    {
        rejected.emplace_back(upstream, incarnation);
    }

    std::vector<UpstreamMessage> upstreamMessages;
    std::vector<CallerMessage> replies;
    std::vector<std::pair<UpstreamId, common::Incarnation>> rejected;
    int peerMessages = 0;
    int requests = 0;
    int results = 0;
};

version::ServiceRoster roster(version::UpstreamState state)
{
    version::ServiceRoster roster;
    roster.service = Service;
    roster.customer = common::CustomerId(1);
    roster.address = ServiceAddress;
    roster.version = common::RosterVersion(state == version::UpstreamState::Active ? 1 : 2);
    roster.upstreams = { { Upstream, common::ZoneId(1), UpstreamAddress, state, 100 } };
    roster.slotsPerUpstream = 3;
    roster.connectionsPerUpstream = 100;
    return roster;
}

} // namespace

TEST_GROUP(Node)
{
    TimePoint now { 100s };
    FakeSinks sinks;
    process::Metrics metrics;
    process::ServiceDirectory directory;
    connection::FlowRouter router { InstanceId(1), common::ZoneId(1) };
    process::FlowWatch watch;
    process::PacketHandler packets { { directory, router, watch, sinks, sinks, sinks, metrics } };
    process::UpstreamConditions conditions { { directory, router, watch, packets } };

    void setup() override
    {
        const std::vector<connection::Member> members { { InstanceId(1), common::ZoneId(1) } };
        router.setMembers(std::make_shared<connection::OwnerSelector>(members), now);
        apply(version::UpstreamState::Active);
        packets.setFreshUntil(TimePoint::max());
    }

    void apply(version::UpstreamState state)
    {
        directory.applyRosters(common::CustomerId(1), { roster(state) });
        router.applyRoster(roster(state), now);
        router.setInForce(Service, roster(state).version);
    }

    static std::string datagram(CallerMessage message)
    {
        message.set_flow_id(FlowId);
        wire::proto::FabricFrame frame;
        frame.set_caller_address(1);
        frame.set_caller_port(2);
        frame.set_service_address(ServiceAddress.address);
        frame.set_service_port(ServiceAddress.port);
        frame.set_payload(wire::encode(std::move(message)));
        return wire::encode(std::move(frame));
    }

    static std::string data()
    {
        CallerMessage message;
        message.mutable_data()->set_sequence(9);
        return datagram(std::move(message));
    }

    void answer(const std::function<void(UpstreamMessage &)> &fill)
    {
        UpstreamMessage message = sinks.upstreamMessages.back();
        fill(message);
        packets.onUpstreamDatagram(wire::encode(std::move(message)), UpstreamAddress, now);
    }
};

// Guards against an answer that loses the caller's flow, which the return token alone carries.
TEST(Node, answerFindsTheFlowWithoutState)
{
    packets.onFabricDatagram(data(), now);
    LONGS_EQUAL(1, sinks.upstreamMessages.size());
    LONGS_EQUAL(Service.value(), sinks.upstreamMessages.back().service());
    answer([](UpstreamMessage &message) { message.mutable_feed()->set_sequence(9); });
    LONGS_EQUAL(1, sinks.replies.size());
    LONGS_EQUAL(FlowId, sinks.replies.back().flow_id());
    LONGS_EQUAL(9, sinks.replies.back().feed().sequence());
}

// Guards against a crash on, or an answer to, datagrams that no caller or upstream sends.
TEST(Node, unusableDatagramsAreCountedAndDropped)
{
    const auto whole = data();
    for (std::size_t length = 0; length < whole.size(); ++length) {
        packets.onFabricDatagram(whole.substr(0, length), now);
        packets.onUpstreamDatagram(whole.substr(0, length), UpstreamAddress, now);
    }
    packets.onFabricDatagram(std::string(wire::MaxDatagramBytes + 1, 'x'), now);
    LONGS_EQUAL(1, metrics.refusals(Reason::OversizedPacket));
    CHECK_TRUE(metrics.refusals(Reason::MalformedPacket) > 0);
    LONGS_EQUAL(0, sinks.upstreamMessages.size());
    packets.onUpstreamDatagram(whole, { 1, 1 }, now);
    LONGS_EQUAL(0, sinks.replies.size());
}

// Guards against a restarted instance that resets flows of services it has not learned of yet.
TEST(Node, unknownServiceIsResetOnlyAfterJoining)
{
    wire::proto::FabricFrame frame;
    CHECK_TRUE(frame.ParseFromString(data()));
    frame.set_service_port(ServiceAddress.port + 1);
    const auto unknown = wire::encode(wire::proto::FabricFrame(frame));
    packets.setFreshUntil(TimePoint {});
    packets.onFabricDatagram(unknown, now);
    LONGS_EQUAL(0, sinks.replies.size());
    packets.setFreshUntil(TimePoint::max());
    packets.onFabricDatagram(unknown, now);
    LONGS_EQUAL(1, sinks.replies.size());
    CHECK_TRUE(sinks.replies.back().has_reset());
}

// Guards against packets of a former life of an upstream reaching its successor (P2).
TEST(Node, forwardedPacketsNameTheIncarnation)
{
    conditions.onIncarnation(Upstream, common::Incarnation(7));
    packets.onFabricDatagram(data(), now);
    LONGS_EQUAL(7, sinks.upstreamMessages.back().incarnation());
    answer([](UpstreamMessage &message) {
        message.set_incarnation(8);
        message.mutable_reset()->set_reason(wire::proto::RESET_WRONG_INCARNATION);
    });
    STRCMP_EQUAL("wrong_incarnation", sinks.replies.back().reset().reason().c_str());
    CHECK_TRUE(sinks.rejected.back() == std::pair(Upstream, common::Incarnation(8)));
}

// Guards against callers that wait for an upstream that is lost or out of service.
TEST(Node, flowsOfLostAndWithdrawnUpstreamsAreClosedAtOnce)
{
    packets.onFabricDatagram(data(), now);
    wire::proto::UpstreamState lost;
    lost.set_upstream(Upstream.value());
    lost.set_lost(true);
    conditions.onState(lost);
    LONGS_EQUAL(1, sinks.replies.size());
    STRCMP_EQUAL("upstream_lost", sinks.replies.back().reset().reason().c_str());

    apply(version::UpstreamState::Withdrawn);
    packets.onFabricDatagram(data(), now);
    LONGS_EQUAL(1, sinks.upstreamMessages.size());
    CHECK_TRUE(sinks.replies.back().has_reset());
}

// Guards against silent connections that are never closed, and against closing too early.
TEST(Node, silentFlowIsClosedAfterThreePacketsOverTenSeconds)
{
    for (int packet = 0; packet < 3; ++packet) {
        packets.onFabricDatagram(data(), now + packet * 4s);
    }
    conditions.closeSilent(now + 9s);
    LONGS_EQUAL(0, sinks.replies.size());
    conditions.closeSilent(now + 10s);
    STRCMP_EQUAL("upstream_silent", sinks.replies.back().reset().reason().c_str());
}

TEST_GROUP(RequestPlacement)
{
    RequestPlacement former { InstanceId(1) };
    RequestPlacement successor { InstanceId(2) };
    common::WallTime wall { 1'000'000ms };
    common::RequestKey key;

    void setup() override
    {
        const auto both = view({ 1, 2 });
        std::uint64_t candidate = 1;
        while (both->coordinator(common::RequestKey(candidate)) != InstanceId(2)) {
            ++candidate;
        }
        key = common::RequestKey(candidate);
        former.setMembers(view({ 1 }), wall);
        successor.setMembers(view({ 1 }), wall);
    }

    static std::shared_ptr<const connection::OwnerSelector> view(
            const std::vector<std::uint32_t> &ids)
    {
        std::vector<connection::Member> members;
        members.reserve(ids.size());
        for (const auto id : ids) {
            members.push_back({ InstanceId(id), common::ZoneId(1) });
        }
        return std::make_shared<connection::OwnerSelector>(members);
    }

    RequestPlacement::Question question(RequestRelay::Handover handover = RequestRelay::NONE,
                                        std::uint32_t sender = 0) const
    {
        RequestPlacement::Question question;
        question.key = key;
        question.issued = wall;
        question.deadline = wall + 10s;
        question.handover = handover;
        question.sender = sender == 0 ? std::nullopt : std::optional(InstanceId(sender));
        return question;
    }
};

// Guards against a second dispatch when a request comes again after its coordinator changed (P7).
TEST(RequestPlacement, requestKnownToTheFormerCoordinatorStaysThere)
{
    CHECK_TRUE(std::holds_alternative<RequestPlacement::Here>(former.place(question())));
    successor.setMembers(view({ 1, 2 }), wall);
    const auto decision = successor.place(question());
    const auto *relay = std::get_if<RequestPlacement::Relay>(&decision);
    CHECK_TRUE(relay != nullptr && relay->peer == InstanceId(1));
    CHECK_TRUE(relay->handover == RequestRelay::ASK_FORMER);
    CHECK_TRUE(std::holds_alternative<RequestPlacement::Here>(
            former.place(question(RequestRelay::ASK_FORMER, 2))));
}

// Guards against both the former and the new coordinator dispatching one request.
TEST(RequestPlacement, cededRequestIsNeverDispatchedByTheFormerCoordinator)
{
    successor.setMembers(view({ 1, 2 }), wall);
    const auto ceded = former.place(question(RequestRelay::ASK_FORMER, 2));
    CHECK_TRUE(std::get<RequestPlacement::Relay>(ceded).handover == RequestRelay::CEDED);
    CHECK_TRUE(std::holds_alternative<RequestPlacement::Nowhere>(former.place(question())));
    auto answered = question(RequestRelay::CEDED, 1);
    answered.asked = { InstanceId(1) };
    CHECK_TRUE(std::holds_alternative<RequestPlacement::Here>(successor.place(answered)));
    former.setMembers(view({ 1, 2 }), wall);
    CHECK_TRUE(std::get<RequestPlacement::Relay>(former.place(question())).peer == InstanceId(2));
}

// Guards against two coordinators of one request while the views of the members differ, as after a
// common start: the instance with the other view must not dispatch (P7).
TEST(RequestPlacement, unconfirmedViewPlacesNoNonRepeatableRequestHere)
{
    former.setViewConfirmed(false);
    CHECK_TRUE(std::holds_alternative<RequestPlacement::Nowhere>(former.place(question())));
    auto repeatable = question();
    repeatable.isRepeatable = true;
    repeatable.key = common::RequestKey(key.value() + 1);
    CHECK_TRUE(std::holds_alternative<RequestPlacement::Here>(former.place(repeatable)));
    former.setViewConfirmed(true);
    CHECK_TRUE(std::holds_alternative<RequestPlacement::Here>(former.place(question())));
    former.setViewConfirmed(false);
    CHECK_TRUE(std::holds_alternative<RequestPlacement::Here>(former.place(question())));
}

// Guards against asking former coordinators for ever.
TEST(RequestPlacement, requestsIssuedLongAfterTheChangeNeedNoQuestion)
{
    successor.setMembers(view({ 1, 2 }), wall);
    auto later = question();
    later.issued = wall + RequestPlacement::SpreadTime + 1ms;
    CHECK_TRUE(std::holds_alternative<RequestPlacement::Here>(successor.place(later)));
}
