#include "process/storeclient.h"
#include "process/base64.h"
#include "tools/platformserver.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <optional>

using namespace banyanwall;
using process::PutOutcome;
using process::StoreClient;
using process::StoreRange;
using process::StoreSettings;
using process::WatchBatch;

namespace {

/// Port without a listener: connections to it are refused.
const common::Endpoint ClosedPort { 0x7f000001, 1 };

StoreSettings quickSettings(std::vector<common::Endpoint> endpoints)
{
    using std::chrono::milliseconds;
    return { std::move(endpoints), milliseconds(300), 4,
             milliseconds(2),      milliseconds(20),  milliseconds(300) };
}

} // namespace

TEST_GROUP(StoreClient)
{
    boost::asio::io_context context;
    common::TimePoint now { std::chrono::seconds(1'000) };
    tools::PlatformServer server { context, { { 0x7f000001, 0 } }, [this] { return now; } };
    StoreClient client { context, quickSettings({ server.address() }), 1 };

    // Runs the client and the server until the condition holds, for at most 5 s.
    template<typename Condition>
    void runUntil(const Condition &condition)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (!condition()) {
            CHECK_TRUE(std::chrono::steady_clock::now() < end);
            context.run_one_for(std::chrono::milliseconds(100));
        }
    }

    template<typename T, typename Start>
    common::Result<T> await(const Start &start)
    {
        std::optional<common::Result<T>> outcome;
        start([&outcome](common::Result<T> result) { outcome = std::move(result); });
        runUntil([&outcome] { return outcome.has_value(); });
        return std::move(*outcome);
    }

    common::Result<PutOutcome> put(StoreClient & writer, const std::string &key,
                                   std::int64_t expected, const std::string &value,
                                   std::int64_t lease = 0)
    {
        return await<PutOutcome>([&](const auto &handler) {
            writer.compareAndPut(key, expected, value, lease, handler);
        });
    }

    common::Result<StoreRange> range(const std::string &prefix)
    {
        return await<StoreRange>([&](const auto &handler) { client.range(prefix, handler); });
    }

    std::int64_t written(const common::Result<PutOutcome> &result)
    {
        CHECK_TRUE(common::isOk(result));
        CHECK_TRUE(common::valueOf(result).applied);
        return common::valueOf(result).modRevision;
    }
};

// Guards against values that the base64 or JSON encoding changes.
TEST(StoreClient, writesAndReadsBytes)
{
    const std::string value("\0\xff\"\n", 4);
    const auto revision = written(put(client, "a/1", 0, value));
    written(put(client, "b", 0, ""));
    const auto read = common::valueOf(range("a/"));
    LONGS_EQUAL(1, read.entries.size());
    CHECK_TRUE(read.entries.at(0).value == value);
    LONGS_EQUAL(revision, read.entries.at(0).modRevision);
    LONGS_EQUAL(2, client.counts().txn);
    LONGS_EQUAL(1, client.counts().range);
    CHECK_FALSE(process::decodeBase64("a===").has_value());
}

// Guards against an edit that is lost when two operators write the same key at the same time.
TEST(StoreClient, secondWriterGetsTheConflict)
{
    StoreClient other(context, quickSettings({ server.address() }), 2);
    const auto base = written(put(client, "k", 0, "base"));
    std::vector<PutOutcome> outcomes;
    const auto collect = [&](const common::Result<PutOutcome> &result) {
        outcomes.push_back(common::valueOf(result));
    };
    client.compareAndPut("k", base, "one", 0, collect);
    other.compareAndPut("k", base, "two", 0, collect);
    runUntil([&] { return outcomes.size() == 2; });
    LONGS_EQUAL(1, std::ranges::count(outcomes, true, &PutOutcome::applied));
    const auto lost = std::ranges::find(outcomes, false, &PutOutcome::applied);
    CHECK_TRUE(lost->current.has_value());
    CHECK_TRUE(lost->current->value == server.store().find("k")->value);
    CHECK_FALSE(lost->outcomeUnknown);
}

// Guards against a second write or a false conflict when the write took effect and only its
// response was lost.
TEST(StoreClient, lostResponseAfterTheWriteCountsAsWritten)
{
    server.setFaults({ .loseNextAnswers = 1, .loseKind = "txn" });
    const auto revision = written(put(client, "k", 0, "value"));
    LONGS_EQUAL(1, client.counts().txn);
    LONGS_EQUAL(1, client.counts().range);
    LONGS_EQUAL(1, server.store().find("k")->version);
    LONGS_EQUAL(revision, server.store().find("k")->modRevision);
}

// Guards against reporting success when the response was lost and another client has overwritten
// the key since.
TEST(StoreClient, lostResponseAndWriteOfAnotherClientIsAnUnknownOutcome)
{
    StoreClient other(context, quickSettings({ server.address() }), 2);
    const auto base = written(put(client, "k", 0, "base"));
    server.setFaults({ .loseNextAnswers = 2 });
    std::optional<common::Result<PutOutcome>> outcome;
    client.compareAndPut("k", base, "mine", 0, [&](const auto &result) { outcome = result; });
    // The responses to the write and to the first attempt to read the key back are lost.
    runUntil([&] { return client.counts().range == 1; });
    const auto mine = server.store().find("k")->modRevision;
    written(put(other, "k", mine, "theirs"));
    runUntil([&] { return outcome.has_value(); });
    CHECK_FALSE(common::valueOf(*outcome).applied);
    CHECK_TRUE(common::valueOf(*outcome).outcomeUnknown);
    CHECK_TRUE(common::valueOf(*outcome).current->value == "theirs");
}

// Guards against a call that never ends, or that reports success, while the store is down.
TEST(StoreClient, callsFailWhileTheStoreIsDownAndSucceedAfterwards)
{
    server.setFaults({ .down = true });
    const auto failed = range("k");
    CHECK_FALSE(common::isOk(failed));
    STRCMP_EQUAL("store_unreachable", common::errorOf(failed).code.c_str());
    LONGS_EQUAL(4, client.counts().range);
    const auto lost = put(client, "k", 0, "value");
    STRCMP_EQUAL("outcome_unknown", common::errorOf(lost).code.c_str());
    server.setFaults({});
    written(put(client, "k", 0, "value"));
}

// Guards against a call that fails because one endpoint is unreachable or the store limits the rate
// of calls.
TEST(StoreClient, retriesOnTheNextEndpointAndAfterTheRateLimit)
{
    StoreClient other(context, quickSettings({ ClosedPort, server.address() }), 2);
    written(put(other, "k", 0, "value"));
    server.setFaults({ .rateLimit = 1 });
    now += std::chrono::seconds(2);
    CHECK_TRUE(common::isOk(range("k")));
    std::optional<common::Result<StoreRange>> second;
    client.range("k", [&](const auto &result) { second = result; });
    runUntil([&] { return client.counts().range >= 2 && !second.has_value(); });
    now += std::chrono::seconds(2);
    runUntil([&] { return second.has_value(); });
    CHECK_TRUE(common::isOk(*second));
}

// Guards against keys that outlive their lease, and against renewing an expired lease.
TEST(StoreClient, keysExistUntilTheirLeaseExpires)
{
    const auto lease = common::valueOf(await<std::int64_t>(
            [&](const auto &handler) { client.grantLease(std::chrono::seconds(10), handler); }));
    const auto renew = [&] {
        return await<std::chrono::seconds>(
                [&](const auto &handler) { client.keepAlive(lease, handler); });
    };
    written(put(client, "instances/i1", 0, "record", lease));
    now += std::chrono::seconds(8);
    LONGS_EQUAL(10, common::valueOf(renew()).count());
    now += std::chrono::seconds(8);
    LONGS_EQUAL(1, common::valueOf(range("instances/")).entries.size());
    now += std::chrono::seconds(3);
    LONGS_EQUAL(0, common::valueOf(range("instances/")).entries.size());
    STRCMP_EQUAL("lease_expired", common::errorOf(renew()).code.c_str());
    const auto late = put(client, "instances/i1", 0, "record", lease);
    STRCMP_EQUAL("lease_expired", common::errorOf(late).code.c_str());
}

// Instances cannot renew their leases while the store is down. Guards against leases that expire
// during the outage, so that the list of instances becomes empty.
TEST(StoreClient, leasesOutliveAnOutage)
{
    const auto lease = common::valueOf(await<std::int64_t>(
            [&](const auto &handler) { client.grantLease(std::chrono::seconds(10), handler); }));
    written(put(client, "k", 0, "value", lease));
    server.setFaults({ .down = true });
    now += std::chrono::seconds(60);
    server.setFaults({});
    server.expireLeases();
    CHECK_TRUE(server.store().find("k") != nullptr);
    now += std::chrono::seconds(11);
    server.expireLeases();
    CHECK_TRUE(server.store().find("k") == nullptr);
}

// Guards against events that are lost or delivered twice when a watch loses its connection or
// receives no data.
TEST(StoreClient, watchResumesWithoutAGap)
{
    std::vector<std::string> seen;
    const auto start = common::valueOf(range("k/")).revision + 1;
    client.watch("k/", start, [&](const common::Result<WatchBatch> &batch) {
        for (const auto &event : common::valueOf(batch).events) {
            seen.push_back(event.entry.key + (event.deleted ? "-" : "=" + event.entry.value));
        }
    });
    StoreClient writer(context, quickSettings({ server.address() }), 2);
    const auto first = written(put(writer, "k/a", 0, "1"));
    written(put(writer, "other", 0, "x"));
    runUntil([&] { return seen.size() == 1; });

    server.setFaults({ .down = true });
    runUntil([&] { return server.openWatches() == 0 && client.counts().watch >= 2; });
    server.setFaults({});
    const auto second = written(put(writer, "k/a", first, "2"));
    runUntil([&] { return seen.size() == 2; });

    server.stallWatches();
    written(put(writer, "k/a", second, "3"));
    runUntil([&] { return seen.size() == 3; });
    const auto lease = common::valueOf(await<std::int64_t>(
            [&](const auto &handler) { writer.grantLease(std::chrono::seconds(1), handler); }));
    written(put(writer, "k/b", 0, "4", lease));
    now += std::chrono::seconds(2);
    server.expireLeases();
    runUntil([&] { return seen.size() == 5; });
    const std::vector<std::string> expected { "k/a=1", "k/a=2", "k/a=3", "k/b=4", "k/b-" };
    CHECK_TRUE(seen == expected);
}

// Guards against an event that is delivered only when more data follows or the watch times out.
TEST(StoreClient, watchDeliversEachEventAtOnce)
{
    auto settings = quickSettings({ server.address() });
    // Longer than the time limit of runUntil().
    settings.watchTimeout = std::chrono::minutes(1);
    StoreClient watcher(context, settings, 2);
    std::size_t batches = 0;
    std::size_t events = 0;
    watcher.watch("", 0, [&](const common::Result<WatchBatch> &result) {
        ++batches;
        events += common::valueOf(result).events.size();
    });
    runUntil([&] { return batches == 1; });
    for (std::size_t written = 1; written <= 3; ++written) {
        put(client, "k" + std::to_string(written), 0, std::string(2'000, 'v'));
        runUntil([&] { return events == written; });
        LONGS_EQUAL(1, watcher.counts().watch);
    }
}

// Guards against handlers that run after their client was destroyed.
TEST(StoreClient, destructionDropsOpenCalls)
{
    bool called = false;
    server.setFaults({ .slow = std::chrono::milliseconds(50) });
    {
        StoreClient other(context, quickSettings({ server.address() }), 2);
        other.range("k", [&](const auto &) { called = true; });
        other.watch("k", 1, [&](const auto &) { called = true; });
        runUntil([&] { return server.counts().at("range") == 1 && server.openWatches() == 1; });
        called = false;
    }
    written(put(client, "k", 0, "value"));
    CHECK_FALSE(called);
}
