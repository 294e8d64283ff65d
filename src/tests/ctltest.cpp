// Included before CppUTest, which defines "new" as a macro that breaks the Boost headers.
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

/// Address where no server listens, so that a connection is refused.
const common::Endpoint ClosedPort { 0x7f000001, 1 };

/// Body of a /status response; version 1 of the clinic contract is known, inForce is applied.
std::string statusJson(std::uint64_t inForce)
{
    return R"({"instance":"i1","zone":"east","incarnation":1,"stale":false,"leaving":false,)"
           R"("documents":{"contracts/clinic":{"known":1,"in_force":)"
            + std::to_string(inForce)
            + R"(}},"members":[{"name":"i1","zone":"east","state":"alive"}],)"
              R"("requests_in_progress":7})";
}

/// Parses a command line; returns an empty result when it names a command to run.
CommandResult parse(std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), "banyanwallctl");
    const auto parsed = ctl::parseOptions(arguments, "ana");
    const auto *result = std::get_if<CommandResult>(&parsed);
    return result == nullptr ? CommandResult {} : *result;
}

} // namespace

TEST_GROUP_BASE(Ctl, tests::CtlFixture) {};

// Guards against a command, option or exit code that is missing in the output of --help.
TEST(Ctl, helpListsEveryCommandOptionAndExitCode)
{
    checkGolden("help.txt", parse({ "--help" }).out);
}

// Guards against a usage error that exits with another code than Invalid, such as an unknown output
// format, a host name as the store address, an unknown command, a missing argument or a missing
// file. Also checks that options are not taken for words of the command.
TEST(Ctl, usageErrorsExitWithInvalid)
{
    checkExitCode(ExitCode::Invalid, parse({}));
    checkExitCode(ExitCode::Invalid, parse({ "--output", "xml", "status" }));
    checkExitCode(ExitCode::Invalid, parse({ "--store", "localhost:1", "status" }));
    checkExitCode(ExitCode::Invalid, run({ "contract", "destroy", "clinic" }));
    checkExitCode(ExitCode::Invalid, run({ "zone", "withdraw" }));
    checkExitCode(ExitCode::Invalid, run({ "contract", "check", "missing.toml" }));
    const auto parsed = ctl::parseOptions({ "banyanwallctl", "--store", "127.0.0.1:1", "--store",
                                            "127.0.0.1:2", "--wait", "zone", "list" },
                                          "ana");
    const auto &accepted = std::get<ctl::Options>(parsed);
    LONGS_EQUAL(2, accepted.stores.size());
    CHECK_TRUE(accepted.shouldWait);
    LONGS_EQUAL(2, accepted.words.size());
}

