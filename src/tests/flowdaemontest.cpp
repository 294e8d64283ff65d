#include "process/flowdaemon.h"
#include "process/shutdowntiming.h"

#include <CppUTest/TestHarness.h>
#include <boost/asio/ip/tcp.hpp>

#include <unistd.h>

#include <csignal>
#include <functional>
#include <stdexcept>
#include <thread>

using namespace banyanwall;
using namespace std::chrono_literals;
using boost::asio::ip::udp;
using connection::FlowPacket;

namespace {

const common::ServiceId Service { 1 };
const common::ZoneId Zone { 1 };
// An address of its own for each process, so that no other program uses its ports: 127.64.0.0 and
// the lower bits of the process id.
const std::uint32_t Loopback = 0x7f400000U | (static_cast<std::uint32_t>(::getpid()) & 0x3fffffU);
constexpr std::uint16_t TrafficPort = 20'001;
constexpr std::uint16_t PeerPort = 20'002;
constexpr std::uint16_t AdminPort = 20'003;
constexpr std::uint8_t OpeningByte = 'o';
/// The first byte of packets whose handler throws.
constexpr std::uint8_t ThrowingByte = 't';

common::Endpoint endpointOf(const udp::socket &socket)
{
    return { Loopback, socket.local_endpoint().port() };
}

/// Store with a fixed directory. It does not report changes.
class FixedStore : public process::FleetStore
{
public:
    FixedStore(boost::asio::io_context &context, version::DirectoryDelta delta)
        : m_context(context)
        , m_delta(std::move(delta))
    { }

    void readAll(AnswerHandler handler) override
    {
        boost::asio::post(m_context, [this, handler = std::move(handler)] {
            handler(process::StoreUpdate { m_delta, 0 });
        });
    }

    void watch(version::StorePosition, std::chrono::milliseconds, AnswerHandler) override { }

    void registerMember(const version::MemberRecord &, WriteHandler) override { }

    void removeMember(const version::MemberRecord &, version::StorePosition, WriteHandler) override
    { }

private:
    boost::asio::io_context &m_context;
    version::DirectoryDelta m_delta;
};

/// Each packet is an opening packet to one address; the first byte selects whether decoding throws.
class ThrowingFormat : public process::PacketFormat
{
public:
    std::optional<FlowPacket> decode(std::span<const std::uint8_t> packet) const override
    {
        if (packet.front() == ThrowingByte) {
            throw std::runtime_error("unexpected");
        }
        return FlowPacket { .caller = { Loopback, 9 }, .service = { 1, 1 }, .opens = true };
    }

    void address(std::span<std::uint8_t>, common::UpstreamSerial, common::FlowToken) const override
    { }

    std::string_view requestIdOf(std::span<const std::uint8_t>) const override { return {}; }

    Reset resetOf(const FlowPacket &) const override { return {}; }
};

} // namespace

TEST_GROUP(FlowDaemon)
{
    boost::asio::io_context context { 1 };
    udp::socket upstream { context, udp::endpoint(boost::asio::ip::address_v4(Loopback), 0) };
    udp::socket caller { context, udp::endpoint(boost::asio::ip::address_v4(Loopback), 0) };
    process::FlowSettingsFile file { "" };
    process::Metrics metrics;
    ThrowingFormat format;
    boost::asio::steady_timer step { context };
    process::FlowSettings settings;

    void setup() override
    {
        settings.name = "instance";
        settings.zone = "zone-a";
        settings.trafficListen = { Loopback, TrafficPort };
        settings.peerListen = { Loopback, PeerPort };
        settings.peerAdvertised = settings.peerListen;
        settings.adminListen = { Loopback, AdminPort };
        settings.shutdownGrace = 2s;
        settings.logLevel = "error";
    }

    version::DirectoryDelta directory() const
    {
        const version::RulesRecord rules { .version = 1,
                                           .routes = { { { 1, 1 }, { { Service, 1 } }, true } },
                                           .services = { { .service = Service } } };
        const version::UpstreamRecord record { .serial = common::UpstreamSerial(1),
                                               .service = Service,
                                               .endpoint = endpointOf(upstream),
                                               .zone = Zone };
        return { {},
                 common::StoreRevision(1),
                 true,
                 { { version::keyOf(rules), common::StoreRevision(1), rules },
                   { version::keyOf(record), common::StoreRevision(1), record } } };
    }

    void send(std::uint8_t firstByte)
    {
        const std::array<std::uint8_t, process::PacketFormat::HeaderBytes> packet { firstByte };
        caller.send_to(boost::asio::buffer(packet),
                       { boost::asio::ip::address_v4(Loopback), settings.trafficListen.port });
    }

    /// Runs a daemon, calls the function after 300 ms, and stops the daemon after 300 ms more.
    void runDaemon(const std::function<void()> &function)
    {
        FixedStore store(context, directory());
        process::FlowDaemon daemon(context, settings, file, store, format, metrics);
        step.expires_after(300ms);
        step.async_wait([&](auto) {
            function();
            step.expires_after(300ms);
            step.async_wait([](auto) { std::raise(SIGTERM); });
        });
        daemon.run();
    }
};

