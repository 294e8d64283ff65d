#include "common/hash.h"
#include "process/packethandler.h"
#include "process/requestplacement.h"
#include "process/upstreamstatehandler.h"

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
    process::UnansweredFlowTable unansweredFlows;
    process::PacketHandler packets { { directory, router, unansweredFlows, sinks, sinks, sinks,
                                       metrics } };
    process::UpstreamStateHandler upstreamStates { { directory, router, unansweredFlows,
                                                     packets } };

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

// Only the return token, which the upstream echoes, holds the caller's flow id; the instance keeps
// no state for the answer. The test guards against an answer that is sent to the fabric without the
// flow id.
TEST(Node, answerReachesTheCallerByItsReturnToken)
{
    packets.onFabricDatagram(data(), now);
    LONGS_EQUAL(1, sinks.upstreamMessages.size());
    LONGS_EQUAL(Service.value(), sinks.upstreamMessages.back().service());
    answer([](UpstreamMessage &message) { message.mutable_feed()->set_sequence(9); });
    LONGS_EQUAL(1, sinks.replies.size());
    LONGS_EQUAL(FlowId, sinks.replies.back().flow_id());
    LONGS_EQUAL(9, sinks.replies.back().feed().sequence());
}

// Truncated and oversized datagrams, and datagrams from an address that is no upstream's, arrive by
// faults of the network or from other senders. The test guards against a crash and against sending
// anything in response.
TEST(Node, malformedDatagramsAreCountedAndDropped)
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

// A restarted instance does not know all services until it has joined. The test guards against
// resets of flows whose service is only unknown to this instance.
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

// After an upstream restarts, packets of older flows could reach the new process, which has no
// state of these flows. Forwarded packets carry the incarnation, so that the upstream can reject
// them; the caller then gets a reset, and the instance learns the new incarnation.
TEST(Node, forwardedPacketsCarryTheIncarnation)
{
    upstreamStates.onIncarnation(Upstream, common::Incarnation(7));
    packets.onFabricDatagram(data(), now);
    LONGS_EQUAL(7, sinks.upstreamMessages.back().incarnation());
    answer([](UpstreamMessage &message) {
        message.set_incarnation(8);
        message.mutable_reset()->set_reason(wire::proto::RESET_WRONG_INCARNATION);
    });
    STRCMP_EQUAL("wrong_incarnation", sinks.replies.back().reset().reason().c_str());
    CHECK_TRUE(sinks.rejected.back() == std::pair(Upstream, common::Incarnation(8)));
}

// A caller without a reset would retransmit until its own timeout when the upstream of its flow is
// lost, or when the zone of the upstream is withdrawn. The test guards against a missing reset, and
// against packets that are forwarded to a withdrawn upstream.
TEST(Node, flowsOfLostAndWithdrawnUpstreamsAreResetAtOnce)
{
    packets.onFabricDatagram(data(), now);
    wire::proto::UpstreamState lost;
    lost.set_upstream(Upstream.value());
    lost.set_lost(true);
    upstreamStates.onState(lost);
    LONGS_EQUAL(1, sinks.replies.size());
    STRCMP_EQUAL("upstream_lost", sinks.replies.back().reset().reason().c_str());

    apply(version::UpstreamState::Withdrawn);
    packets.onFabricDatagram(data(), now);
    LONGS_EQUAL(1, sinks.upstreamMessages.size());
    CHECK_TRUE(sinks.replies.back().has_reset());
}

// An upstream may answer probes but not the packets of a flow. The test guards against flows that
// are never reset then, and against a reset before 10 s, as the answer may only be slow.
TEST(Node, unansweredFlowIsResetAfterThreePacketsOverTenSeconds)
{
    for (int packet = 0; packet < 3; ++packet) {
        packets.onFabricDatagram(data(), now + packet * 4s);
    }
    upstreamStates.resetUnresponsiveFlows(now + 9s);
    LONGS_EQUAL(0, sinks.replies.size());
    upstreamStates.resetUnresponsiveFlows(now + 10s);
    STRCMP_EQUAL("upstream_silent", sinks.replies.back().reset().reason().c_str());
}

