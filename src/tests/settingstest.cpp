#include "process/settings.h"

#include "common/result.h"

#include <CppUTest/TestHarness.h>

using namespace banyanwall;

namespace {

const std::string Valid = R"([instance]
name = "caruaru-1"
zone = "galpao-a"
[listen]
fabric = "127.0.0.1:9001"
peer = "127.0.0.1:9002"
admin = "127.0.0.1:9003"
upstream = "127.0.0.1:9004"
[fabric]
address = "127.0.0.1:9000"
[store]
endpoints = ["127.0.0.1:2379"]
[peers]
seeds = ["127.0.0.1:9102"]
signing_key = 1
[peers.keys]
1 = "a secret of enough length"
[log]
level = "warning"
[workers]
count = 3
)";

std::string replaced(const std::string &from, const std::string &to)
{
    auto text = Valid;
    return text.replace(text.find(from), from.size(), to);
}

void checkRefused(const std::string &toml, const std::string &start, const std::string &allowed)
{
    const auto result = process::parseSettings(toml, "b.toml");
    CHECK_FALSE(common::isOk(result));
    STRCMP_CONTAINS(start.c_str(), common::errorOf(result).message.c_str());
    STRCMP_CONTAINS(allowed.c_str(), common::errorOf(result).message.c_str());
}

} // namespace

TEST_GROUP(Settings) {};

// Guards against a value that is read from the wrong key.
TEST(Settings, readsEveryKey)
{
    const auto result = process::parseSettings(Valid, "b.toml");
    CHECK_TRUE(common::isOk(result));
    const auto &settings = common::valueOf(result);
    STRCMP_EQUAL("caruaru-1", settings.name.c_str());
    STRCMP_EQUAL("galpao-a", settings.zone.c_str());
    LONGS_EQUAL(9001, settings.fabricListen.port);
    LONGS_EQUAL(9002, settings.peerListen.port);
    LONGS_EQUAL(9003, settings.adminListen.port);
    LONGS_EQUAL(9004, settings.upstreamListen.port);
    LONGS_EQUAL(9000, settings.fabric.port);
    LONGS_EQUAL(2379, settings.storeEndpoints.at(0).port);
    LONGS_EQUAL(9102, settings.seeds.at(0).port);
    STRCMP_EQUAL("a secret of enough length", settings.keys.at(1).c_str());
    STRCMP_EQUAL("warning", settings.logLevel.c_str());
    LONGS_EQUAL(3, settings.workers);
}

// Guards against a mistyped key that silently keeps a default.
TEST(Settings, refusesUnknownKeysAndSections)
{
    checkRefused(replaced("zone =", "zoen ="), "b.toml:3: key 'instance.zoen'", "name, zone");
    checkRefused(replaced("[log]", "[logging]"), "key 'logging'", "listen, log");
}

// Guards against a start with a missing address, a wrong type or a value out of range.
TEST(Settings, refusesMissingAndWrongValues)
{
    checkRefused(replaced("peer = \"127.0.0.1:9002\"\n", ""),
                 "b.toml:4: key 'listen.peer': missing", "a.b.c.d:port");
    checkRefused(replaced("127.0.0.1:9003", "localhost:9003"), "b.toml:7: key 'listen.admin'",
                 "a.b.c.d:port");
    checkRefused(replaced("127.0.0.1:9003", "127.0.0.1:0"), "b.toml:7: key 'listen.admin'",
                 "1 to 65535");
    checkRefused(replaced("count = 3", "count = \"3\""), "b.toml:21: key 'workers.count'",
                 "an integer from 1 to 64");
    checkRefused(replaced("count = 3", "count = 0"), "b.toml:21: key 'workers.count'",
                 "an integer from 1 to 64");
    checkRefused(replaced("\"warning\"", "\"loud\""), "b.toml:19: key 'log.level'", "debug, info");
    checkRefused(replaced("[\"127.0.0.1:2379\"]", "[]"), "b.toml:12: key 'store.endpoints'",
                 "an array");
}

// Guards against an instance that has no key to sign with, or signs with a short, guessable secret.
TEST(Settings, refusesUnusableKeys)
{
    checkRefused(replaced("signing_key = 1", "signing_key = 2"),
                 "b.toml:15: key 'peers.signing_key'", "an id listed in peers.keys");
    checkRefused(replaced("a secret of enough length", "short"), "b.toml:17: key 'peers.keys.1'",
                 "at least 16 characters");
}

// Guards against a toml++ exception that leaves parseSettings() and ends the process.
TEST(Settings, reportsTheLineOfASyntaxError)
{
    checkRefused(replaced("[fabric]", "[fabric"), "b.toml:9:", "");
}
