#include "connection/openingpolicy.h"

#include "common/hash.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>

using namespace banyanwall;
using namespace std::chrono_literals;
using common::FlowToken;
using common::ServiceId;
using common::StoreRevision;
using common::UpstreamSerial;
using common::ZoneId;
using connection::OpeningPolicy;
using connection::UpstreamTable;
using version::Directory;
using version::UpstreamRecord;

namespace {

const ServiceId Bancada { 1 };
const ServiceId Certidao { 2 };
const ZoneId OwnZone { 10 };
const ZoneId OtherZone { 20 };

} // namespace

TEST_GROUP(OpeningPolicy)
{
    Directory directory;
    UpstreamTable upstreams { 1 };
    OpeningPolicy policy { upstreams };
    common::TimePoint now { 100s };
    std::uint64_t revision = 0;

    void setup() override
    {
        policy.setPosition({ .zone = OwnZone, .instance = 1, .members = { 1 } }, now - 1min);
        apply(true, {});
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

    void put(const UpstreamRecord &record)
    {
        apply(false, { { version::keyOf(record), {}, record } });
    }

    static UpstreamRecord upstream(std::uint64_t serial, ZoneId zone = OwnZone)
    {
        return { .serial = UpstreamSerial(serial),
                 .service = Bancada,
                 .endpoint = { 0x0a000000U + static_cast<std::uint32_t>(serial), 8080 },
                 .zone = zone,
                 .slots = 3 };
    }

    void putMany(std::uint64_t first, std::uint64_t count, ZoneId zone = OwnZone)
    {
        for (auto serial = first; serial < first + count; ++serial) {
            put(upstream(serial, zone));
        }
    }

    void remove(std::uint64_t serial)
    {
        apply(false, { { version::keyOf(upstream(serial)), {}, version::RemovedRecord {} } });
    }

    void withdraw(ZoneId zone, bool isWithdrawn)
    {
        const version::WithdrawalRecord record { zone };
        auto value = isWithdrawn ? version::DirectoryValue(record)
                                 : version::DirectoryValue(version::RemovedRecord {});
        apply(false, { { version::keyOf(record), {}, value } });
    }

    void putRules(double coldOpensPerSecond)
    {
        const version::RulesRecord rules { .version = revision + 1,
                                           .services = {
                                                   { .service = Bancada,
                                                     .coldPeriod = 2s,
                                                     .coldOpensPerSecond = coldOpensPerSecond } } };
        apply(false, { { version::keyOf(rules), {}, rules } });
    }

    /// Opens flows and returns the number of openings of each upstream.
    std::map<std::uint64_t, int> countOpenings(int flows)
    {
        std::map<std::uint64_t, int> openings;
        for (int flow = 0; flow < flows; ++flow) {
            const auto *chosen = policy.choose(Bancada, common::mixBits(flow), 0, {}, now);
            if (chosen != nullptr) {
                ++openings[chosen->record.serial.value()];
            }
        }
        return openings;
    }

    connection::TrackedUpstream &tracked(std::uint64_t serial)
    {
        return *upstreams.find(connection::tokenOf(UpstreamSerial(serial)));
    }

    void suspect(std::uint64_t serial)
    {
        tracked(serial).health.onDataRetransmitted(1, now);
        tracked(serial).health.onDataRetransmitted(2, now);
    }
};

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
        CHECK(policy.choose(Bancada, flow, 0, {}, now)->record.serial
              == other.choose(Bancada, flow, 0, {}, now)->record.serial);
    }
}

// When one upstream is drained, the flows that would go to other upstreams must not move.
TEST(OpeningPolicy, drainingUpstreamMovesOnlyItsOwnFlows)
{
    putMany(1, 14);
    std::map<std::uint64_t, std::uint64_t> before;
    for (std::uint64_t flow = 0; flow < 500; ++flow) {
        before[flow] = policy.choose(Bancada, flow, 0, {}, now)->record.serial.value();
    }
    auto drainingUpstream = upstream(3);
    drainingUpstream.draining = true;
    put(drainingUpstream);
    for (const auto &[flow, serial] : before) {
        const auto after = policy.choose(Bancada, flow, 0, {}, now)->record.serial.value();
        CHECK(after == serial || serial == 3);
        CHECK(after != 3);
    }
}

TEST(OpeningPolicy, upstreamsOfOtherServicesGetNoFlows)
{
    auto certidao = upstream(9);
    certidao.service = Certidao;
    put(certidao);
    POINTERS_EQUAL(nullptr, policy.choose(Bancada, 5, 0, {}, now));
    CHECK(policy.choose(Certidao, 5, 0, {}, now) != nullptr);
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
        const auto *first = policy.choose(Bancada, flow, 0, {}, now);
        const auto *second = policy.choose(Bancada, flow, 1, first->token, now);
        CHECK(first != second);
        // An instance that did not see the first transmission avoids the same upstream.
        CHECK(policy.choose(Bancada, flow, 1, {}, now) != first);
    }
}

// When another zone is cut off, a retransmission goes to the own zone, which this instance reaches.
TEST(OpeningPolicy, retransmittedOpeningPrefersTheOwnZone)
{
    putMany(1, 3);
    putMany(11, 9, OtherZone);
    for (std::uint64_t flow = 0; flow < 100; ++flow) {
        CHECK(policy.choose(Bancada, flow, 1, {}, now)->record.zone == OwnZone);
    }
}

TEST(OpeningPolicy, onlyUpstreamGetsTheRetransmittedOpening)
{
    put(upstream(1));
    CHECK(policy.choose(Bancada, 5, 1, connection::tokenOf(UpstreamSerial(1)), now) != nullptr);
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
