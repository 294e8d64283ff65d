#include "ctl/command.h"

#include <cstdlib>
#include <iostream>
#include <random>

using namespace banyanwall::ctl;

namespace {

CommandResult run(int argc, char **argv)
{
    const auto *user = std::getenv("USER");
    const auto parsed = parseOptions({ argv, argv + argc }, user == nullptr ? "operator" : user);
    if (const auto *result = std::get_if<CommandResult>(&parsed)) {
        return *result;
    }
    const auto &options = std::get<Options>(parsed);
    boost::asio::io_context context;
    StoreSession store(context, { options.stores }, std::random_device {}());
    CommandContext command {
        store, options, [](const std::string &line) { std::cerr << line << std::endl; }, {}
    };
    return runCommand(command);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        const auto result = run(argc, argv);
        std::cout << result.out << std::flush;
        std::cerr << result.err;
        return static_cast<int>(result.code);
    } catch (const std::exception &error) {
        std::cerr << "banyanwallctl: " << error.what() << '\n';
        return static_cast<int>(ExitCode::Failed);
    }
}
