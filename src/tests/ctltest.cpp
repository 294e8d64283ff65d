// Before CppUTest, whose macro for new does not go with Boost.
#include "httpresponder.h"

#include "ctl/contractfile.h"
#include "ctl/statuspoller.h"
#include "ctl/textdiff.h"
#include "ctlfixture.h"

#include <algorithm>
#include <optional>

using namespace banyanwall;
using ctl::CommandResult;
using ctl::ExitCode;
using tests::checkGolden;
using tests::clinicContract;
using tests::HttpResponder;

namespace {

/// Address without a listener.
const common::Endpoint Closed { 0x7f000001, 1 };

std::string statusJson(std::uint64_t inForce)
{
    return R"({"instance":"i1","zone":"east","incarnation":1,"stale":false,"leaving":false,)"
           R"("documents":{"contracts/clinic":{"known":1,"in_force":)"
            + std::to_string(inForce)
            + R"(}},"members":[{"name":"i1","zone":"east","state":"alive"}],)"
              R"("requests_in_progress":7})";
}

CommandResult parse(std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), "banyanwallctl");
    const auto parsed = ctl::parseOptions(arguments, "ana");
    const auto *result = std::get_if<CommandResult>(&parsed);
    return result == nullptr ? CommandResult {} : *result;
}

} // namespace

TEST_GROUP_BASE(Ctl, tests::CtlFixture) {};

// Guards against a help text that leaves out a command, an option or an exit code.
TEST(Ctl, helpIsComplete)
{
    checkGolden("help.txt", parse({ "--help" }).out);
}

// Guards against a usage error that is reported with another exit code or taken for a command.
TEST(Ctl, usageErrorsHaveTheirExitCode)
{
    checkCode(ExitCode::Invalid, parse({}));
    checkCode(ExitCode::Invalid, parse({ "--output", "xml", "status" }));
    checkCode(ExitCode::Invalid, parse({ "--store", "localhost:1", "status" }));
    checkCode(ExitCode::Invalid, run({ "contract", "destroy", "clinic" }));
    checkCode(ExitCode::Invalid, run({ "zone", "withdraw" }));
    checkCode(ExitCode::Invalid, run({ "contract", "check", "missing.toml" }));
    const auto parsed = ctl::parseOptions({ "banyanwallctl", "--store", "127.0.0.1:1", "--store",
                                            "127.0.0.1:2", "--wait", "zone", "list" },
                                          "ana");
    const auto &accepted = std::get<ctl::Options>(parsed);
    LONGS_EQUAL(2, accepted.stores.size());
    CHECK_TRUE(accepted.shouldWait);
    LONGS_EQUAL(2, accepted.words.size());
}

// Guards against a lost edit: the second of two operators must see both versions (P10).
TEST(Ctl, conflictShowsBothVersionsAndWritesNothing)
{
    checkCode(ExitCode::Ok, apply(clinicContract(50)));
    const auto copy = run({ "contract", "show", "clinic" }).out;
    checkCode(ExitCode::Ok, apply(clinicContract(60)));
    const auto edited = ctl::parseContractFile(copy, "copy");
    LONGS_EQUAL(1, common::valueOf(edited).baseVersion.value());
    CHECK_TRUE(common::valueOf(edited).toml == clinicContract(50));

    auto mine = copy;
    mine.replace(mine.find("= 50"), 4, "= 70");
    const auto result = apply(mine);
    checkCode(ExitCode::Conflict, result);
    checkGolden("conflict.txt", result.out + result.err);
    LONGS_EQUAL(2, document("clinic").version);
    options.baseVersion = 2;
    checkCode(ExitCode::Ok, apply(mine));
    // A repeated command finds its own edit in place.
    checkCode(ExitCode::Ok, apply(mine));
    LONGS_EQUAL(3, document("clinic").version);
    checkGolden("history.txt", run({ "contract", "history", "clinic" }).out);
}

// Guards against an edit that is made twice or reported as failed when only the answer was lost.
TEST(Ctl, lostAnswerIsAcceptedOnce)
{
    server.setFaults({ .loseNextAnswers = 1, .loseKind = "txn" });
    checkCode(ExitCode::Ok, apply(clinicContract(50)));
    LONGS_EQUAL(1, document("clinic").version);
    LONGS_EQUAL(1, server.counts().at("txn"));
}

// Guards against a store failure that looks like an accepted change.
TEST(Ctl, unreachableStoreHasItsExitCode)
{
    server.setFaults({ .down = true });
    checkCode(ExitCode::StoreUnreachable, apply(clinicContract(50)));
    checkCode(ExitCode::StoreUnreachable, run({ "zone", "withdraw", "east" }));
    checkCode(ExitCode::StoreUnreachable, run({ "status" }));
}

// Guards against two customers at one address, whose packets would mix (P2).
TEST(Ctl, contractOfAnotherCustomerMustNotClash)
{
    checkCode(ExitCode::Ok, apply(clinicContract(50)));
    auto other = clinicContract(50);
    other.replace(other.find("clinic"), 6, "school");
    checkCode(ExitCode::Invalid, apply(other));
    LONGS_EQUAL(0, document("school").version);
}

