#include "connection/flowforwarder.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

using namespace banyanwall;
using namespace std::chrono_literals;
using common::Reason;
using common::ServiceId;
using common::StoreRevision;
using connection::FlowForwarder;
using connection::FlowPacket;
using connection::ForwardPacket;
using connection::PacketVerdict;
using connection::ResetFlow;

namespace {

const ServiceId Ledger { 1 };
const common::ZoneId Zone { 10 };
const common::Endpoint BoardAddress { 0xc6120001, 443 };
const common::Endpoint TallyAddress { 0xc6120001, 8443 };
const common::Endpoint PlainAddress { 0xc6120001, 9443 };
constexpr double Slots = 20.0;

} // namespace

TEST_GROUP(FlowAdmission)
{
    version::Directory directory;
    common::TimePoint now { 100s };
    std::uint32_t nextCaller = 1;

    FlowForwarder makeForwarder(connection::UpstreamChoice choice =
                                        connection::UpstreamChoice::ByContract)
    {
        FlowForwarder forwarder(
                { .ownZone = Zone, .instance = 1, .choice = choice, .refusesOpenings = true },
                [](common::Duration) {});
        const auto entry = [](const auto &record) {
            return version::DirectoryChange { version::keyOf(record), StoreRevision(1), record };
        };
        const version::RouteTerms board { 1, 400ms, 4s };
        const version::RouteTerms tally { 0, 500ms, 4s };
        const version::RulesRecord rules {
            .version = 1,
            .routes = { { BoardAddress, { { Ledger, 1 } }, true, board },
                        { TallyAddress, { { Ledger, 1 } }, false, tally },
                        { PlainAddress, { { Ledger, 1 } }, true, {} } },
        };
        version::DirectoryDelta delta { {}, StoreRevision(1), true, { entry(rules) } };
        for (std::uint64_t serial = 1; serial <= 10; ++serial) {
            delta.changes.push_back(entry(version::UpstreamRecord {
                    .serial = common::UpstreamSerial(serial),
                    .service = Ledger,
                    .endpoint = { 0x0a000000U + static_cast<std::uint32_t>(serial), 8080 },
                    .zone = Zone,
                    .slots = 2 }));
        }
        directory = {};
        forwarder.update(directory, directory.apply(delta, now), now);
        forwarder.setPosition({ .zone = Zone, .instance = 1, .members = { 1 } }, now);
        forwarder.setConfirmedAt(now);
        return forwarder;
    }

    FlowPacket opening(common::Endpoint service, std::uint32_t copies = 0)
    {
        return { .caller = { 0x64400000U + nextCaller++, 1050 },
                 .service = service,
                 .sequence = 1'000,
                 .acknowledgement = copies,
                 .opens = true };
    }

    /// Opens a flow and sends a request that is answered after the given time. Returns whether the
    /// opening was refused for want of room.
    static bool request(FlowForwarder & forwarder, FlowPacket packet, common::Duration responseTime,
                        common::TimePoint at)
    {
        const auto verdict = forwarder.handle(packet, at);
        if (const auto *reset = std::get_if<ResetFlow>(&verdict)) {
            return reset->reason == Reason::NoRoom;
        }
        packet.token = std::get<ForwardPacket>(verdict).token;
        packet.opens = false;
        packet.acknowledges = true;
        packet.acknowledgement = 5'000;
        packet.payloadBytes = 200;
        forwarder.handle(packet, at);
        packet.payloadBytes = 0;
        packet.sequence += 200;
        packet.acknowledgement += 1'200;
        forwarder.handle(packet, at + responseTime);
        return false;
    }

    /// Two requests of each route every 50 ms, all of them answered late. Returns the refusals of
    /// the last second by route.
    std::vector<int> playOverload(FlowForwarder & forwarder)
    {
        std::vector<int> refusals(3);
        const std::vector routes { BoardAddress, TallyAddress, PlainAddress };
        for (int step = 0; step < 100; ++step, now += 50ms) {
            forwarder.updateAdmission({ { Ledger, 1.5 * Slots } }, {}, now);
            forwarder.setConfirmedAt(now);
            for (int number = 0; number < 6; ++number) {
                const bool isRefused = request(forwarder, opening(routes[number % 3]), 800ms, now);
                refusals[number % 3] += isRefused && step >= 80 ? 1 : 0;
            }
        }
        return refusals;
    }
};

// Load: 1.5 times the room, with late answers. Openings of the low priority are reset at once, and
// routes without terms go on as before.
TEST(FlowAdmission, openingsBeyondTheRoomAreReset)
{
    auto forwarder = makeForwarder();
    const auto refusals = playOverload(forwarder);
    CHECK(refusals[0] > 0);
    CHECK(refusals[1] < refusals[0]);
    LONGS_EQUAL(0, refusals[2]);
    LONGS_EQUAL(1, forwarder.lastRefusal().priority);
    DOUBLES_EQUAL(Slots, forwarder.lastRefusal().room, 1e-9);
    LONGS_EQUAL(1, forwarder.takeAdmissionChanges().size());
}

// An instance whose settings keep the former choice decides nothing by load.
TEST(FlowAdmission, choiceByHashRefusesNothing)
{
    auto forwarder = makeForwarder(connection::UpstreamChoice::ByHash);
    LONGS_EQUAL(0, std::ranges::max(playOverload(forwarder)));
}

// Packets of open flows and retransmitted openings pass also while openings are refused: the
// request may have run.
TEST(FlowAdmission, openFlowsAndRetransmissionsPass)
{
    auto forwarder = makeForwarder();
    auto open = opening(BoardAddress);
    const auto verdict = forwarder.handle(open, now);
    open.token = std::get<ForwardPacket>(verdict).token;
    playOverload(forwarder);
    for (int packet = 0; packet < 100; ++packet) {
        const auto retransmission = forwarder.handle(opening(BoardAddress, 1), now);
        CHECK(std::holds_alternative<ForwardPacket>(retransmission));
        open.opens = false;
        open.sequence += 200;
        open.payloadBytes = 200;
        CHECK(std::holds_alternative<ForwardPacket>(forwarder.handle(open, now)));
    }
}
