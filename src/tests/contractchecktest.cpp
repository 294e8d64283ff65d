#include "ctl/contractcheck.h"
#include "ctl/findingtext.h"
#include "ctlfixture.h"

using namespace banyanwall;
using ctl::ExitCode;
using tests::checkGolden;
using tests::clinicContract;

namespace {

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const auto at = text.find(from);
    CHECK_TRUE_TEXT(at != std::string::npos, from.c_str());
    return text.replace(at, from.size(), to);
}

/// A contract without findings: 50 requests/s, and 120 at the usual latency of both groups.
std::string cutoverContract(int sharePercent)
{
    return clinicContract(50)
            + "\n[[service.group]]\nname = \"new\"\nupstream = [\n"
              "  { name = \"n1\", zone = \"east\", address = \"127.0.0.1:9003\" },\n"
              "  { name = \"n2\", zone = \"west\", address = \"127.0.0.1:9004\" },\n"
              "]\n\n[service.cutover]\nfrom = \"old\"\nto = \"new\"\nshare_percent = "
            + std::to_string(sharePercent) + "\nnotice_url = \"http://127.0.0.1:8090/notice\"\n";
}

ctl::ContractInForce inForce(const std::string &toml, std::vector<std::string> drained = {})
{
    return { common::valueOf(version::parseContract(toml, "former")), 4, std::move(drained) };
}

/// Severity, code and key of each finding, one a line.
std::string findingsOf(const std::string &toml, const ctl::ContractsInForce &contracts = {})
{
    std::string text;
    for (const auto &finding : ctl::checkContractText(toml, contracts).findings) {
        text += std::string(finding.severity == ctl::Severity::Error             ? "error "
                                    : finding.severity == ctl::Severity::Warning ? "warning "
                                                                                 : "note ")
                + std::string(ctl::codeOf(finding.detail)) + " " + finding.key + "\n";
    }
    return text;
}

void checkFindings(const std::string &expected, const std::string &toml,
                   const ctl::ContractsInForce &contracts = {})
{
    STRCMP_EQUAL(expected.c_str(), findingsOf(toml, contracts).c_str());
}

} // namespace

TEST_GROUP_BASE(ContractCheck, tests::CtlFixture) {
    ctl::CommandResult check(const std::string &toml) { std::ofstream(contractPath) << toml;
auto result = run({ "contract", "check", contractPath });
for (auto at = result.out.find(contractPath); at != std::string::npos;
     at = result.out.find(contractPath)) {
    result.out.replace(at, contractPath.size(), "clinic.toml");
}
return result;
}
}
;

// Guards against warnings about a contract that contradicts nothing, which teach operators to
// ignore them.
TEST(ContractCheck, soundContractsHaveNoFindings)
{
    checkFindings("", cutoverContract(30));
    for (const auto *name : { "workshop.toml", "pension.toml" }) {
        const auto path = std::string(EXAMPLES_DIRECTORY) + "/" + name;
        checkExitCode(ExitCode::Ok, run({ "contract", "check", path }));
    }
}

