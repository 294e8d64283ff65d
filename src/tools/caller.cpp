// caller: the load generator. Opens feeds to one service and sends requests to it.
#include "tools/arguments.h"
#include "tools/feedset.h"
#include "tools/requestset.h"
#include "tools/udpport.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <tclap/CmdLine.h>

#include <csignal>
#include <fstream>
#include <iostream>

namespace {

using namespace banyanwall;

constexpr std::chrono::milliseconds TickInterval { 5 };
constexpr std::chrono::seconds ProgressInterval { 5 };
constexpr std::uint32_t LoopbackAddress = 0x7f000001;

common::Duration milliseconds(int count)
{
    return std::chrono::milliseconds(count);
}

/// Runs the feeds and requests of one caller to one service over one socket.
class Caller
{
public:
    Caller(boost::asio::io_context &context, common::Endpoint service, tools::FeedSettings feeds,
           tools::RequestSettings requests, std::uint64_t seed)
        : m_context(context)
        , m_timer(context)
        , m_service(service)
        , m_feeds(std::move(feeds), seed)
        , m_requests(std::move(requests), seed)
        , m_port(context, { LoopbackAddress, 0 },
                 [this](std::string_view bytes, common::Endpoint) { onDatagram(bytes); })
    { }

    void run()
    {
        m_timer.expires_after(TickInterval);
        m_timer.async_wait([this](boost::system::error_code error) {
            if (!error) {
                tick();
            }
        });
    }

    /// Opens no more feeds and issues no more requests. The program ends when each pending request
    /// has a verdict or has expired.
    void stop()
    {
        m_isStopping = true;
        m_feeds.stop();
        m_requests.stop();
    }

    [[nodiscard]] boost::json::object toJson() const
    {
        return { { "malformed", m_malformed },
                 { "feeds", m_feeds.toJson() },
                 { "requests", m_requests.toJson() } };
    }

private:
    void tick()
    {
        const auto time = tools::ClockReading::current();
        for (auto &message : m_feeds.onTick(time.now, time.wall)) {
            m_port.send(wire::encode(std::move(message)), m_service);
        }
        for (auto &message : m_requests.onTick(time)) {
            m_port.send(wire::encode(std::move(message)), m_service);
        }
        if (time.now - m_lastProgress >= ProgressInterval) {
            m_lastProgress = time.now;
            printProgress();
        }
        if (m_isStopping && m_requests.pending() == 0) {
            m_context.stop();
            return;
        }
        run();
    }

    void onDatagram(std::string_view bytes)
    {
        const auto decoded = wire::decodeCallerMessage(bytes);
        if (!common::isOk(decoded)) {
            ++m_malformed;
            return;
        }
        const auto time = tools::ClockReading::current();
        const auto &message = common::valueOf(decoded);
        if (message.has_answer() || message.has_refusal()) {
            m_requests.onMessage(message, time);
        } else {
            m_feeds.onMessage(message, time.now, time.wall);
        }
    }

    void printProgress() const
    {
        const auto &feeds = m_feeds.counters();
        const auto &requests = m_requests.counters();
        std::cout << "program=caller open=" << m_feeds.openFeeds() << " opened=" << feeds.opened
                  << " broken=" << feeds.broken << " echoes=" << feeds.echoes
                  << " issued=" << requests.issued << " completed=" << requests.completed
                  << " not_run=" << requests.notRun << " may_have_run=" << requests.mayHaveRun
                  << " no_verdict=" << requests.noVerdict << std::endl;
    }

    boost::asio::io_context &m_context;
    boost::asio::steady_timer m_timer;
    common::Endpoint m_service;
    tools::FeedSet m_feeds;
    tools::RequestSet m_requests;
    tools::UdpPort m_port;
    std::uint64_t m_malformed = 0;
    common::TimePoint m_lastProgress {};
    bool m_isStopping = false;
};

int run(int argc, char **argv)
{
    TCLAP::CmdLine line("Opens feeds to a service and sends requests.", ' ', "0.1");
    TCLAP::ValueArg<std::string> name("", "service", "customer/service", true, "", "name", line);
    TCLAP::ValueArg<std::string> address("", "address", "service address", true, "", "ip:port",
                                         line);
    TCLAP::ValueArg<std::size_t> feeds("", "feeds", "number of feeds kept open", false, 0, "n",
                                       line);
    TCLAP::ValueArg<int> interval("", "interval-ms", "time between packets of a feed", false, 500,
                                  "ms", line);
    TCLAP::ValueArg<int> lifetime("", "lifetime-ms", "mean lifetime of a feed, 0 for no end", false,
                                  0, "ms", line);
    TCLAP::ValueArg<double> rate("", "requests", "requests per second", false, 0, "n", line);
    TCLAP::ValueArg<double> repeatable("", "repeatable", "share of repeatable requests", false, 0.5,
                                       "0..1", line);
    TCLAP::ValueArg<double> downloads("", "downloads", "share of downloads among the requests",
                                      false, 0, "0..1", line);
    TCLAP::ValueArg<std::size_t> downloadBytes("", "download-bytes", "size of a download", false,
                                               60'000, "bytes", line);
    TCLAP::ValueArg<int> deadline("", "deadline-ms",
                                  "time from the issue of a request to its deadline", false, 3000,
                                  "ms", line);
    TCLAP::ValueArg<std::string> output("", "output", "JSON report", true, "", "file", line);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "distinct for each caller", true, 1, "n", line);
    line.parse(argc, argv);

    tools::FeedSettings feedSettings;
    feedSettings.service = name.getValue();
    feedSettings.feeds = feeds.getValue();
    feedSettings.interval = milliseconds(interval.getValue());
    feedSettings.lifetime = milliseconds(lifetime.getValue());
    tools::RequestSettings requestSettings;
    requestSettings.service = name.getValue();
    requestSettings.perSecond = rate.getValue();
    requestSettings.repeatable = repeatable.getValue();
    requestSettings.downloads = downloads.getValue();
    requestSettings.downloadBytes = downloadBytes.getValue();
    requestSettings.deadline = milliseconds(deadline.getValue());

    boost::asio::io_context context(1);
    Caller caller(context, tools::endpointArgument(address.getValue()), feedSettings,
                  requestSettings, seed.getValue());
    caller.run();
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](auto, auto) { caller.stop(); });
    context.run();
    std::ofstream(output.getValue()) << boost::json::serialize(caller.toJson()) << '\n';
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception &failure) {
        std::cerr << "program=caller error=\"" << failure.what() << "\"\n";
        return 1;
    }
}
