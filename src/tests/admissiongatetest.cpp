#include "connection/admissiongate.h"

#include "common/hash.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

using namespace banyanwall;
using namespace std::chrono_literals;
using common::ServiceId;
using common::StoreRevision;
using common::UpstreamSerial;
using common::ZoneId;
using connection::AdmissionGate;
using connection::ServiceDemand;
using version::RouteRecord;

namespace {

const ServiceId Ledger { 1 };
const ServiceId Desk { 2 };
const ZoneId Zone { 10 };
const ZoneId OtherZone { 20 };
constexpr int Openings = 40;

} // namespace

TEST_GROUP(AdmissionGate)
{
    version::Directory directory;
    connection::UpstreamTable upstreams { 1 };
    AdmissionGate gate { upstreams };
    common::TimePoint now { 100s };
    std::uint64_t revision = 0;
    std::uint64_t nextFlow = 1;
    RouteRecord route { .address = { 0x0a000001, 443 },
                        .shares = { { Ledger, 1 } },
                        .terms = { .priority = 1, .responseAim = 400ms, .timeBudget = 4s } };

    void setup() override
    {
        apply(true, {});
        putRules(10.0);
        for (std::uint64_t serial = 1; serial <= 10; ++serial) {
            put(upstream(serial, Ledger));
        }
    }

    void apply(bool complete, std::vector<version::DirectoryChange> changes)
    {
        const StoreRevision from(revision);
        ++revision;
        std::ranges::for_each(changes,
                              [&](auto &change) { change.position = StoreRevision(revision); });
        const auto changed = directory.apply(
                { from, StoreRevision(revision), complete, std::move(changes) }, now);
        upstreams.update(directory, changed, now);
    }

    void put(const version::UpstreamRecord &record)
    {
        apply(false, { { version::keyOf(record), {}, record } });
    }

    void putRules(double coldOpensPerSecond)
    {
        const version::RulesRecord rules {
            .version = revision + 1,
            .services = { { .service = Ledger, .coldOpensPerSecond = coldOpensPerSecond } }
        };
        apply(false, { { version::keyOf(rules), {}, rules } });
    }

    static version::UpstreamRecord upstream(std::uint64_t serial, ServiceId service)
    {
        return { .serial = UpstreamSerial(serial),
                 .service = service,
                 .endpoint = { 0x0a000000U + static_cast<std::uint32_t>(serial), 8080 },
                 .zone = serial % 2 == 0 ? Zone : OtherZone,
                 .slots = 2 };
    }

    connection::TrackedUpstream &tracked(std::uint64_t serial)
    {
        return *upstreams.find(connection::tokenOf(UpstreamSerial(serial)));
    }

    AdmissionGate::Request request()
    {
        const auto flow = nextFlow++;
        return { .route = route,
                 .flowHash = common::mixBits(flow),
                 .callerAddress = static_cast<std::uint32_t>(flow),
                 .usualTime = 30ms };
    }

    /// Plays a second of openings and answers; returns how many openings each service got.
    std::pair<int, int> playSecond(double ledgerDemand, double deskDemand, bool isLate)
    {
        std::pair<int, int> opened;
        const std::vector<const RouteRecord *> routes { &route };
        const std::vector<ServiceDemand> demands { { Ledger, ledgerDemand }, { Desk, deskDemand } };
        for (int update = 0; update < 5; ++update, now += 200ms) {
            for (int opening = 0; opening < Openings / 5; ++opening) {
                const auto verdict = gate.decide(request(), now);
                const auto *service = std::get_if<ServiceId>(&verdict);
                opened.first += service != nullptr && *service == Ledger ? 1 : 0;
                opened.second += service != nullptr && *service == Desk ? 1 : 0;
                gate.recordAnswer(route, Ledger, 30ms, { isLate ? 800ms : 30ms, 600 });
            }
            gate.update(routes, demands, now);
        }
        return opened;
    }

    void playOverload(int seconds = 8)
    {
        for (int second = 0; second < seconds; ++second) {
            playSecond(40, 1, true);
        }
    }

    /// Callers retransmit to the zone while upstreams of other zones respond.
    void makeUnreachable(ZoneId zone)
    {
        now += 10s;
        auto &health = upstreams.zoneHealth(zone);
        for (std::uint64_t serial = 1; serial <= 7; serial += 2) {
            health.onRetransmission(tracked(serial).token, now);
        }
        for (int response = 0; response < 10; ++response) {
            health.onOtherZoneResponse();
        }
        CHECK(health.isUnreachable(now));
    }

    void nameDesk()
    {
        route.shares = { { Ledger, 90 }, { Desk, 10 } };
        for (std::uint64_t serial = 101; serial <= 110; ++serial) {
            put(upstream(serial, Desk));
        }
    }
};