TEST_GROUP(RequestPlacement)
{
    RequestPlacement former { InstanceId(1) };
    RequestPlacement successor { InstanceId(2) };
    common::WallTime wall { 1'000'000ms };
    common::RequestKey key;

    /// Chooses a key whose coordinator changes from instance 1 to instance 2 when 2 joins.
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

    RequestPlacement::Query query(RequestRelay::Handover handover = RequestRelay::NONE,
                                  std::uint32_t sender = 0) const
    {
        RequestPlacement::Query query;
        query.key = key;
        query.issued = wall;
        query.deadline = wall + 10s;
        query.handover = handover;
        query.sender = sender == 0 ? std::nullopt : std::optional(InstanceId(sender));
        return query;
    }
};

// The caller retransmits a request after another instance became its coordinator. The test guards
// against a second dispatch by the new coordinator while the former one handles the request.
TEST(RequestPlacement, requestKnownToTheFormerCoordinatorStaysThere)
{
    CHECK_TRUE(std::holds_alternative<RequestPlacement::HandleLocally>(former.place(query())));
    successor.setMembers(view({ 1, 2 }), wall);
    const auto decision = successor.place(query());
    const auto *relay = std::get_if<RequestPlacement::Relay>(&decision);
    CHECK_TRUE(relay != nullptr && relay->peer == InstanceId(1));
    CHECK_TRUE(relay->handover == RequestRelay::ASK_FORMER);
    CHECK_TRUE(std::holds_alternative<RequestPlacement::HandleLocally>(
            former.place(query(RequestRelay::ASK_FORMER, 2))));
}

// The former coordinator cedes a request that it does not know. When a delayed transmission of the
// request reaches it afterwards, it must not dispatch the request, because the new coordinator
// does.
TEST(RequestPlacement, cededRequestIsNeverDispatchedByTheFormerCoordinator)
{
    successor.setMembers(view({ 1, 2 }), wall);
    const auto ceded = former.place(query(RequestRelay::ASK_FORMER, 2));
    CHECK_TRUE(std::get<RequestPlacement::Relay>(ceded).handover == RequestRelay::CEDED);
    CHECK_TRUE(std::holds_alternative<RequestPlacement::Drop>(former.place(query())));
    auto cededQuery = query(RequestRelay::CEDED, 1);
    cededQuery.cededBy = { InstanceId(1) };
    CHECK_TRUE(
            std::holds_alternative<RequestPlacement::HandleLocally>(successor.place(cededQuery)));
    former.setMembers(view({ 1, 2 }), wall);
    CHECK_TRUE(std::get<RequestPlacement::Relay>(former.place(query())).peer == InstanceId(2));
}

// While the views of the members differ, as after a simultaneous start, two instances may consider
// themselves the coordinator of one request. The test guards against a non-repeatable request that
// is dispatched twice: an instance whose neighbours have another view takes no new one.
TEST(RequestPlacement, unconfirmedViewDropsNewNonRepeatableRequests)
{
    former.setViewConfirmed(false);
    CHECK_TRUE(std::holds_alternative<RequestPlacement::Drop>(former.place(query())));
    auto repeatable = query();
    repeatable.isRepeatable = true;
    repeatable.key = common::RequestKey(key.value() + 1);
    CHECK_TRUE(std::holds_alternative<RequestPlacement::HandleLocally>(former.place(repeatable)));
    former.setViewConfirmed(true);
    CHECK_TRUE(std::holds_alternative<RequestPlacement::HandleLocally>(former.place(query())));
    former.setViewConfirmed(false);
    CHECK_TRUE(std::holds_alternative<RequestPlacement::HandleLocally>(former.place(query())));
}

// A request that was issued after all instances knew the new members cannot have reached the former
// coordinator. The test guards against relaying such requests to the former coordinator first,
// which would delay them without need.
TEST(RequestPlacement, requestsIssuedLongAfterTheChangeSkipTheFormerCoordinator)
{
    successor.setMembers(view({ 1, 2 }), wall);
    auto later = query();
    later.issued = wall + RequestPlacement::ViewDisseminationTime + 1ms;
    CHECK_TRUE(std::holds_alternative<RequestPlacement::HandleLocally>(successor.place(later)));
}
