// platform: stand-in for the platform's key-value service and instance list.
#include "tools/platformserver.h"

#include <boost/asio/signal_set.hpp>

#include <tclap/CmdLine.h>

#include <chrono>
#include <csignal>
#include <iostream>

using namespace banyanwall;

namespace {

common::TimePoint steadyNow()
{
    return std::chrono::time_point_cast<common::Duration>(std::chrono::steady_clock::now());
}

int run(int argc, char **argv)
{
    TCLAP::CmdLine commandLine("Stand-in for the platform's key-value service and instance list.",
                               ' ', "0.1.0");
    TCLAP::ValueArg<std::string> listen("", "listen", "Address to listen on.", false,
                                        "127.0.0.1:2379", "ip:port", commandLine);
    TCLAP::ValueArg<unsigned> listLag("", "list-lag-ms", "Age of GET /instances.", false, 0,
                                      "milliseconds", commandLine);
    commandLine.parse(argc, argv);

    const auto address = common::parseEndpoint(listen.getValue());
    if (!address) {
        std::cerr << "platform: --listen must be an IPv4 address and port, is '"
                  << listen.getValue() << "'\n";
        return 2;
    }
    boost::asio::io_context context;
    const tools::PlatformServer server(
            context, { *address, std::chrono::milliseconds(listLag.getValue()) }, steadyNow);
    std::cout << "event=listening address=" << common::toString(server.address()) << std::endl;
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
    context.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "platform: " << error.what() << '\n';
        return 1;
    }
}
