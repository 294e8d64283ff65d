#include "process/peertransport.h"

#include "process/logging.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <system_error>

namespace banyanwall::process {

namespace {

constexpr std::chrono::milliseconds PollInterval { 1'000 };
// Time for messages that are still queued when stop() closes the sockets, such as the leave
// message.
constexpr int LingerMilliseconds = 500;
constexpr int KeepAliveMilliseconds = 1'000;
// The largest message is a catalogue push with documents of up to 1 MB each.
constexpr std::int64_t MaxMessageBytes = 8L * 1024 * 1024;
constexpr std::size_t MaxMessagesPerPass = 1'024;

std::string urlOf(common::Endpoint endpoint)
{
    return "tcp://" + common::toString(endpoint);
}

bool isRelay(const wire::proto::PeerMessage &message)
{
    return message.has_relay() || message.has_request_relay();
}

} // namespace

PeerTransport::PeerTransport(common::Endpoint listen, wire::PeerCodec codec, Metrics &metrics,
                             Handler handler)
    : m_listen(listen)
    , m_codec(std::move(codec))
    , m_metrics(metrics)
    , m_handler(std::move(handler))
    , m_context(1)
    , m_router(m_context, zmq::socket_type::router)
    , m_wakeDescriptor(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    if (m_wakeDescriptor < 0) {
        throw std::system_error(errno, std::generic_category(), "eventfd");
    }
}

PeerTransport::~PeerTransport()
{
    stop();
    close(m_wakeDescriptor);
}

void PeerTransport::start()
{
    m_router.set(zmq::sockopt::linger, 0);
    m_router.set(zmq::sockopt::rcvhwm, MaxQueuedMessages);
    m_router.set(zmq::sockopt::maxmsgsize, MaxMessageBytes);
    m_router.bind(urlOf(m_listen));
    m_thread = std::thread([this] { run(); });
}

void PeerTransport::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    wake();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void PeerTransport::setAddresses(std::map<common::InstanceId, common::Endpoint> addresses)
{
    const std::lock_guard lock(m_mutex);
    m_addresses = std::move(addresses);
}

void PeerTransport::toPeer(common::InstanceId peer, const wire::proto::PeerMessage &message)
{
    {
        const std::lock_guard lock(m_mutex);
        const auto address = m_addresses.find(peer);
        if (address == m_addresses.end()) {
            m_metrics.countRefusal(common::Reason::UnknownPeer);
            return;
        }
        m_queue.push_back({ address->second, message });
        if (m_queue.size() > 1) {
            return;
        }
    }
    wake();
}

void PeerTransport::toAddress(common::Endpoint address, const wire::proto::PeerMessage &message)
{
    {
        const std::lock_guard lock(m_mutex);
        m_queue.push_back({ address, message });
    }
    wake();
}

void PeerTransport::wake() const
{
    const std::uint64_t one = 1;
    // The write only fails when the counter is full; a wake-up is pending then.
    [[maybe_unused]] const auto written = write(m_wakeDescriptor, &one, sizeof one);
}

void PeerTransport::run()
{
    std::array<zmq::pollitem_t, 2> items { {
            { m_router.handle(), 0, ZMQ_POLLIN, 0 },
            { nullptr, m_wakeDescriptor, ZMQ_POLLIN, 0 },
    } };
    auto nextIdleCheck = std::chrono::steady_clock::now() + PollInterval;
    bool isStopping = false;
    while (!isStopping) {
        zmq::poll(items.data(), items.size(), PollInterval);
        std::uint64_t pending = 0;
        [[maybe_unused]] const auto drained = read(m_wakeDescriptor, &pending, sizeof pending);
        {
            const std::lock_guard lock(m_mutex);
            isStopping = m_isStopping;
        }
        sendQueued();
        receive();
        if (std::chrono::steady_clock::now() >= nextIdleCheck) {
            closeIdle();
            nextIdleCheck = std::chrono::steady_clock::now() + PollInterval;
        }
    }
    m_connections.clear();
    logSentBytes();
}

void PeerTransport::sendQueued()
{
    std::deque<Outgoing> queue;
    {
        const std::lock_guard lock(m_mutex);
        queue.swap(m_queue);
    }
    for (const auto &outgoing : queue) {
        send(outgoing);
    }
}

void PeerTransport::send(const Outgoing &outgoing)
{
    const auto bytes = m_codec.encode(outgoing.message);
    auto &connection = connectionTo(outgoing.address);
    connection.lastUsed = std::chrono::steady_clock::now();
    if (!connection.socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait)) {
        m_metrics.count(Counter::SendErrors);
        return;
    }
    m_metrics.count(isRelay(outgoing.message) ? Counter::RelayBytesSent : Counter::ControlBytesSent,
                    bytes.size());
    m_sentBytesByKind[outgoing.message.body_case()] += bytes.size();
}

void PeerTransport::logSentBytes() const
{
    LogEvent event(LogLevel::Info, "peer_bytes_sent");
    const auto *descriptor = wire::proto::PeerMessage::descriptor();
    for (const auto &[number, bytes] : m_sentBytesByKind) {
        if (const auto *field = descriptor->FindFieldByNumber(number)) {
            event.with(field->name(), bytes);
        }
    }
}

void PeerTransport::receive()
{
    for (std::size_t count = 0; count < MaxMessagesPerPass; ++count) {
        zmq::message_t part;
        if (!m_router.recv(part, zmq::recv_flags::dontwait)) {
            return;
        }
        // ZeroMQ adds the first part, which identifies the connection. The sender's message is
        // exactly one further part.
        bool isWellFormed = false;
        for (std::size_t parts = 1; part.more(); ++parts) {
            isWellFormed = parts == 1;
            if (!m_router.recv(part, zmq::recv_flags::dontwait)) {
                return;
            }
        }
        auto decoded = isWellFormed
                ? m_codec.decode(part.to_string_view())
                : wire::Decoded<wire::VerifiedMessage>(common::Reason::MalformedPacket);
        if (const auto *reason = std::get_if<common::Reason>(&decoded)) {
            m_metrics.countRefusal(*reason);
            continue;
        }
        auto &verified = std::get<wire::VerifiedMessage>(decoded);
        m_metrics.count(isRelay(verified.message) ? Counter::RelayBytesReceived
                                                  : Counter::ControlBytesReceived,
                        part.size());
        m_handler(std::move(verified));
    }
}

void PeerTransport::closeIdle()
{
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(m_connections,
                  [&](const auto &entry) { return now - entry.second.lastUsed > IdleTimeout; });
}

PeerTransport::Connection &PeerTransport::connectionTo(common::Endpoint address)
{
    const auto known = m_connections.find(address);
    if (known != m_connections.end()) {
        return known->second;
    }
    zmq::socket_t socket(m_context, zmq::socket_type::dealer);
    socket.set(zmq::sockopt::linger, LingerMilliseconds);
    socket.set(zmq::sockopt::sndhwm, MaxQueuedMessages);
    // ZeroMQ closes a connection whose peer does not answer these pings, and connects again.
    socket.set(zmq::sockopt::heartbeat_ivl, KeepAliveMilliseconds);
    socket.set(zmq::sockopt::heartbeat_timeout, static_cast<int>(ConnectionTimeout.count()));
    socket.set(zmq::sockopt::connect_timeout, static_cast<int>(ConnectionTimeout.count()));
    socket.connect(urlOf(address));
    return m_connections.emplace(address, Connection { std::move(socket), {} }).first->second;
}

} // namespace banyanwall::process