// Slots that cannot take work must not count as room: draining, withdrawn, cold, slow and
// unresponsive upstreams.
TEST(AdmissionGate, roomCountsSlotsThatMayTakeWork)
{
    DOUBLES_EQUAL(20.0, gate.roomOf(Ledger, now), 1e-9);
    tracked(1).load.slowness = 2.0;
    DOUBLES_EQUAL(19.0, gate.roomOf(Ledger, now), 1e-9);
    auto draining = upstream(3, Ledger);
    draining.draining = true;
    put(draining);
    DOUBLES_EQUAL(17.0, gate.roomOf(Ledger, now), 1e-9);
    // 10 openings a second with 50 ms of work keep half a slot busy.
    upstreams.serviceResponseTime(Ledger).addSample(50ms, now);
    tracked(5).coldUntil = now + 5s;
    DOUBLES_EQUAL(15.5, gate.roomOf(Ledger, now), 1e-9);
    tracked(5).coldUntil = now;
    DOUBLES_EQUAL(17.0, gate.roomOf(Ledger, now), 1e-9);
    const version::WithdrawalRecord record { Zone };
    apply(false, { { version::keyOf(record), {}, record } });
    DOUBLES_EQUAL(7.0, gate.roomOf(Ledger, now), 1e-9);
}

// An upstream with a full queue leaves openings unanswered. If its slots did not count, each
// refusal would lead to more of them.
TEST(AdmissionGate, suspectedUpstreamKeepsItsRoom)
{
    tracked(1).health.onOpeningRetransmitted(now);
    tracked(1).health.onOpeningRetransmitted(now);
    CHECK(tracked(1).health.isSuspected(now));
    DOUBLES_EQUAL(20.0, gate.roomOf(Ledger, now), 1e-9);
}

// Load: twice the room. A contract that names no terms gets the decisions of before.
TEST(AdmissionGate, routeWithoutTermsIsNeverRefused)
{
    route.terms.timeBudget.reset();
    playOverload();
    LONGS_EQUAL(Openings, playSecond(40, 1, true).first);
}

// Load: twice the room of a route with one service.
TEST(AdmissionGate, openingsBeyondTheRoomAreRefused)
{
    playOverload();
    CHECK(playSecond(40, 1, true).first < Openings);
    const auto &refusals = gate.admission().refusals();
    CHECK(refusals[1] > 0);
    LONGS_EQUAL(0, refusals[0]);
}

// A retransmission belongs to an opening that was admitted; the service to which it went keeps it,
// so that no second service runs the request.
TEST(AdmissionGate, retransmissionStaysWithItsService)
{
    nameDesk();
    playOverload();
    for (int opening = 0; opening < Openings; ++opening) {
        auto retransmitted = request();
        retransmitted.isRetransmission = true;
        retransmitted.previousService = Desk;
        const auto verdict = gate.decide(retransmitted, now);
        CHECK(std::holds_alternative<ServiceId>(verdict));
        CHECK(std::get<ServiceId>(verdict) == Desk);
    }
}

// Load: twice the room of one service while the other has free room: its weight is a tenth in calm.
TEST(AdmissionGate, openingsBeyondTheRoomGoToTheOtherService)
{
    nameDesk();
    const auto calm = playSecond(10, 1, false);
    CHECK(calm.first > calm.second);
    playOverload();
    const auto overload = playSecond(40, 1, true);
    CHECK(overload.second > calm.second);
}

// Load: twice the room, and upstreams refuse a third of the requests at once by a short answer.
// Fast errors must not look like answers within the aim.
TEST(AdmissionGate, shortErrorsCountAsLateAnswers)
{
    playSecond(10, 1, false);
    for (int second = 0; second < 8; ++second) {
        for (int answer = 0; answer < Openings / 2; ++answer) {
            gate.recordAnswer(route, Ledger, 30ms, { 3ms, 120 });
        }
        playSecond(40, 1, false);
    }
    CHECK(playSecond(40, 1, false).first < Openings);
}

// A zone that reaches no other
// decides by its own callers and upstreams alone.
TEST(AdmissionGate, demandOfUnreachableZonesDoesNotCount)
{
    std::vector<std::uint64_t> members(20);
    gate.setPosition({ .zone = Zone, .instance = 1, .members = members, .zonePeers = 9 });
    playSecond(5, 1, false);
    DOUBLES_EQUAL(10.0, gate.admission().find(Ledger)->observation().demand, 1e-9);
    makeUnreachable(OtherZone);
    playSecond(5, 1, false);
    DOUBLES_EQUAL(5.0, gate.admission().find(Ledger)->observation().demand, 1e-9);
    DOUBLES_EQUAL(10.0, gate.admission().find(Ledger)->observation().room, 1e-9);
}

// All upstreams of one service are cold, and the contract allows no openings on cold ones.
TEST(AdmissionGate, openingsOfAServiceWithoutSlotsGoToTheOther)
{
    nameDesk();
    putRules(0.0);
    for (std::uint64_t serial = 1; serial <= 10; ++serial) {
        tracked(serial).coldUntil = now + 1min;
    }
    for (int second = 0; second < 8; ++second) {
        playSecond(0, 1, false);
    }
    CHECK(playSecond(0, 1, false).second > Openings * 9 / 10);
}