// Guards against a check that ends at the first error, or passes a contract that would be rejected.
TEST(ContractCheck, allErrorsAreShownWithPlaces)
{
    auto toml = replaced(clinicContract(50), "slots_per_upstream = 3", "slots_per_upstrem = 3");
    toml = replaced(toml, "\"east\", address = \"127.0.0.1:9001\"",
                    "\"s\\u0007th\", address = \"127.0.0.1:7001\"");
    const auto result = check(toml);
    checkExitCode(ExitCode::Invalid, result);
    checkGolden("checkerrors.txt", result.out);
    checkExitCode(ExitCode::Invalid, check("customer = "));
    checkExitCode(ExitCode::Invalid, check(std::string(500'000, '\0')));
    // Edits that "contract apply" would reject.
    checkFindings("error cutover_step service[1].cutover.share_percent\n"
                  "note share_moved service[1].cutover.share_percent\n",
                  cutoverContract(65), { inForce(cutoverContract(30)) });
    checkFindings("error stale_base \n", "# contract of clinic, version 3\n" + clinicContract(50),
                  { inForce(clinicContract(50)) });
    checkFindings("error customer_conflict \n", clinicContract(50),
                  { inForce(replaced(clinicContract(50), "clinic", "school")) });
}

// Guards against entries that get no flows and that nobody notices.
TEST(ContractCheck, entriesThatNeverMatchAreFound)
{
    checkFindings("warning unused_zone zones\n",
                  replaced(clinicContract(50), "\"west\"]", "\"west\", \"north\"]"));
    checkFindings("warning address_not_unicast service[1].group[1].upstream[2].address\n",
                  replaced(clinicContract(50), "127.0.0.1:9002", "224.0.0.1:9002"));
    // A share of 0 or 100 % is a step of a cutover that this edit starts or ends, or a cutover that
    // was left behind.
    checkFindings("warning group_without_flows service[1].cutover.share_percent\n",
                  cutoverContract(0));
    checkFindings("warning group_without_flows service[1].cutover.share_percent\n",
                  cutoverContract(100), { inForce(cutoverContract(100)) });
    checkFindings("note group_without_flows service[1].cutover.share_percent\n"
                  "note share_moved service[1].cutover.share_percent\n",
                  cutoverContract(100), { inForce(cutoverContract(70)) });
    checkFindings("note upstream_count_changed service[1].group\n"
                  "note entry_added service[1].group[2].upstream[1]\n"
                  "note entry_added service[1].group[2].upstream[2]\n"
                  "note group_without_flows service[1].cutover.share_percent\n",
                  cutoverContract(0), { inForce(clinicContract(50)) });
    checkFindings("warning all_upstreams_drained service[1].group\n", clinicContract(50),
                  { inForce(clinicContract(50), { "records/r1", "records/r2" }) });
}

// Guards against a service that one failure or one withdrawal stops.
TEST(ContractCheck, servicesWithoutSpareUpstreamsAreFound)
{
    checkFindings(
            "warning unused_zone zones\nwarning single_zone service[1].group\n",
            replaced(clinicContract(50), "\"r2\", zone = \"west\"", "\"r2\", zone = \"east\""));
    const auto single = replaced(clinicContract(50),
                                 "  { name = \"r2\", zone = \"west\", address = "
                                 "\"127.0.0.1:9002\" },\n",
                                 "");
    checkFindings("warning single_upstream service[1].group\n", replaced(single, ", \"west\"", ""));
}

// Guards against limits that are valid one by one and cannot be used together. Values at the bound
// are no contradiction.
TEST(ContractCheck, contradictingLimitsAreFound)
{
    const auto withLimit = [](const std::string &limit) {
        return replaced(clinicContract(50), "requests_per_second", limit + "\nrequests_per_second");
    };
    checkFindings("warning connections_below_slots service[1].connections_per_upstream\n",
                  replaced(clinicContract(50), "= 100", "= 2"));
    checkFindings("", replaced(clinicContract(50), "= 100", "= 3"));
    checkFindings("warning idle_limit_below_longest_request service[1].idle_limit_s\n",
                  withLimit("idle_limit_s = 9"));
    checkFindings("", withLimit("idle_limit_s = 10"));
    checkFindings("warning longest_request_below_attempt_timeout service[1].longest_request_ms\n",
                  withLimit("longest_request_ms = 400"));
    checkFindings("", withLimit("longest_request_ms = 401"));
    checkFindings("warning rate_above_capacity service[1].requests_per_second\n",
                  clinicContract(121));
    checkFindings("", clinicContract(120));
    // The group that the cutover leads to has one upstream, 60 requests/s.
    const auto small = replaced(replaced(cutoverContract(50), "= 50", "= 70"),
                                "  { name = \"n2\", zone = \"west\", address = "
                                "\"127.0.0.1:9004\" },\n",
                                "");
    checkFindings("warning rate_above_capacity service[1].cutover.to\n", small);
    checkFindings("warning rate_above_capacity service[1].requests_per_second\n",
                  replaced(small, "share_percent = 50", "share_percent = 90"));
}

// Guards against a change whose effect on callers is left out. One upstream that is removed is
// drained, the other one is not.
TEST(ContractCheck, changesAreShownWithTheirEffect)
{
    apply(replaced(cutoverContract(30), "\"west\"]", "\"west\", \"north\"]"));
    run({ "upstream", "drain", "clinic", "records/r1" });
    auto toml = replaced(cutoverContract(10), "requests_per_second = 50",
                         "requests_per_second = 40\nidle_limit_s = 90");
    toml = replaced(toml, "\"127.0.0.1:7001\"", "\"127.0.0.1:7002\"");
    toml = replaced(toml, "\"r1\", zone = \"east\", address = \"127.0.0.1:9001\"",
                    "\"r3\", zone = \"east\", address = \"127.0.0.1:9005\"");
    toml = replaced(toml, "\"n1\", zone = \"east\", address = \"127.0.0.1:9003\"",
                    "\"n1\", zone = \"west\", address = \"127.0.0.1:9006\"");
    toml = replaced(toml, "  { name = \"n2\", zone = \"west\", address = \"127.0.0.1:9004\" },\n",
                    "");
    options.references = { "store" };
    auto result = check(toml);
    checkExitCode(ExitCode::Warnings, result);
    checkGolden("check.txt", result.out);
    options.format = ctl::Format::Json;
    result = check(toml);
    checkGolden("check.json", result.out);
    // A service that is renamed is removed and added.
    checkFindings("warning entry_removed service\nnote entry_added service[1]\n",
                  replaced(clinicContract(50), "records", "files"),
                  { inForce(clinicContract(50)) });
}

// Guards against two versions in force of one customer, of which one would be ignored, and against
// references that cannot be read and count as no difference.
TEST(ContractCheck, unusableReferencesAreErrors)
{
    std::ofstream(contractPath) << clinicContract(50);
    options.references = { contractPath, contractPath };
    checkExitCode(ExitCode::Invalid, run({ "contract", "check", contractPath }));
    options.references = { "missing.toml" };
    checkExitCode(ExitCode::Invalid, run({ "contract", "check", contractPath }));
    options.references = { "store" };
    server.setFaults({ .down = true });
    checkExitCode(ExitCode::StoreUnreachable, run({ "contract", "check", contractPath }));
}
