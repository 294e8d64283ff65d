#pragma once

#include "common/endpoint.h"
#include "process/metrics.h"
#include "process/sinks.h"
#include "wire/peercodec.h"

#include <zmq.hpp>

#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace banyanwall::process {

/// Messages between instances over ZeroMQ. One ROUTER socket receives; each instance that messages
/// are sent to has a DEALER socket.
///
/// The first message to an instance opens its DEALER. The socket is closed after IdleTimeout
/// without a message to send. When the peer does not answer keep-alives for ConnectionTimeout,
/// ZeroMQ connects again. All sockets belong to one thread, which signs, sends, verifies and
/// delivers messages; toPeer() and toAddress() only queue them.
class PeerTransport : public PeerSink
{
public:
    /// Called on the transport's thread for each verified message.
    using Handler = std::function<void(wire::VerifiedMessage)>;

    static constexpr common::Duration IdleTimeout = std::chrono::seconds(60);
    static constexpr std::chrono::milliseconds ConnectionTimeout { 2'000 };
    /// Messages that wait for one peer; further messages are dropped. Bounds the memory while a
    /// peer is unreachable.
    static constexpr int MaxQueuedMessages = 10'000;

    PeerTransport(common::Endpoint listen, wire::PeerCodec codec, Metrics &metrics,
                  Handler handler);
    ~PeerTransport() override;
    PeerTransport(const PeerTransport &) = delete;
    PeerTransport &operator=(const PeerTransport &) = delete;

    /// Throws zmq::error_t when the endpoint cannot be bound.
    void start();
    void stop();
    void setAddresses(std::map<common::InstanceId, common::Endpoint> addresses);

    void toPeer(common::InstanceId peer, const wire::proto::PeerMessage &message) override;
    void toAddress(common::Endpoint address, const wire::proto::PeerMessage &message) override;

private:
    struct Outgoing
    {
        common::Endpoint address;
        wire::proto::PeerMessage message;
    };

    struct Connection
    {
        zmq::socket_t socket;
        std::chrono::steady_clock::time_point lastUsed;
    };

    void run();
    void wake() const;
    void sendQueued();
    void send(const Outgoing &outgoing);
    void receive();
    void closeIdle();
    /// Logs the bytes sent by kind of message, because the metrics only give totals.
    void logSentBytes() const;
    Connection &connectionTo(common::Endpoint address);

    common::Endpoint m_listen;
    wire::PeerCodec m_codec;
    Metrics &m_metrics;
    Handler m_handler;
    zmq::context_t m_context;
    zmq::socket_t m_router;
    std::map<common::Endpoint, Connection> m_connections;
    /// Key: field number of the message body. Used only by the thread of the transport.
    std::map<int, std::uint64_t> m_sentBytesByKind;
    int m_wakeDescriptor = -1;
    std::thread m_thread;
    std::mutex m_mutex;
    bool m_isStopping = false;
    std::deque<Outgoing> m_queue;
    std::map<common::InstanceId, common::Endpoint> m_addresses;
};

} // namespace banyanwall::process
