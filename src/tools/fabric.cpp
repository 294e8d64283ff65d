// fabric: stand-in for the network that hands any packet of a caller to any instance.
#include "tools/arguments.h"
#include "tools/fabricrelay.h"
#include "tools/httpport.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <tclap/CmdLine.h>

#include <csignal>
#include <functional>
#include <iostream>

namespace {

using namespace banyanwall;

constexpr std::chrono::milliseconds PollInterval { 250 };

/// Polls the platform's instance list and passes it to the relay. The relay keeps the last list
/// while the platform does not respond.
class InstancePoller
{
public:
    InstancePoller(boost::asio::io_context &context, common::Endpoint platform,
                   tools::FabricRelay &relay)
        : m_context(context)
        , m_platform(platform)
        , m_relay(relay)
        , m_timer(context)
    { }

    void poll()
    {
        tools::httpGet(m_context, m_platform, "/instances", [this](const auto &body) {
            if (body) {
                m_relay.setInstances(tools::fabricEndpoints(*body));
            }
            m_timer.expires_after(PollInterval);
            m_timer.async_wait([this](boost::system::error_code error) {
                if (!error) {
                    poll();
                }
            });
        });
    }

private:
    boost::asio::io_context &m_context;
    common::Endpoint m_platform;
    tools::FabricRelay &m_relay;
    boost::asio::steady_timer m_timer;
};

int run(int argc, char **argv)
{
    TCLAP::CmdLine line("Sends each caller datagram to a random instance.", ' ', "0.1");
    TCLAP::MultiArg<std::string> service("", "service", "service address", true, "ip:port", line);
    TCLAP::ValueArg<std::string> reply("", "reply", "receives the instances' answers", true, "",
                                       "ip:port", line);
    TCLAP::ValueArg<std::string> platform("", "platform", "platform stand-in", true, "", "ip:port",
                                          line);
    TCLAP::ValueArg<double> drop("", "drop", "probability", false, 0, "0..1", line);
    TCLAP::ValueArg<double> duplicate("", "duplicate", "probability", false, 0, "0..1", line);
    TCLAP::ValueArg<double> delay("", "delay", "probability", false, 0, "0..1", line);
    TCLAP::ValueArg<double> reorder("", "reorder", "probability", false, 0, "0..1", line);
    TCLAP::ValueArg<int> maxDelay("", "longest-delay-ms", "maximum delay of a delayed packet",
                                  false, 200, "ms", line);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed of all random choices", false, 1, "n",
                                        line);
    line.parse(argc, argv);

    boost::asio::io_context context(1);
    std::vector<common::Endpoint> services;
    std::ranges::transform(service.getValue(), std::back_inserter(services),
                           tools::endpointArgument);
    const tools::FaultRates rates { drop.getValue(), duplicate.getValue(), delay.getValue(),
                                    reorder.getValue(),
                                    std::chrono::milliseconds(maxDelay.getValue()) };
    tools::FabricRelay relay(context, services, tools::endpointArgument(reply.getValue()), rates,
                             seed.getValue());
    InstancePoller poller(context, tools::endpointArgument(platform.getValue()), relay);
    poller.poll();
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](auto, auto) { context.stop(); });
    context.run();
    std::cout << "program=fabric " << relay.report() << std::endl;
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception &failure) {
        std::cerr << "program=fabric error=\"" << failure.what() << "\"\n";
        return 1;
    }
}