// Guards against one damaged document that blocks every edit, its own repair included.
TEST(Ctl, damagedContractIsRepairedByAnEdit)
{
    version::ContractDocument damaged;
    damaged = version::nextVersion(damaged, "customer = 1", "ana", {});
    const auto json = version::formatContractDocument(damaged);
    CHECK_TRUE(common::isOk(store.write("contracts/clinic", 0, json)));
    CHECK_TRUE(common::isOk(store.write("contracts/school", 0, json)));
    checkCode(ExitCode::Ok, apply(clinicContract(50)));
    LONGS_EQUAL(2, document("clinic").version);
    LONGS_EQUAL(2, progress.size());
}

// Guards against a zone that returns with its full load at once, and a typing error in its name.
TEST(Ctl, zoneReturnsWithTheFirstStep)
{
    apply(clinicContract(50));
    checkCode(ExitCode::Invalid, run({ "zone", "withdraw", "eats" }));
    checkCode(ExitCode::Ok, run({ "zone", "withdraw", "east" }));
    checkCode(ExitCode::Ok, run({ "zone", "withdraw", "east" }));
    auto zones = common::valueOf(store.zones()).value;
    LONGS_EQUAL(1, zones.version);
    CHECK_TRUE(zones.zones.at(0).withdrawn);
    checkCode(ExitCode::Ok, run({ "zone", "return", "east" }));
    zones = common::valueOf(store.zones()).value;
    LONGS_EQUAL(2, zones.version);
    CHECK_FALSE(zones.zones.at(0).withdrawn);
    LONGS_EQUAL(20, zones.zones.at(0).returningSharePercent);
    checkGolden("zonelist.txt", run({ "zone", "list" }).out);
}

// Guards against a drain that is lost with the next edit, or outlives its upstream.
TEST(Ctl, drainsOutliveEditsOfTheText)
{
    apply(clinicContract(50));
    checkCode(ExitCode::Invalid, run({ "upstream", "drain", "clinic", "records/r9" }));
    checkCode(ExitCode::Ok, run({ "upstream", "drain", "clinic", "records/r1" }));
    checkCode(ExitCode::Ok, run({ "upstream", "drain", "clinic", "records/r2" }));
    checkCode(ExitCode::Ok, apply(clinicContract(60)));
    checkGolden("upstreamlist.txt", run({ "upstream", "list", "clinic" }).out);
    checkCode(ExitCode::Ok, run({ "upstream", "return", "clinic", "records/r2" }));
    LONGS_EQUAL(5, document("clinic").version);
    auto smaller = clinicContract(60);
    const auto line = smaller.find("  { name = \"r1\"");
    smaller.erase(line, smaller.find('\n', line) - line + 1);
    checkCode(ExitCode::Ok, apply(smaller));
    LONGS_EQUAL(0, document("clinic").drainedUpstreams.size());
}

// Guards against a wait that ends early, never ends, or hides an instance that was not reached.
TEST(Ctl, waitReportsProgressAndUnreachableInstances)
{
    int polls = 0;
    HttpResponder admin(context, [&](const std::string &, const HttpResponder::Reply &reply) {
        reply(200, statusJson(++polls < 6 ? 0 : 1));
    });
    registerInstance("i1", admin.address());
    registerInstance("i2", Closed);
    options.shouldWait = true;
    const auto result = apply(clinicContract(50));
    checkCode(ExitCode::NotConfirmed, result);
    checkGolden("wait.txt", result.out);
    LONGS_EQUAL(6, polls);
    STRCMP_EQUAL("contracts/clinic version 1: in force on 1 of 2 instances, 1 not reached",
                 progress.back().c_str());
}

// Guards against a wait that does not stop at its limit.
TEST(Ctl, waitEndsAtItsLimit)
{
    HttpResponder admin(context, [](const std::string &, const HttpResponder::Reply &reply) {
        reply(200, statusJson(0));
    });
    registerInstance("i1", admin.address());
    options.shouldWait = true;
    options.waitLimit = std::chrono::seconds(0);
    options.format = ctl::Format::Json;
    const auto result = apply(clinicContract(50));
    checkCode(ExitCode::NotConfirmed, result);
    checkGolden("waitlimit.json", result.out);
}

// Guards against a status that leaves out an instance because it does not answer.
TEST(Ctl, statusListsEveryInstance)
{
    HttpResponder admin(context, [](const std::string &, const HttpResponder::Reply &reply) {
        reply(200, statusJson(1));
    });
    registerInstance("i1", admin.address());
    registerInstance("i2", Closed);
    auto result = run({ "status" });
    checkCode(ExitCode::NotConfirmed, result);
    checkGolden("status.txt", result.out);
    options.format = ctl::Format::Json;
    checkGolden("status.json", run({ "status" }).out);
    CHECK_FALSE(common::isOk(ctl::parseInstanceStatus(R"({"instance":"i1"})")));
}

// Guards against limits in the output that differ from those derived from the contract.
TEST(Ctl, explainShowsEveryLimit)
{
    const auto path = std::string(EXAMPLES_DIRECTORY) + "/workshop.toml";
    checkGolden("explain.txt", run({ "contract", "explain", path }).out);
}

// Guards against a diff that hides a changed line.
TEST(Ctl, diffMarksChangedLines)
{
    STRCMP_EQUAL("", ctl::diffLines("a\nb\n", "a\nb\n").c_str());
    STRCMP_EQUAL("- a\n  b\n+ c\n", ctl::diffLines("a\nb\n", "b\nc\n").c_str());
    STRCMP_EQUAL("+ a\n", ctl::diffLines("", "a").c_str());
    STRCMP_EQUAL("  a\n- b\n  a\n", ctl::diffLines("a\nb\na\n", "a\na\n").c_str());
}
