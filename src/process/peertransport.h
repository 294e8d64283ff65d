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

/// Messages between instances over ZeroMQ: one ROUTER for what arrives and one DEALER for each
/// instance that this one sends to.
///
/// A DEALER is opened on the first message, closed after IdleLimit without one, and re-dialled by
/// the keep-alive of its connection after SilenceLimit. All sockets belong to one thread, which
/// signs, verifies and delivers; senders only queue.
class PeerTransport : public PeerSink
{
public:
    /// Called on the transport's thread for each verified message.
    using Handler = std::function<void(wire::VerifiedMessage)>;

    static constexpr common::Duration IdleLimit = std::chrono::seconds(60);
    static constexpr std::chrono::milliseconds SilenceLimit { 2'000 };
    /// Messages that wait for one peer; more are dropped. Bounds memory while a peer is gone.
    static constexpr int QueuedMessages = 10'000;

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
        std::chrono::steady_clock::time_point used;
    };

    void run();
    void wake() const;
    void sendQueued();
    void send(const Outgoing &outgoing);
    void receive();
    void closeIdle();
    /// One line with the bytes sent by kind of message, to tell what the counters add up.
    void logSentBytes() const;
    Connection &connectionTo(common::Endpoint address);

    common::Endpoint m_listen;
    wire::PeerCodec m_codec;
    Metrics &m_metrics;
    Handler m_handler;
    zmq::context_t m_context;
    zmq::socket_t m_router;
    std::map<common::Endpoint, Connection> m_connections;
    /// By field number of the body. Used by the transport's thread only.
    std::map<int, std::uint64_t> m_sentBytes;
    int m_wakeDescriptor = -1;
    std::thread m_thread;
    std::mutex m_mutex;
    bool m_stopping = false;
    std::deque<Outgoing> m_queue;
    std::map<common::InstanceId, common::Endpoint> m_addresses;
};

} // namespace banyanwall::process
