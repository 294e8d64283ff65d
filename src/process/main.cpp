#include "common/result.h"
#include "process/logging.h"
#include "process/node.h"
#include "process/settings.h"

#include <tclap/CmdLine.h>

#include <iostream>

using namespace banyanwall;

namespace {

constexpr int InvalidSettingsExitCode = 2;
constexpr const char *Version = BANYANWALL_VERSION;

struct Options
{
    std::string settingsPath;
    bool checkOnly = false;
};

/// Exits the process on --help, --version and invalid options.
Options parseOptions(int argc, char **argv)
{
    TCLAP::CmdLine commandLine("Layer-4 load balancer: one instance.", ' ', Version);
    TCLAP::ValueArg<std::string> settings("s", "settings", "TOML file with the settings", true, "",
                                          "FILE", commandLine);
    TCLAP::SwitchArg check("c", "check", "check the settings and exit", commandLine);
    commandLine.parse(argc, argv);
    return { settings.getValue(), check.getValue() };
}

int runInstance(const process::Settings &settings)
{
    process::startLogging(settings.logLevel, settings.name);
    try {
        process::Node node(settings);
        node.run();
    } catch (const std::exception &error) {
        process::LogEvent(process::LogLevel::Error, "start_failed").with("problem", error.what());
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char **argv)
{
    const auto options = parseOptions(argc, argv);
    const auto settings = process::loadSettings(options.settingsPath);
    if (!common::isOk(settings)) {
        std::cerr << common::errorOf(settings).message << "\n";
        return InvalidSettingsExitCode;
    }
    return options.checkOnly ? EXIT_SUCCESS : runInstance(common::valueOf(settings));
}