// Guards against a process that ends, or stops to forward, because of one packet or peer message
// whose handler throws an exception.
TEST(FlowDaemon, exceptionOfAHandlerCostsOnePacket)
{
    runDaemon([this] {
        send(ThrowingByte);
        send(OpeningByte);
        send(ThrowingByte);
        send(OpeningByte);
    });
    LONGS_EQUAL(2, metrics.refusals(common::Reason::InternalError));
    LONGS_EQUAL(2, metrics.value(process::Counter::PacketsToUpstream));
}

// An instance that was frozen reads heartbeats of the time before. It took their ages for those of
// now, so that instances of a cut-off zone believed that the zone was in contact again.
TEST(FlowDaemon, heartbeatsThatWaitedDuringAStallAreDropped)
{
    const auto sendHeartbeat = [this] {
        wire::proto::DirectoryMessage message;
        message.mutable_assurance()->set_zone(Zone.value());
        message.mutable_assurance()->set_leading(true);
        caller.send_to(boost::asio::buffer(message.SerializeAsString()),
                       { boost::asio::ip::address_v4(Loopback), settings.peerListen.port });
    };
    runDaemon([&] {
        sendHeartbeat();
        sendHeartbeat();
        std::this_thread::sleep_for(1'200ms);
    });
    LONGS_EQUAL(2, metrics.refusals(common::Reason::StalePacket));
    LONGS_EQUAL(0, metrics.refusals(common::Reason::InternalError));
}

// Guards against packets of callers that are lost because the process stops to forward at SIGTERM,
// while the fabric still sends to it.
TEST(FlowDaemon, packetsAreForwardedAfterTheRequestToStop)
{
    std::function<void(int)> sendEvery100ms = [&](int remaining) {
        send(OpeningByte);
        if (remaining > 0) {
            step.expires_after(100ms);
            step.async_wait([&, remaining](auto) { sendEvery100ms(remaining - 1); });
        }
    };
    FixedStore store(context, directory());
    process::FlowDaemon daemon(context, settings, file, store, format, metrics);
    step.expires_after(300ms);
    step.async_wait([&](auto) {
        std::raise(SIGTERM);
        sendEvery100ms(9);
    });
    daemon.run();
    LONGS_EQUAL(10, metrics.value(process::Counter::PacketsToUpstream));
}

// A platform's grace time may be shorter than the time that the process needs to exit. Guards
// against an instance that then stops to forward at SIGTERM, while the fabric still sends to it, or
// that is killed because it does not exit in time.
TEST(FlowDaemon, shortGraceTimeIsDividedBetweenForwardingAndExit)
{
    const auto forwards = [](std::chrono::milliseconds grace) {
        return process::longestForwarding(grace).count();
    };
    LONGS_EQUAL(5'400, forwards(6s));
    LONGS_EQUAL(1'100, forwards(1'700ms));
    LONGS_EQUAL(600, forwards(1'200ms));
    LONGS_EQUAL(500, forwards(1s));
    LONGS_EQUAL(250, forwards(500ms));
    LONGS_EQUAL(0, forwards(0ms));
}
