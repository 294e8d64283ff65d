#pragma once

#include "ctl/command.h"
#include "tools/platformserver.h"
#include "version/contractparser.h"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace banyanwall::tests {

/// Compares a text with the file of that name in src/tests/golden.
inline void checkGolden(const std::string &name, const std::string &text)
{
    std::ostringstream expected;
    expected << std::ifstream(std::string(GOLDEN_DIRECTORY) + "/" + name).rdbuf();
    STRCMP_EQUAL(expected.str().c_str(), text.c_str());
}

/// Runs commands of banyanwallctl against the stand-in of the store. Both use one io_context, so
/// each command also runs the server.
struct CtlFixture : public Utest
{
    boost::asio::io_context context;
    tools::PlatformServer server { context, { { 0x7f000001, 0 } }, [] {
                                      return std::chrono::time_point_cast<common::Duration>(
                                              std::chrono::steady_clock::now());
                                  } };
    process::StoreSettings settings {
        { server.address() },         std::chrono::milliseconds(300), 2,
        std::chrono::milliseconds(2), std::chrono::milliseconds(20),  std::chrono::milliseconds(300)
    };
    ctl::StoreSession store { context, settings, 1 };
    ctl::Options options;
    std::vector<std::string> progressLines;
    std::string contractPath = (std::filesystem::temp_directory_path()
                                / ("ctl" + std::to_string(server.address().port) + ".toml"))
                                       .string();

    CtlFixture() { options.author = "ana"; }

    ~CtlFixture() override { std::remove(contractPath.c_str()); }

    /// Runs one command; progress output is appended to progressLines.
    ctl::CommandResult run(std::vector<std::string> words)
    {
        options.words = std::move(words);
        ctl::CommandContext command {
            store,
            options,
            [this](const std::string &line) { progressLines.push_back(line); },
            { std::chrono::milliseconds(2'000), std::chrono::milliseconds(1),
              std::chrono::milliseconds(300), 3 }
        };
        return ctl::runCommand(command);
    }

    /// Writes the contract to a temporary file and runs "contract apply" on it.
    ctl::CommandResult apply(const std::string &toml)
    {
        std::ofstream(contractPath) << toml;
        return run({ "contract", "apply", contractPath });
    }

    void checkExitCode(ctl::ExitCode expected, const ctl::CommandResult &result)
    {
        LONGS_EQUAL_TEXT(static_cast<int>(expected), static_cast<int>(result.code),
                         (result.out + result.err).c_str());
    }

    version::ContractDocument document(const std::string &customer)
    {
        return common::valueOf(store.contract(customer)).value;
    }

    /// Writes the record of an instance in zone "east" to the store.
    void registerInstance(const std::string &name, common::Endpoint admin)
    {
        const version::InstanceRecord record {
            name, "east", 1, { 0x7f000001, 4 }, { 0x7f000001, 5 }, admin, false
        };
        CHECK_TRUE(common::isOk(
                store.write("instances/" + name, 0, version::formatInstanceRecord(record))));
    }
};

/// Contract of customer "clinic" with one service and two upstreams. The texts for two values of
/// requestsPerSecond differ in one line.
inline std::string clinicContract(int requestsPerSecond)
{
    return "customer = \"clinic\"\n"
           "zones = [\"east\", \"west\"]\n"
           "\n"
           "[[service]]\n"
           "name = \"records\"\n"
           "address = \"127.0.0.1:7001\"\n"
           "slots_per_upstream = 3\n"
           "connections_per_upstream = 100\n"
           "requests_per_second = "
            + std::to_string(requestsPerSecond)
            + "\n"
              "\n"
              "[[service.group]]\n"
              "name = \"old\"\n"
              "upstream = [\n"
              "  { name = \"r1\", zone = \"east\", address = \"127.0.0.1:9001\" },\n"
              "  { name = \"r2\", zone = \"west\", address = \"127.0.0.1:9002\" },\n"
              "]\n";
}

} // namespace banyanwall::tests
