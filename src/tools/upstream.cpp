// upstream: stand-in for the customers' servers; hosts many upstreams in one process.
#include "tools/arguments.h"
#include "tools/upstreamhost.h"

#include <boost/asio/signal_set.hpp>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <stdexcept>

namespace {

using namespace banyanwall;

/// Adds the upstream that text describes as "customer/service/upstream=a.b.c.d:port".
void addUpstream(tools::UpstreamHost &host, tools::UpstreamSettings settings,
                 const std::string &text)
{
    const auto equals = text.find('=');
    const auto slash = text.rfind('/', equals);
    if (equals == std::string::npos || slash == std::string::npos) {
        throw std::invalid_argument("not of the form customer/service/upstream=a.b.c.d:port: "
                                    + text);
    }
    settings.name = text.substr(0, equals);
    settings.service = text.substr(0, slash);
    host.add(std::move(settings), tools::endpointArgument(text.substr(equals + 1)));
}

int run(int argc, char **argv)
{
    const tools::UpstreamSettings defaults;
    TCLAP::CmdLine line("Hosts upstreams in one process.", ' ', "0.1");
    TCLAP::MultiArg<std::string> upstream("", "upstream", "customer/service/upstream=ip:port", true,
                                          "name=ip:port", line);
    TCLAP::ValueArg<std::string> control("", "control", "HTTP control port", true, "", "ip:port",
                                         line);
    TCLAP::ValueArg<std::uint32_t> slots("", "slots", "slots of each upstream", false,
                                         defaults.slots, "n", line);
    TCLAP::ValueArg<std::uint32_t> connections("", "connections",
                                               "connection limit of each upstream", false,
                                               defaults.connections, "n", line);
    TCLAP::ValueArg<int> latency("", "latency-ms", "answer time of a warm upstream", false, 20,
                                 "ms", line);
    TCLAP::ValueArg<std::uint32_t> coldFactor("", "cold-factor",
                                              "ratio of cold to warm answer time", false,
                                              defaults.coldFactor, "n", line);
    TCLAP::ValueArg<std::uint32_t> warmAfter("", "warm-after",
                                             "answers until a cold upstream is warm", false,
                                             defaults.warmAfterAnswers, "n", line);
    TCLAP::ValueArg<double> shuffle("", "shuffle", "probability of fragments in random order",
                                    false, defaults.shuffleProbability, "0..1", line);
    TCLAP::ValueArg<int> lag("", "health-lag-ms", "maximum age of health reports", false, 1000,
                             "ms", line);
    TCLAP::SwitchArg acceptOverload("", "accept-overload",
                                    "run requests beyond the slots instead of refusing them", line);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed of all random choices", false, 1, "n",
                                        line);
    line.parse(argc, argv);

    boost::asio::io_context context(1);
    tools::UpstreamHost host(context, seed.getValue());
    tools::UpstreamSettings settings;
    settings.slots = slots.getValue();
    settings.connections = connections.getValue();
    settings.usualLatency = std::chrono::milliseconds(latency.getValue());
    settings.coldFactor = coldFactor.getValue();
    settings.warmAfterAnswers = warmAfter.getValue();
    settings.shuffleProbability = shuffle.getValue();
    settings.healthLag = std::chrono::milliseconds(lag.getValue());
    settings.shouldShedOverLimit = !acceptOverload.getValue();
    std::ranges::for_each(upstream.getValue(),
                          [&](const std::string &text) { addUpstream(host, settings, text); });
    host.start();
    const tools::HttpPort port(context, tools::endpointArgument(control.getValue()),
                               [&](const std::string &target) { return host.control(target); });
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](auto, auto) { context.stop(); });
    context.run();
    std::cout << "program=upstream " << host.report() << std::endl;
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception &failure) {
        std::cerr << "program=upstream error=\"" << failure.what() << "\"\n";
        return 1;
    }
}
