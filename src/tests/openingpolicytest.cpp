#include "tests/openingfixture.h"

using namespace banyanwall;
using namespace std::chrono_literals;
using common::UpstreamSerial;
using connection::OpeningPolicy;
using connection::UpstreamTable;
using tests::Bancada;
using tests::Certidao;
using tests::OtherZone;
using tests::OwnZone;

TEST_GROUP_BASE(OpeningPolicy, tests::OpeningFixture) {};

TEST(OpeningPolicy, flowsAreDistributedEvenly)
{
    putMany(1, 14);
    const auto openings = countOpenings(28'000);
    LONGS_EQUAL(14, openings.size());
    // Four standard deviations from the expected 2,000 flows.
    CHECK(std::ranges::all_of(
            openings, [](const auto &item) { return item.second > 1'820 && item.second < 2'180; }));
}

// All instances choose the same upstream for a flow, so that duplicates of an opening packet reach
// only one upstream.
TEST(OpeningPolicy, instancesChooseTheSameUpstream)
{
    putMany(1, 14);
    UpstreamTable others { 2 };
    OpeningPolicy other { others };
    others.update(
            directory,
            [&] {
                std::vector<version::EntryKey> keys;
                std::ranges::transform(directory.entries(), std::back_inserter(keys),
                                       [](const auto &item) { return item.first; });
                return keys;
            }(),
            now);
    for (std::uint64_t flow = 0; flow < 200; ++flow) {
        CHECK(policy.choose({ Bancada, flow }, now)->record.serial
              == other.choose({ Bancada, flow }, now)->record.serial);
    }
}

// When one upstream is drained, the flows that would go to other upstreams must not move.
TEST(OpeningPolicy, drainingUpstreamMovesOnlyItsOwnFlows)
{
    putMany(1, 14);
    std::map<std::uint64_t, std::uint64_t> before;
    for (std::uint64_t flow = 0; flow < 500; ++flow) {
        before[flow] = policy.choose({ Bancada, flow }, now)->record.serial.value();
    }
    auto drainingUpstream = upstream(3);
    drainingUpstream.draining = true;
    put(drainingUpstream);
    for (const auto &[flow, serial] : before) {
        const auto after = policy.choose({ Bancada, flow }, now)->record.serial.value();
        CHECK(after == serial || serial == 3);
        CHECK(after != 3);
    }
}

TEST(OpeningPolicy, upstreamsOfOtherServicesGetNoFlows)
{
    auto certidao = upstream(9);
    certidao.service = Certidao;
    put(certidao);
    POINTERS_EQUAL(nullptr, policy.choose({ Bancada, 5 }, now));
    CHECK(policy.choose({ Certidao, 5 }, now) != nullptr);
}

TEST(OpeningPolicy, withdrawnZoneGetsNoFlows)
{
    putMany(1, 3);
    putMany(11, 3, OtherZone);
    withdraw(OtherZone, true);
    CHECK(std::ranges::all_of(countOpenings(300),
                              [](const auto &item) { return item.first < 10; }));
}

// The upstreams of a zone that returns from a withdrawal are cold, but only their next records show
// it.
TEST(OpeningPolicy, returnedZoneIsColdForTheColdPeriod)
{
    putRules(0.0);
    putMany(1, 3);
    putMany(11, 3, OtherZone);
    withdraw(OtherZone, true);
    withdraw(OtherZone, false);
    CHECK(std::ranges::all_of(countOpenings(300),
                              [](const auto &item) { return item.first < 10; }));
    now += 2100ms;
    LONGS_EQUAL(6, countOpenings(300).size());
}

// Guards against a full share of the flows for the upstreams of a returned zone that this instance
// learns of only after the return, for example because their entries had expired when it started.
TEST(OpeningPolicy, upstreamThatIsAddedAfterTheReturnOfItsZoneIsCold)
{
    putRules(0.0);
    putMany(1, 3);
    withdraw(OtherZone, true);
    withdraw(OtherZone, false);
    now += 500ms;
    putMany(11, 3, OtherZone);
    CHECK(std::ranges::all_of(countOpenings(300),
                              [](const auto &item) { return item.first < 10; }));
    now += 1600ms;
    LONGS_EQUAL(6, countOpenings(300).size());
}

// Guards against a full share of the flows for the cold upstreams of a zone whose withdrawal this
// instance never saw, because it learned of the withdrawal and the return at the same time.
TEST(OpeningPolicy, returnOfAZoneIsKnownWithoutItsWithdrawal)
{
    putRules(0.0);
    putMany(1, 3);
    putMany(11, 3, OtherZone);
    withdraw(OtherZone, false);
    CHECK(std::ranges::all_of(countOpenings(300),
                              [](const auto &item) { return item.first < 10; }));
    now += 2100ms;
    LONGS_EQUAL(6, countOpenings(300).size());
}

TEST(OpeningPolicy, coldUpstreamGetsNoFlowsWhenItsLimitIsZero)
{
    putRules(0.0);
    putMany(1, 3);
    auto cold = upstream(4);
    cold.coldFor = 2s;
    put(cold);
    LONGS_EQUAL(0, countOpenings(1'000).count(4));
    now += 2100ms;
    CHECK(countOpenings(1'000).contains(4));
}

// An upstream that restarts with the same serial is cold, although the serial is already known.
TEST(OpeningPolicy, restartedUpstreamIsColdAgain)
{
    putRules(0.0);
    putMany(1, 3);
    auto restarted = upstream(3);
    restarted.incarnation = common::Incarnation(2);
    restarted.coldFor = 2s;
    put(restarted);
    LONGS_EQUAL(0, countOpenings(1'000).count(3));
}

TEST(OpeningPolicy, suspectedUpstreamIsAvoided)
{
    putMany(1, 4);
    suspect(2);
    LONGS_EQUAL(0, countOpenings(500).count(2));
}

// No upstream responds, for example because this instance is cut off: flows are still opened, since
// some upstream may work.
TEST(OpeningPolicy, flowsAreOpenedWhenAllUpstreamsAreSuspected)
{
    putMany(1, 3);
    for (std::uint64_t serial = 1; serial <= 3; ++serial) {
        suspect(serial);
    }
    LONGS_EQUAL(3, countOpenings(500).size());
}

// The upstream that got the first opening packet does not respond or has no free slot.
TEST(OpeningPolicy, retransmittedOpeningGoesToAnotherUpstream)
{
    putMany(1, 6);
    for (std::uint64_t flow = 0; flow < 100; ++flow) {
        const auto *first = policy.choose({ Bancada, flow }, now);
        const auto *second = policy.choose({ Bancada, flow, 1, first->token }, now);
        CHECK(first != second);
        // An instance that did not see the first transmission avoids the same upstream.
        CHECK(policy.choose({ Bancada, flow, 1, {} }, now) != first);
    }
}

// When another zone is cut off, a retransmission goes to the own zone, which this instance reaches.
TEST(OpeningPolicy, retransmittedOpeningPrefersTheOwnZone)
{
    putMany(1, 3);
    putMany(11, 9, OtherZone);
    for (std::uint64_t flow = 0; flow < 100; ++flow) {
        CHECK(policy.choose({ Bancada, flow, 1, {} }, now)->record.zone == OwnZone);
    }
}

TEST(OpeningPolicy, onlyUpstreamGetsTheRetransmittedOpening)
{
    put(upstream(1));
    CHECK(policy.choose({ Bancada, 5, 1, connection::tokenOf(UpstreamSerial(1)) }, now) != nullptr);
}

// After a store outage the entries of running upstreams have expired and return within two seconds.
TEST(OpeningPolicy, expiredEntriesAreUsedForTwoSecondsWhenMostHaveExpired)
{
    putMany(1, 4);
    for (std::uint64_t serial = 1; serial <= 4; ++serial) {
        remove(serial);
    }
    LONGS_EQUAL(4, countOpenings(500).size());
    now += 2100ms;
    LONGS_EQUAL(0, countOpenings(500).size());
}

// Guards against a full share of the flows for cold upstreams while their entries are missing: a
// zone returns from a withdrawal after a store outage in which all entries have expired.
TEST(OpeningPolicy, expiredEntriesOfAReturnedZoneAreCold)
{
    putRules(0.0);
    putMany(1, 3);
    putMany(11, 3, OtherZone);
    withdraw(OtherZone, true);
    for (const std::uint64_t serial : { 1, 2, 3, 11, 12, 13 }) {
        remove(serial);
    }
    withdraw(OtherZone, false);
    const auto openings = countOpenings(500);
    LONGS_EQUAL(3, openings.size());
    CHECK(std::ranges::all_of(openings, [](const auto &item) { return item.first < 10; }));
}

// Guards against openings on cold upstreams without an entry that do not count towards the limit.
TEST(OpeningPolicy, expiredColdUpstreamsGetFlowsUpToTheirLimit)
{
    putRules(4.0);
    for (std::uint64_t serial = 1; serial <= 3; ++serial) {
        auto cold = upstream(serial);
        cold.coldFor = 5s;
        put(cold);
        remove(serial);
    }
    const auto openings = countOpenings(500);
    LONGS_EQUAL(3, openings.size());
    CHECK(std::ranges::all_of(openings, [](const auto &item) { return item.second == 4; }));
}

// When a single entry is removed, its upstream has stopped. Only when most entries expire at once
// do the upstreams still run.
TEST(OpeningPolicy, singleRemovedUpstreamGetsNoFlows)
{
    putMany(1, 4);
    remove(4);
    LONGS_EQUAL(0, countOpenings(500).count(4));
}

// An upstream that was drained before its entry was removed has stopped and must get no flows.
TEST(OpeningPolicy, drainedUpstreamsAreNotTreatedAsExpired)
{
    for (std::uint64_t serial = 1; serial <= 3; ++serial) {
        auto leaving = upstream(serial);
        leaving.draining = true;
        put(leaving);
        remove(serial);
    }
    LONGS_EQUAL(0, countOpenings(500).size());
}

// With few samples, the estimate of an upstream must not differ from the mean of the service so
// much that upstreams which have already answered look slow.
TEST(OpeningPolicy, firstResponsesDoNotMakeAnUpstreamSlow)
{
    putMany(1, 4);
    const auto before = countOpenings(2'000).count(2);
    upstreams.serviceResponseTime(Bancada).addSample(50ms, now);
    upstreams.find(connection::tokenOf(UpstreamSerial(2)))->responseTime.addSample(50ms, now);
    LONGS_EQUAL(before, countOpenings(2'000).count(2));
}

namespace {

/// The choice for services without a response aim: the highest-ranked upstream of all zones, or the
/// next one if that responds 1.5 times faster.
const connection::TrackedUpstream *choiceByHash(const UpstreamTable::Group &healthy,
                                                std::uint64_t flowHash, double serviceMean,
                                                common::TimePoint now)
{
    auto ranked = healthy;
    std::ranges::sort(ranked, std::greater {}, [&](const auto *upstream) {
        return common::hashPair(upstream->record.serial.value(), flowHash);
    });
    const auto time = [&](std::size_t rank) {
        return ranked[rank]->responseTime.estimate(serviceMean, now);
    };
    return ranked[ranked.size() > 1 && time(0) > time(1) * 1.5 ? 1 : 0];
}

} // namespace

// Guards against other choices for routes without a response aim, whatever is known of the load:
// random tables with draining, suspected and slow upstreams, outliers and a withdrawn zone.
TEST(OpeningPolicy, withoutAResponseAimTheLoadDoesNotCount)
{
    std::uint64_t random = 20261206;
    const auto draw = [&](std::uint64_t range) { return common::mixBits(++random) % range; };
    for (int table = 0; table < 40; ++table) {
        const auto count = 2 + draw(40);
        for (std::uint64_t serial = 1; serial <= count; ++serial) {
            auto record = upstream(serial, common::ZoneId(10 * (1 + draw(4))));
            record.draining = draw(6) == 0;
            put(record);
            auto &added = tracked(serial);
            added.isOutlier = draw(8) == 0;
            added.load = { .slowness = 1.0 + draw(5), .workLeft = draw(900) * 1ms };
            added.responseTime.addSample(draw(90) * 1ms, now);
            upstreams.serviceResponseTime(Bancada).addSample(draw(90) * 1ms, now);
            if (draw(8) == 0) {
                suspect(serial);
            }
        }
        withdraw(OtherZone, draw(2) == 0);
        knowDemands(policy, { { Bancada, static_cast<double>(draw(200)) } });
        UpstreamTable::Group healthy;
        std::ranges::copy_if(upstreams.ofService(Bancada), std::back_inserter(healthy),
                             [&](const auto *item) {
                                 return !item->record.draining && !item->isOutlier
                                         && !upstreams.isWithdrawn(item->record.zone)
                                         && item->health.mayOpenFlow(now);
                             });
        const auto mean = upstreams.serviceResponseTime(Bancada).mean();
        for (std::uint64_t flow = 0; flow < 200 && !healthy.empty(); ++flow) {
            const auto hash = common::mixBits(flow);
            POINTERS_EQUAL(choiceByHash(healthy, hash, mean, now),
                           policy.choose({ Bancada, hash, 0, {}, {}, 30ms }, now));
        }
        now += 10s;
    }
}
