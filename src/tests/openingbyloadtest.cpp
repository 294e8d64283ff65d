#include "connection/upstreamweight.h"
#include "tests/openingfixture.h"

using namespace banyanwall;
using namespace std::chrono_literals;
using common::ZoneId;
using connection::Opening;
using tests::Bancada;
using tests::OtherZone;
using tests::OwnZone;

namespace {

constexpr ZoneId ThirdZone { 30 };
using Openings = std::map<std::uint64_t, int>;

Opening openingOf(std::uint64_t flow)
{
    return { .service = Bancada,
             .flowHash = common::mixBits(flow),
             .responseAim = 400ms,
             .usualTime = 30ms };
}

} // namespace

TEST_GROUP_BASE(OpeningByLoad,
                tests::OpeningFixture) { Openings openingsOf(int flows) { Openings openings;
for (int flow = 1; flow <= flows; ++flow) {
    if (const auto *chosen = policy.choose(openingOf(flow), now)) {
        ++openings[chosen->record.serial.value()];
    }
}
return openings;
}

/// Share of the openings that go to serials from first to last.
static double shareOf(const Openings &openings, std::uint64_t first, std::uint64_t last)
{
    int part = 0;
    int all = 0;
    for (const auto &[serial, count] : openings) {
        all += count;
        part += serial >= first && serial <= last ? count : 0;
    }
    return static_cast<double>(part) / all;
}

/// Ten upstreams in each of three zones: 101 to 110 in the own one, then 201, 301.
void putThreeZones()
{
    putMany(101, 10);
    putMany(201, 10, OtherZone);
    putMany(301, 10, ThirdZone);
}

void suspectMany(std::uint64_t first, std::uint64_t count)
{
    for (auto serial = first; serial < first + count; ++serial) {
        suspect(serial);
    }
}
}
;