// Guards against a long comment in the first line of a file that ends the program.
TEST(Ctl, longFirstLineIsNoHeader)
{
    const auto comment = "# contract of clinic" + std::string(300'000, 'c') + ", version 1\n";
    const auto file = ctl::parseContractFile(comment + clinicContract(50), "copy");
    CHECK_FALSE(common::valueOf(file).baseVersion.has_value());
    CHECK_TRUE(common::valueOf(file).toml == comment + clinicContract(50));
}

// Guards against a lost edit. Two operators edit version 1; the first one stores version 2. The
// second one must get a conflict that shows both texts, and can then apply the edit with --base 2.
TEST(Ctl, conflictShowsBothVersionsAndWritesNothing)
{
    checkExitCode(ExitCode::Ok, apply(clinicContract(50)));
    const auto copy = run({ "contract", "show", "clinic" }).out;
    checkExitCode(ExitCode::Ok, apply(clinicContract(60)));
    const auto edited = ctl::parseContractFile(copy, "copy");
    LONGS_EQUAL(1, common::valueOf(edited).baseVersion.value());
    CHECK_TRUE(common::valueOf(edited).toml == clinicContract(50));

    auto secondEdit = copy;
    secondEdit.replace(secondEdit.find("= 50"), 4, "= 70");
    const auto result = apply(secondEdit);
    checkExitCode(ExitCode::Conflict, result);
    checkGolden("conflict.txt", result.out + result.err);
    LONGS_EQUAL(2, document("clinic").version);
    options.baseVersion = 2;
    checkExitCode(ExitCode::Ok, apply(secondEdit));
    // Applying the same text again reports it as unchanged, without a new version.
    checkExitCode(ExitCode::Ok, apply(secondEdit));
    LONGS_EQUAL(3, document("clinic").version);
    checkGolden("history.txt", run({ "contract", "history", "clinic" }).out);
}

// Guards against an edit that is written twice, or reported as failed, when the store applied the
// write but its response was lost.
TEST(Ctl, writeWithLostResponseIsAppliedOnce)
{
    server.setFaults({ .loseNextAnswers = 1, .loseKind = "txn" });
    checkExitCode(ExitCode::Ok, apply(clinicContract(50)));
    LONGS_EQUAL(1, document("clinic").version);
    LONGS_EQUAL(1, server.counts().at("txn"));
}

// Guards against a command that exits with another code than StoreUnreachable, for example Ok,
// while no store endpoint responds.
TEST(Ctl, unreachableStoreExitsWithStoreUnreachable)
{
    server.setFaults({ .down = true });
    checkExitCode(ExitCode::StoreUnreachable, apply(clinicContract(50)));
    checkExitCode(ExitCode::StoreUnreachable, run({ "zone", "withdraw", "east" }));
    checkExitCode(ExitCode::StoreUnreachable, run({ "status" }));
}

// Guards against two customers with the same service address: packets of one customer would reach
// the upstreams of the other.
TEST(Ctl, contractWithAddressOfAnotherCustomerIsRejected)
{
    checkExitCode(ExitCode::Ok, apply(clinicContract(50)));
    auto other = clinicContract(50);
    other.replace(other.find("clinic"), 6, "school");
    checkExitCode(ExitCode::Invalid, apply(other));
    LONGS_EQUAL(0, document("school").version);
}

// Guards against a contract in the store that cannot be parsed and so blocks every edit: the one
// that repairs it and those of other customers. Each of the two damaged contracts is reported once.
TEST(Ctl, damagedContractCanBeReplacedByAnEdit)
{
    version::ContractDocument damaged;
    damaged = version::nextVersion(damaged, "customer = 1", "ana", {});
    const auto json = version::formatContractDocument(damaged);
    CHECK_TRUE(common::isOk(store.write("contracts/clinic", 0, json)));
    CHECK_TRUE(common::isOk(store.write("contracts/school", 0, json)));
    checkExitCode(ExitCode::Ok, apply(clinicContract(50)));
    LONGS_EQUAL(2, document("clinic").version);
    LONGS_EQUAL(2, progressLines.size());
}

// Guards against a zone command that is silent about a contract whose zones it cannot know.
TEST(Ctl, zoneCommandsReportDamagedContracts)
{
    const auto damaged = version::nextVersion({}, "customer = 1", "ana", {});
    CHECK_TRUE(common::isOk(
            store.write("contracts/school", 0, version::formatContractDocument(damaged))));
    checkExitCode(ExitCode::Ok, apply(clinicContract(50)));
    progressLines.clear();
    checkExitCode(ExitCode::Ok, run({ "zone", "withdraw", "east" }));
    LONGS_EQUAL(1, progressLines.size());
}

// Guards against a returned zone that gets its full load at once instead of the first step of 20 %,
// and against a mistyped zone name that is accepted. Withdrawing a zone twice makes one version.
TEST(Ctl, returnedZoneStartsWithOneShareStep)
{
    apply(clinicContract(50));
    checkExitCode(ExitCode::Invalid, run({ "zone", "withdraw", "eats" }));
    checkExitCode(ExitCode::Ok, run({ "zone", "withdraw", "east" }));
    checkExitCode(ExitCode::Ok, run({ "zone", "withdraw", "east" }));
    auto zones = common::valueOf(store.zones()).value;
    LONGS_EQUAL(1, zones.version);
    CHECK_TRUE(zones.zones.at(0).withdrawn);
    checkExitCode(ExitCode::Ok, run({ "zone", "return", "east" }));
    zones = common::valueOf(store.zones()).value;
    LONGS_EQUAL(2, zones.version);
    CHECK_FALSE(zones.zones.at(0).withdrawn);
    LONGS_EQUAL(20, zones.zones.at(0).returningSharePercent);
    checkGolden("zonelist.txt", run({ "zone", "list" }).out);
}

// Guards against a drain that is lost when the contract text is edited afterwards, and against a
// drain that stays in the document after its upstream was removed from the contract.
TEST(Ctl, drainsPersistAcrossContractEdits)
{
    apply(clinicContract(50));
    checkExitCode(ExitCode::Invalid, run({ "upstream", "drain", "clinic", "records/r9" }));
    checkExitCode(ExitCode::Ok, run({ "upstream", "drain", "clinic", "records/r1" }));
    checkExitCode(ExitCode::Ok, run({ "upstream", "drain", "clinic", "records/r2" }));
    checkExitCode(ExitCode::Ok, apply(clinicContract(60)));
    checkGolden("upstreamlist.txt", run({ "upstream", "list", "clinic" }).out);
    checkExitCode(ExitCode::Ok, run({ "upstream", "return", "clinic", "records/r2" }));
    LONGS_EQUAL(5, document("clinic").version);
    auto smaller = clinicContract(60);
    const auto line = smaller.find("  { name = \"r1\"");
    smaller.erase(line, smaller.find('\n', line) - line + 1);
    checkExitCode(ExitCode::Ok, apply(smaller));
    LONGS_EQUAL(0, document("clinic").drainedUpstreams.size());
}

// Guards against --wait that ends before the version is in force, never ends, or does not report an
// instance that is unreachable. i1 confirms at its sixth poll; i2 refuses connections.
TEST(Ctl, waitReportsProgressAndUnreachableInstances)
{
    int pollCount = 0;
    HttpResponder admin(context, [&](const std::string &, const HttpResponder::Reply &reply) {
        reply(200, statusJson(++pollCount < 6 ? 0 : 1));
    });
    registerInstance("i1", admin.address());
    registerInstance("i2", ClosedPort);
    options.shouldWait = true;
    const auto result = apply(clinicContract(50));
    checkExitCode(ExitCode::NotConfirmed, result);
    checkGolden("wait.txt", result.out);
    LONGS_EQUAL(6, pollCount);
    STRCMP_EQUAL("contracts/clinic version 1: in force on 1 of 2 instances, 1 not reached",
                 progressLines.back().c_str());
}

// Guards against --wait that continues after --wait-limit because an instance responds but never
// has the version in force.
TEST(Ctl, waitEndsAtWaitLimit)
{
    HttpResponder admin(context, [](const std::string &, const HttpResponder::Reply &reply) {
        reply(200, statusJson(0));
    });
    registerInstance("i1", admin.address());
    options.shouldWait = true;
    options.waitLimit = std::chrono::seconds(0);
    options.format = ctl::Format::Json;
    const auto result = apply(clinicContract(50));
    checkExitCode(ExitCode::NotConfirmed, result);
    checkGolden("waitlimit.json", result.out);
}

// Guards against a status that leaves out an instance because it does not respond. A /status
// response without required fields is an error.
TEST(Ctl, statusListsUnreachableInstances)
{
    HttpResponder admin(context, [](const std::string &, const HttpResponder::Reply &reply) {
        reply(200, statusJson(1));
    });
    registerInstance("i1", admin.address());
    registerInstance("i2", ClosedPort);
    auto result = run({ "status" });
    checkExitCode(ExitCode::NotConfirmed, result);
    checkGolden("status.txt", result.out);
    options.format = ctl::Format::Json;
    checkGolden("status.json", run({ "status" }).out);
    CHECK_FALSE(common::isOk(ctl::parseInstanceStatus(R"({"instance":"i1"})")));
}

// Guards against "contract explain" that leaves out a limit derived from the contract or shows a
// different value.
TEST(Ctl, explainShowsEveryLimit)
{
    const auto path = std::string(EXAMPLES_DIRECTORY) + "/workshop.toml";
    checkGolden("explain.txt", run({ "contract", "explain", path }).out);
}

// Guards against a diff that leaves out a changed line, also when a text is empty or lines repeat.
TEST(Ctl, diffMarksChangedLines)
{
    STRCMP_EQUAL("", ctl::diffLines("a\nb\n", "a\nb\n").c_str());
    STRCMP_EQUAL("- a\n  b\n+ c\n", ctl::diffLines("a\nb\n", "b\nc\n").c_str());
    STRCMP_EQUAL("+ a\n", ctl::diffLines("", "a").c_str());
    STRCMP_EQUAL("  a\n- b\n  a\n", ctl::diffLines("a\nb\na\n", "a\na\n").c_str());
}
