#include "version/contractparser.h"
#include "version/limits.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <fstream>
#include <sstream>

using namespace banyanwall;
using version::Contract;

namespace {

const std::string Valid = R"(customer = "clinic"
zones = ["east", "west"]

[[service]]
name = "records"
address = "127.0.0.1:7001"
slots_per_upstream = 3
connections_per_upstream = 100
requests_per_second = 50

[[service.group]]
name = "old"
upstream = [
  { name = "r1", zone = "east", address = "127.0.0.2:9001" },
  { name = "r2", zone = "west", address = "127.0.0.2:9002" },
]

[[service.group]]
name = "new"
upstream = [{ name = "n1", zone = "east", address = "127.0.0.2:9003" }]

[service.cutover]
from = "old"
to = "new"
share_percent = 25
notice_url = "http://127.0.0.1:8090/notice"
)";

std::string replaced(const std::string &from, const std::string &to)
{
    auto text = Valid;
    const auto at = text.find(from);
    CHECK_TRUE_TEXT(at != std::string::npos, from.c_str());
    return text.replace(at, from.size(), to);
}

std::string errorTextOf(const std::string &toml)
{
    const auto parsed = version::parseContract(toml, "c.toml");
    return common::isOk(parsed) ? "accepted" : common::errorOf(parsed).message;
}

void checkError(const std::string &from, const std::string &to, const std::string &message)
{
    STRCMP_EQUAL(message.c_str(), errorTextOf(replaced(from, to)).c_str());
}

std::uint64_t limitOf(const version::ServiceLimits &limits, std::string_view name)
{
    const auto found = std::ranges::find(limits.limits, name, &version::Limit::name);
    CHECK_TRUE(found != limits.limits.end());
    return found->value;
}

Contract exampleContract(const std::string &name)
{
    const auto path = std::string(EXAMPLES_DIRECTORY) + "/" + name;
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    const auto parsed = version::parseContract(text.str(), path);
    if (!common::isOk(parsed)) {
        FAIL(common::errorOf(parsed).message.c_str());
    }
    return common::valueOf(parsed);
}

void checkExample(const version::ServiceContract &service, const std::string &name,
                  std::size_t upstreams, std::uint32_t connections)
{
    STRCMP_EQUAL(name.c_str(), service.name.c_str());
    LONGS_EQUAL(upstreams, service.groups.at(0).upstreams.size());
    LONGS_EQUAL(3, service.slotsPerUpstream);
    LONGS_EQUAL(connections, service.connectionsPerUpstream);
}

} // namespace

TEST_GROUP(ContractParser) {};