// Guards against long flows that a cut between zones ends although their zone has room, also right
// after a start, and with equal upstreams for another order than that of the hash.
TEST(OpeningByLoad, flowsStayInTheOwnZone)
{
    putThreeZones();
    for (const auto &demands :
         { std::vector<connection::ServiceDemand> {}, { { Bancada, 9.0 } } }) {
        knowDemands(policy, demands);
        const auto openings = openingsOf(3'000);
        LONGS_EQUAL(10, openings.size());
        DOUBLES_EQUAL(1.0, shareOf(openings, 101, 110), 0.0);
    }
    const auto &group = upstreams.ofService(Bancada);
    for (std::uint64_t flow = 1; flow <= 200; ++flow) {
        const auto opening = openingOf(flow);
        const auto rank = [&](const auto *upstream) {
            return std::pair(upstream->record.zone == OwnZone,
                             connection::rendezvousScore(opening.flowHash, *upstream));
        };
        POINTERS_EQUAL(*std::ranges::max_element(group, {}, rank), policy.choose(opening, now));
    }
}

// One zone brings twice its room: half of its flows go to the others, evenly, and a small change of
// the demand moves few flows.
TEST(OpeningByLoad, zoneBeyondItsRoomUsesOthers)
{
    putThreeZones();
    knowDemands(policy, { { Bancada, 46.0 } });
    const auto openings = openingsOf(10'000);
    const auto own = shareOf(openings, 101, 110);
    CHECK(own > 0.4 && own < 0.65);
    DOUBLES_EQUAL((1.0 - own) / 2, shareOf(openings, 201, 210), 0.02);
    std::vector<const connection::TrackedUpstream *> before;
    for (std::uint64_t flow = 1; flow <= 1'000; ++flow) {
        before.push_back(policy.choose(openingOf(flow), now));
    }
    knowDemands(policy, { { Bancada, 47.0 } });
    int moved = 0;
    for (std::uint64_t flow = 1; flow <= 1'000; ++flow) {
        moved += policy.choose(openingOf(flow), now) != before[flow - 1] ? 1 : 0;
    }
    CHECK(moved < 30);
}

// The own zone has 1 of 14 upstreams, as after crashes: it must not get a third of all flows.
TEST(OpeningByLoad, zoneWithOneUpstreamIsNotFilled)
{
    putMany(101, 1);
    putMany(201, 7, OtherZone);
    putMany(301, 6, ThirdZone);
    CHECK(shareOf(openingsOf(3'000), 101, 101) < 0.3);
    knowDemands(policy, { { Bancada, 8.0 } });
    CHECK(shareOf(openingsOf(3'000), 101, 101) < 0.25);
}

// Callers return after a restart of all instances: the demand is a mean that starts at zero, and a
// small zone must not get the long flows of all its callers while it rises.
TEST(OpeningByLoad, demandThatIsNewDoesNotCount)
{
    putMany(101, 1);
    putMany(201, 7, OtherZone);
    putMany(301, 6, ThirdZone);
    policy.setDemands({ { Bancada, 0.0 } }, now - 10s);
    policy.setDemands({ { Bancada, 0.5 } }, now);
    CHECK(shareOf(openingsOf(3'000), 101, 101) < 0.3);
    now += 2s;
    policy.setDemands({ { Bancada, 0.5 } }, now);
    DOUBLES_EQUAL(1.0, shareOf(openingsOf(500), 101, 101), 0.0);
}

// The own zone is withdrawn: its flows go elsewhere at once. When it returns its upstreams are
// cold, and take no more than their limit until they are warm.
TEST(OpeningByLoad, withdrawnZoneReturnsThroughTheColdLimit)
{
    for (const double limit : { 0.0, 4.0 }) {
        putThreeZones();
        putRules(limit);
        knowDemands(policy, { { Bancada, 9.0 } });
        withdraw(OwnZone, true);
        DOUBLES_EQUAL(0.0, shareOf(openingsOf(1'000), 101, 110), 0.0);
        withdraw(OwnZone, false);
        const auto openings = openingsOf(3'000);
        CHECK(shareOf(openings, 101, 110) * 3'000 <= limit * 10);
        CHECK(shareOf(openings, 201, 310) > 0.98);
        now += 2100ms;
        DOUBLES_EQUAL(1.0, shareOf(openingsOf(1'000), 101, 110), 0.0);
    }
}

// A few upstreams of the zone are cold and the others warm: the warm ones get what fits.
TEST(OpeningByLoad, coldUpstreamsAddNoRoom)
{
    putThreeZones();
    putRules(0.0);
    for (std::uint64_t serial = 104; serial <= 110; ++serial) {
        tracked(serial).coldUntil = now + 2s;
    }
    knowDemands(policy, { { Bancada, 20.0 } });
    const auto openings = openingsOf(3'000);
    LONGS_EQUAL(23, openings.size());
    CHECK(shareOf(openings, 101, 103) * 20.0 < 0.85 * 9.0);
}

// All upstreams of the zone are cold, with limits that allow more openings than come: they count
// with the work that their limits allow, and not with all their slots.
TEST(OpeningByLoad, coldUpstreamsHaveTheRoomOfTheirLimits)
{
    putThreeZones();
    putRules(20.0);
    for (std::uint64_t serial = 101; serial <= 110; ++serial) {
        tracked(serial).coldUntil = now + 2s;
    }
    knowDemands(policy, { { Bancada, 9.0 } });
    const auto own = shareOf(openingsOf(150), 101, 110);
    CHECK(own > 0.2 && own < 0.7);
}

// Another zone is cut off: nothing changes for the flows of this one. All upstreams of the own zone
// fall silent: all flows go elsewhere at once. All upstreams leave the own zone: likewise.
TEST(OpeningByLoad, silentUpstreamsGiveNoRoom)
{
    putThreeZones();
    knowDemands(policy, { { Bancada, 9.0 } });
    const auto before = openingsOf(500);
    suspectMany(201, 10);
    CHECK(before == openingsOf(500));
    suspectMany(101, 10);
    DOUBLES_EQUAL(1.0, shareOf(openingsOf(500), 301, 310), 0.0);
}

// All entries have expired in an outage of the store, or only those of the own zone: the first is
// taken for the outage that it is, the second for a zone whose upstreams have stopped.
TEST(OpeningByLoad, expiredEntriesCountByThoseOfAllZones)
{
    putThreeZones();
    knowDemands(policy, { { Bancada, 9.0 } });
    const auto removeMany = [&](std::uint64_t first) {
        for (auto serial = first; serial < first + 10; ++serial) {
            remove(serial);
        }
    };
    removeMany(101);
    DOUBLES_EQUAL(0.0, shareOf(openingsOf(500), 101, 110), 0.0);
    removeMany(201);
    removeMany(301);
    DOUBLES_EQUAL(1.0, shareOf(openingsOf(500), 101, 110), 0.0);
    now += 2100ms;
    CHECK(openingsOf(500).empty());
}

// Most upstreams of the zone do not respond, are outliers or drain: the rest gets what it can do.
TEST(OpeningByLoad, restOfTheZoneIsNotOverloaded)
{
    putThreeZones();
    knowDemands(policy, { { Bancada, 15.0 } });
    suspectMany(103, 3);
    tracked(106).isOutlier = true;
    for (std::uint64_t serial = 107; serial <= 110; ++serial) {
        auto draining = upstream(serial);
        draining.draining = true;
        put(draining);
    }
    const auto openings = openingsOf(3'000);
    CHECK(shareOf(openings, 101, 102) * 15.0 < 0.85 * 6.0);
    DOUBLES_EQUAL(0.0, shareOf(openings, 103, 110), 0.0);
}

// A slow quarter, at half and at a fifth of the speed: each gets less than it can do, and still
// some flows, that show when it is usual again.
TEST(OpeningByLoad, slowQuarterGetsFewerFlows)
{
    putMany(101, 40);
    const auto shareAt = [&](double slowness) {
        for (std::uint64_t serial = 101; serial <= 110; ++serial) {
            tracked(serial).load.slowness = slowness;
        }
        return shareOf(openingsOf(20'000), 101, 110);
    };
    DOUBLES_EQUAL(0.25, shareAt(1.0), 0.015);
    DOUBLES_EQUAL(0.25, shareAt(1.2), 0.015);
    CHECK(shareAt(2.0) < 0.25 / 2);
    CHECK(shareAt(5.0) < 0.25 / 5);
    CHECK(shareAt(5.0) > 0.0);
}

// Guards against moves of flows between two usual upstreams when a third one turns slow.
TEST(OpeningByLoad, slownessMovesOnlyFlowsOfTheSlowUpstream)
{
    putMany(101, 14);
    std::map<std::uint64_t, std::uint64_t> before;
    for (std::uint64_t flow = 1; flow <= 1'000; ++flow) {
        before[flow] = policy.choose(openingOf(flow), now)->record.serial.value();
    }
    tracked(103).load.slowness = 3.0;
    for (const auto &[flow, serial] : before) {
        const auto after = policy.choose(openingOf(flow), now)->record.serial.value();
        CHECK(after == serial || serial == 103);
    }
}

// One upstream has much work left, for example a few requests of seven times the usual work. The
// work of one usual request is no reason to go elsewhere.
TEST(OpeningByLoad, workLeftMovesFlowsOnlyWhenItIsClear)
{
    putMany(101, 10);
    const auto before = openingsOf(2'000);
    tracked(102).load.workLeft = 30ms;
    CHECK(before == openingsOf(2'000));
    tracked(102).load.workLeft = 600ms;
    const auto openings = openingsOf(2'000);
    LONGS_EQUAL(0, openings.count(102));
    CHECK(std::ranges::all_of(openings, [](const auto &item) { return item.second < 400; }));
}

// All upstreams have work left, as at high load: small differences between figures that are seconds
// old must not move flows to and fro.
TEST(OpeningByLoad, smallDifferencesOfWorkLeftMoveNoFlows)
{
    putMany(101, 10);
    const auto before = openingsOf(2'000);
    for (std::uint64_t serial = 101; serial <= 110; ++serial) {
        tracked(serial).load.workLeft = serial % 2 == 0 ? 750ms : 900ms;
    }
    CHECK(before == openingsOf(2'000));
}

// Retransmitted openings go to another upstream of the own zone, whether or not this instance saw
// the first transmission.
TEST(OpeningByLoad, retransmittedOpeningGoesToAnotherUpstreamOfTheZone)
{
    putThreeZones();
    knowDemands(policy, { { Bancada, 100.0 } });
    for (std::uint64_t flow = 1; flow <= 300; ++flow) {
        auto opening = openingOf(flow);
        const auto *first = policy.choose(opening, now);
        opening.retransmissions = 1;
        const auto *unseen = policy.choose(opening, now);
        opening.avoidedToken = first->token;
        const auto *seen = policy.choose(opening, now);
        CHECK(unseen != first && seen != first);
        CHECK(unseen->record.zone == OwnZone && seen->record.zone == OwnZone);
    }
}

// A slow quarter that changes every 10 s and queues that come and go, seen with figures of 0.3 s to
// 3 s by 13 to 295 instances before 14 to 600 upstreams: no upstream gets more than 2.5 times its
// fair share of the flows at any time, however many instances find it idle.
TEST(OpeningByLoad, staleFiguresCauseNoHerd)
{
    struct Fleet
    {
        std::uint64_t instances;
        std::uint64_t upstreams;
    };

    const auto turnOf = [](common::Duration time) {
        return static_cast<std::uint64_t>(time / 10s);
    };
    for (const auto &[instances, count] : { Fleet { 13, 14 }, { 106, 120 }, { 295, 600 } }) {
        putMany(101, count);
        for (const auto elapsed : { 10'100ms, 11'000ms, 12'000ms, 14'000ms }) {
            Openings openings;
            const auto flows = count * 100 / instances + 1;
            for (std::uint64_t instance = 0; instance < instances; ++instance) {
                const auto age = 300ms + 2700ms * instance / instances;
                for (std::uint64_t serial = 101; serial < 101 + count; ++serial) {
                    const auto turn = turnOf(elapsed - age);
                    const auto draw = common::hashPair(turn, serial);
                    tracked(serial).load = { .slowness = draw % 4 == 0 ? 4.0 : 1.0,
                                             .workLeft = draw % 8 == 1 ? common::Duration(500ms)
                                                                       : common::Duration() };
                }
                for (std::uint64_t flow = 0; flow < flows; ++flow) {
                    const auto hash = 1 + instance * flows + flow;
                    ++openings[policy.choose(openingOf(hash), now)->record.serial.value()];
                }
            }
            const auto fair = static_cast<double>(flows * instances) / static_cast<double>(count);
            CHECK(std::ranges::all_of(openings,
                                      [&](const auto &item) { return item.second < 2.5 * fair; }));
        }
    }
}

// Instances that join or leave, and those that know another demand, agree on almost all flows: a
// duplicate of an opening packet then reaches the same upstream.
TEST(OpeningByLoad, instancesOfAZoneAgree)
{
    putThreeZones();
    connection::OpeningPolicy other { upstreams };
    other.setPosition({ .zone = OwnZone, .instance = 7, .members = { 1, 7, 9 } }, now);
    knowDemands(policy, { { Bancada, 40.0 } });
    knowDemands(other, { { Bancada, 42.0 } });
    int different = 0;
    for (std::uint64_t flow = 1; flow <= 1'000; ++flow) {
        const auto opening = openingOf(flow);
        different += policy.choose(opening, now) != other.choose(opening, now) ? 1 : 0;
    }
    CHECK(different < 50);
}
