// Measures how many packets a relay process (a daemon, or a baseline that forwards datagrams
// unchanged) forwards per second of its processor time. Load: a window of packets in flight on
// the given number of open flows; the upstream answers each packet, and each answer triggers the
// next packet.
// scripts/relaybench.py starts the processes and runs this program on each. Prints one line with
// the forwarded packets in both directions, their rate in real time, the processor time of the
// relay, and packets per second of it.
#include "benchmarks/relayload.h"
#include "tools/arguments.h"

#include <boost/asio/steady_timer.hpp>
#include <tclap/CmdLine.h>

#include <unistd.h>

#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>

namespace {

using namespace banyanwall;
using namespace std::chrono_literals;

constexpr auto OpenTimeout = 30s;
// Opening packets that are not answered within this time are retransmitted.
constexpr auto OpenRetransmitInterval = 20ms;
constexpr auto WarmUp = 1s;
/// Lost packets are replaced when no answer has arrived for this time.
constexpr auto RefillInterval = 250ms;

/// Processor time of a process in seconds, from fields 14 and 15 of its stat file.
double processorSeconds(long process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/stat");
    std::string text;
    std::getline(file, text);
    const auto name = text.rfind(')');
    if (name == std::string::npos) {
        throw std::runtime_error("the process under test has ended");
    }
    std::istringstream fields(text.substr(name + 2));
    std::string skipped;
    for (int field = 3; field < 14; ++field) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

class RelayBenchmark
{
public:
    RelayBenchmark(const benchmarks::RelayLoadSettings &settings, long process,
                   std::chrono::seconds time)
        : m_load(m_context, settings)
        , m_process(process)
        , m_time(time)
    { }

    void run(const std::string &name)
    {
        const auto began = std::chrono::steady_clock::now();
        while (m_load.openMissing() > 0) {
            m_context.run_for(OpenRetransmitInterval);
            if (std::chrono::steady_clock::now() - began > OpenTimeout) {
                throw std::runtime_error("the flows do not open");
            }
        }
        m_load.fillWindow();
        runFor(WarmUp);
        const auto answers = m_load.answers();
        const auto processor = processorSeconds(m_process);
        const auto start = std::chrono::steady_clock::now();
        runFor(m_time);
        const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
        // The relay has forwarded two packets for each answer, one in each direction.
        const auto packets = 2.0 * static_cast<double>(m_load.answers() - answers);
        const auto used = processorSeconds(m_process) - processor;
        std::cout << "benchmark=relay relay=" << name << " packets=" << packets
                  << " packets_per_second=" << packets / elapsed.count()
                  << " processor_seconds=" << used
                  << " packets_per_core_second=" << (used > 0 ? packets / used : 0) << std::endl;
    }

private:
    void runFor(std::chrono::milliseconds time)
    {
        const auto end = std::chrono::steady_clock::now() + time;
        auto before = m_load.answers();
        while (std::chrono::steady_clock::now() < end) {
            m_context.run_for(RefillInterval);
            if (m_load.answers() == before) {
                m_load.fillWindow();
            }
            before = m_load.answers();
        }
    }

    boost::asio::io_context m_context { 1 };
    benchmarks::RelayLoad m_load;
    long m_process;
    std::chrono::seconds m_time;
};

int run(int argc, char **argv)
{
    TCLAP::CmdLine line("Loads one relay process and measures its processor time.", ' ', "0.1");
    TCLAP::ValueArg<std::string> name("", "name", "of the relay", true, "", "name", line);
    TCLAP::ValueArg<long> process("", "process", "id of the relay", true, 0, "pid", line);
    TCLAP::ValueArg<std::string> target("", "target", "fabric side of the relay", true, "",
                                        "ip:port", line);
    TCLAP::ValueArg<std::string> fabric("", "fabric", "own, receives answers", true, "", "ip:port",
                                        line);
    TCLAP::ValueArg<std::string> upstream("", "upstream", "own, plays the upstream", true, "",
                                          "ip:port", line);
    TCLAP::ValueArg<std::string> address("", "address", "of the service", true, "", "ip:port",
                                         line);
    TCLAP::ValueArg<std::uint32_t> flows("", "flows", "open flows", false, 1000, "n", line);
    TCLAP::ValueArg<std::uint32_t> window("", "window", "packets on the way", false, 64, "n", line);
    TCLAP::ValueArg<int> seconds("", "seconds", "of measurement", false, 5, "s", line);
    TCLAP::SwitchArg isBare("", "bare", "the relay does not look into packets", line);
    line.parse(argc, argv);
    benchmarks::RelayLoadSettings settings;
    settings.target = tools::endpointArgument(target.getValue());
    settings.fabric = tools::endpointArgument(fabric.getValue());
    settings.upstream = tools::endpointArgument(upstream.getValue());
    settings.serviceAddress = tools::endpointArgument(address.getValue());
    settings.flows = flows.getValue();
    settings.window = window.getValue();
    settings.isBare = isBare.getValue();
    RelayBenchmark(settings, process.getValue(), std::chrono::seconds(seconds.getValue()))
            .run(name.getValue());
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception &failure) {
        std::cerr << "benchmark=relay error=\"" << failure.what() << "\"\n";
        return 1;
    }
}