// Guards against fields of the text that are lost or assigned to the wrong member.
TEST(ContractParser, readsEveryField)
{
    const auto parsed = version::parseContract(Valid, "c.toml");
    CHECK_TRUE(common::isOk(parsed));
    const auto &contract = common::valueOf(parsed);
    STRCMP_EQUAL("clinic", contract.customer.c_str());
    LONGS_EQUAL(2, contract.zones.size());
    const auto &service = contract.services.at(0);
    STRCMP_EQUAL("127.0.0.1:7001", common::toString(service.address).c_str());
    LONGS_EQUAL(100, service.connectionsPerUpstream);
    LONGS_EQUAL(10'000, service.longestRequest.count());
    STRCMP_EQUAL("west", service.groups.at(0).upstreams.at(1).zone.c_str());
    LONGS_EQUAL(25, service.cutover.value().sharePercent);
}

// Guards against invalid contracts that are accepted, and against error texts without line and key.
TEST(ContractParser, errorsNameLineKeyAndRule)
{
    checkError("slots_per_upstream = 3", "slots_per_upstrem = 3",
               "c.toml:7: service[1].slots_per_upstrem: unknown key, allowed are: name, address, "
               "slots_per_upstream, connections_per_upstream, requests_per_second, "
               "longest_request_ms, usual_latency_ms, idle_limit_s, group, cutover");
    checkError("slots_per_upstream = 3", "slots_per_upstream = \"three\"",
               "c.toml:7: service[1].slots_per_upstream: must be an integer from 1 to 1000, is "
               "'three'");
    checkError("slots_per_upstream = 3", "slots_per_upstream = 0",
               "c.toml:7: service[1].slots_per_upstream: must be an integer from 1 to 1000, is 0");
    checkError("address = \"127.0.0.1:7001\"\n", "",
               "c.toml:4: service[1].address: is missing, must be an IPv4 address and port such "
               "as \"127.0.0.1:7001\"");
    checkError("r2\", zone = \"west\"", "r2\", zone = \"south\"",
               "c.toml:15: service[1].group[1].upstream[2].zone: must be one of the contract's "
               "zones, is 'south'");
    checkError("to = \"new\"", "to = \"newer\"",
               "c.toml:24: service[1].cutover.to: must name a group of this service, is 'newer'");
    checkError("http://127", "https://127",
               "c.toml:26: service[1].cutover.notice_url: must be an HTTP URL with IP number and "
               "port such as \"http://127.0.0.1:8090/notice\"");
    CHECK_TRUE(errorTextOf("customer = ").starts_with("c.toml:1: "));
}

// Guards against a text of a few kilobytes that ends the process: each part of a key is a nested
// table, and tables nested some ten thousand times exhaust the stack.
TEST(ContractParser, rejectsKeysWithManyParts)
{
    std::string key = "a";
    for (int part = 0; part < 60'000; ++part) {
        key += ".\"=\"";
    }
    const std::string problem = "a key must have at most 16 parts";
    STRCMP_EQUAL(("c.toml:2: " + problem).c_str(), errorTextOf("\n" + key + " = 1").c_str());
    STRCMP_EQUAL(("c.toml:1: " + problem).c_str(), errorTextOf("[" + key + "]").c_str());
    STRCMP_EQUAL(("c.toml:1: " + problem).c_str(),
                 errorTextOf("x = { y = \"\"\"\\\"\"\"\"\"\", " + key + " = 1 }").c_str());
    // Dots in strings, comments and numbers are no parts of keys.
    const std::string dots(100, '.');
    checkError("customer = \"clinic\"", "# " + dots + "\ncustomer = '" + dots + "'",
               "c.toml:2: customer: must be a name of 1 to 63 lower-case letters, digits and "
               "hyphens that starts with a letter, is '"
                       + dots + "'");
}

// Guards against errors that are found only after the first one is corrected, errors that follow
// from another one, and wrong places.
TEST(ContractParser, findsOneProblemForEachWrongKey)
{
    const auto toml = replaced("zones = [\"east\", \"west\"]", "zones = []")
            + "extra = 1\n[[service]]\nname = \"records\"\nlongest_request_ms = 1\n";
    const auto parsed = version::parseContractWithPlaces(toml, "c.toml");
    CHECK_FALSE(common::isOk(parsed));
    std::string found;
    for (const auto &problem : common::errorOf(parsed)) {
        found += std::to_string(problem.place.line) + ":" + std::to_string(problem.place.column)
                + " " + problem.key + "\n";
    }
    STRCMP_EQUAL("2:9 zones\n"
                 "27:1 service[1].cutover.extra\n"
                 "29:8 service[2].name\n"
                 "28:1 service[2].address\n"
                 "28:1 service[2].slots_per_upstream\n"
                 "28:1 service[2].connections_per_upstream\n"
                 "28:1 service[2].requests_per_second\n"
                 "30:22 service[2].longest_request_ms\n"
                 "28:1 service[2].group\n",
                 found.c_str());
}

// Guards against findings of a valid contract that name the wrong line.
TEST(ContractParser, findsPlacesOfKeys)
{
    const auto parsed = version::parseContractWithPlaces(Valid, "c.toml");
    const auto &document = common::valueOf(parsed).document;
    const auto placeOf = [&](std::string_view key) {
        const auto place = document.placeOf(key);
        return std::to_string(place.line) + ":" + std::to_string(place.column);
    };
    STRCMP_EQUAL("1:12", placeOf("customer").c_str());
    STRCMP_EQUAL("15:43", placeOf("service[1].group[1].upstream[2].address").c_str());
    STRCMP_EQUAL("20:13", placeOf("service[1].group[2].upstream[1]").c_str());
    // A key that the text leaves out is placed at its table.
    STRCMP_EQUAL("4:1", placeOf("service[1].idle_limit_s").c_str());
    STRCMP_EQUAL("1:1", placeOf("").c_str());
}

// Guards against two services or upstreams with the same name, id or address: packets of one would
// be delivered to the other.
TEST(ContractParser, rejectsDuplicatesAndCollidingIds)
{
    checkError("name = \"n1\"", "name = \"r1\"",
               "c.toml:20: service[1].group[2].upstream[1].name: duplicate upstream name 'r1', "
               "names must be unique");
    checkError("127.0.0.2:9003", "127.0.0.1:7001",
               "c.toml:20: service[1].group[2].upstream[1].address: duplicate address "
               "127.0.0.1:7001, addresses of services and upstreams must be unique");
    // The low 32 bits of the hashes of these two zone names are equal.
    checkError("[\"east\", \"west\"]", "[\"z40031\", \"z71953\"]",
               "c.toml:2: zones: the id of zone 'z71953' collides with that of 'z40031', choose "
               "another name");
}

// Guards against two customers whose contracts are valid on their own but use the same address.
TEST(ContractParser, findsConflictsBetweenCustomers)
{
    const auto first = common::valueOf(version::parseContract(Valid, "a"));
    const auto second =
            common::valueOf(version::parseContract(replaced("\"clinic\"", "\"lab\""), "b"));
    const auto conflict = version::findConflict(first, second);
    CHECK_TRUE(conflict.has_value());
    STRCMP_EQUAL("address 127.0.0.1:7001 of 'records' is used by 'records' in the contract of "
                 "customer 'lab'",
                 conflict->message.c_str());
}

// Guards against limits that differ from what the contract implies.
TEST(ContractParser, derivesLimits)
{
    const auto contract = common::valueOf(version::parseContract(Valid, "c.toml"));
    const auto limits = version::deriveLimits(contract).at(0);
    LONGS_EQUAL(9, limitOf(limits, "concurrent_requests"));
    LONGS_EQUAL(300, limitOf(limits, "connections"));
    LONGS_EQUAL(5, limitOf(limits, "retries_per_second"));
    LONGS_EQUAL(9, limitOf(limits, "retries_in_progress"));
    LONGS_EQUAL(34, limitOf(limits, "cutover_step_percent"));
    LONGS_EQUAL(3, limitOf(limits, "cutover_steps"));
    LONGS_EQUAL(5, limitOf(limits, "zone_return_steps"));
}

// Guards against example contracts that are invalid, conflict with each other or differ from the
// sizes in docs/design.md.
TEST(ContractParser, acceptsTheExamples)
{
    const auto workshop = exampleContract("workshop.toml");
    const auto pension = exampleContract("pension.toml");
    checkExample(workshop.services.at(0), "bancada", 14, 4'400);
    checkExample(workshop.services.at(1), "certidao", 4, 4'400);
    checkExample(pension.services.at(0), "forecast-engine", 14, 4'300);
    checkExample(pension.services.at(1), "summary-print", 4, 4'300);
    LONGS_EQUAL(3, workshop.zones.size());
    LONGS_EQUAL(3, pension.zones.size());
    CHECK_FALSE(version::findConflict(workshop, pension).has_value());
}
