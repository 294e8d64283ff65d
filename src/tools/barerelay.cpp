// barerelay: forwards datagrams between two fixed endpoints. The relay benchmark uses the program
// as the baseline of the balancer's throughput.
#include "tools/arguments.h"
#include "tools/relayloop.h"

#include <boost/asio/signal_set.hpp>
#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>

namespace {

using namespace banyanwall;

int run(int argc, char **argv)
{
    TCLAP::CmdLine line("Forwards datagrams between two endpoints.", ' ', "0.1");
    TCLAP::ValueArg<std::string> fabricListen(
            "", "fabric-listen", "receives packets from the fabric", true, "", "ip:port", line);
    TCLAP::ValueArg<std::string> fabric("", "fabric", "endpoint that gets the answers", true, "",
                                        "ip:port", line);
    TCLAP::ValueArg<std::string> upstreamListen(
            "", "upstream-listen", "receives answers of the upstream", true, "", "ip:port", line);
    TCLAP::ValueArg<std::string> upstream("", "upstream", "endpoint that gets the packets", true,
                                          "", "ip:port", line);
    line.parse(argc, argv);
    boost::asio::io_context context(1);
    const tools::RelayLoop relay(context,
                                 { tools::endpointArgument(fabricListen.getValue()),
                                   tools::endpointArgument(fabric.getValue()),
                                   tools::endpointArgument(upstreamListen.getValue()),
                                   tools::endpointArgument(upstream.getValue()) });
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](auto, auto) { context.stop(); });
    context.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception &failure) {
        std::cerr << "program=barerelay error=\"" << failure.what() << "\"\n";
        return 1;
    }
}
