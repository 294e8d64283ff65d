#include "process/udpfrontend.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <system_error>

namespace banyanwall::process {

namespace {

constexpr std::size_t BatchSize = 64;
constexpr std::size_t BufferBytes = 65'536;
// Holds bursts that arrive while a worker is not scheduled.
constexpr int SocketBufferBytes = 4 * 1024 * 1024;
constexpr int PollMilliseconds = 200;

sockaddr_in toSocketAddress(common::Endpoint endpoint)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(endpoint.address);
    address.sin_port = htons(endpoint.port);
    return address;
}

common::Endpoint toEndpoint(const sockaddr_in &address)
{
    return { ntohl(address.sin_addr.s_addr), ntohs(address.sin_port) };
}

/// Bound UDP socket; closes its descriptor.
class BoundSocket
{
public:
    explicit BoundSocket(common::Endpoint endpoint)
        : m_descriptor(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0))
    {
        const int one = 1;
        setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEPORT, &one, sizeof one);
        setsockopt(m_descriptor, SOL_SOCKET, SO_RCVBUF, &SocketBufferBytes,
                   sizeof SocketBufferBytes);
        setsockopt(m_descriptor, SOL_SOCKET, SO_SNDBUF, &SocketBufferBytes,
                   sizeof SocketBufferBytes);
        const auto address = toSocketAddress(endpoint);
        if (m_descriptor < 0
            || bind(m_descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address)
                    != 0) {
            const int error = errno;
            if (m_descriptor >= 0) {
                close(m_descriptor);
            }
            throw std::system_error(error, std::generic_category(),
                                    "UDP endpoint " + common::toString(endpoint));
        }
    }

    ~BoundSocket() { close(m_descriptor); }

    BoundSocket(const BoundSocket &) = delete;
    BoundSocket &operator=(const BoundSocket &) = delete;

    [[nodiscard]] int descriptor() const { return m_descriptor; }

private:
    int m_descriptor;
};

/// Datagrams that are sent by one sendmmsg call.
class SendBatch
{
public:
    void add(common::Endpoint target, std::string bytes)
    {
        m_targets.at(m_size) = toSocketAddress(target);
        m_payloads.at(m_size) = std::move(bytes);
        ++m_size;
    }

    [[nodiscard]] bool isFull() const { return m_size == BatchSize; }

    void flush(int descriptor, Metrics &metrics)
    {
        for (std::size_t index = 0; index < m_size; ++index) {
            m_vectors.at(index) = { m_payloads.at(index).data(), m_payloads.at(index).size() };
            m_headers.at(index) = {};
            m_headers.at(index).msg_hdr.msg_name = &m_targets.at(index);
            m_headers.at(index).msg_hdr.msg_namelen = sizeof(sockaddr_in);
            m_headers.at(index).msg_hdr.msg_iov = &m_vectors.at(index);
            m_headers.at(index).msg_hdr.msg_iovlen = 1;
        }
        for (std::size_t sent = 0; sent < m_size;) {
            const int count = sendmmsg(descriptor, &m_headers.at(sent),
                                       static_cast<unsigned int>(m_size - sent), 0);
            if (count <= 0) {
                // Skips the datagram that cannot be sent, so that the following ones are sent.
                metrics.count(Counter::SendErrors);
            }
            sent += count <= 0 ? 1 : static_cast<std::size_t>(count);
        }
        m_size = 0;
    }

private:
    std::size_t m_size = 0;
    std::array<sockaddr_in, BatchSize> m_targets {};
    std::array<std::string, BatchSize> m_payloads;
    std::array<iovec, BatchSize> m_vectors {};
    std::array<mmsghdr, BatchSize> m_headers {};
};

} // namespace

class UdpFrontend::Worker
{
public:
    Worker(const Addresses &addresses, Metrics &metrics)
        : m_metrics(metrics)
        , m_fabricAddress(addresses.fabric)
        , m_fabric(addresses.fabricListen)
        , m_upstream(addresses.upstreamListen)
        , m_buffers(BatchSize * BufferBytes)
    {
        for (std::size_t index = 0; index < BatchSize; ++index) {
            m_vectors.at(index) = { m_buffers.data() + index * BufferBytes, BufferBytes };
        }
    }

    /// The worker of the calling thread; null on other threads.
    static thread_local Worker *current;

    void run(const std::atomic<bool> &isStopping, const Handler &onFabric,
             const Handler &onUpstream)
    {
        current = this;
        std::array<pollfd, 2> descriptors { { { m_fabric.descriptor(), POLLIN, 0 },
                                              { m_upstream.descriptor(), POLLIN, 0 } } };
        while (!isStopping.load(std::memory_order_relaxed)) {
            if (poll(descriptors.data(), descriptors.size(), PollMilliseconds) <= 0) {
                continue;
            }
            if (descriptors[0].revents != 0) {
                receive(m_fabric, Counter::FabricDatagrams, onFabric);
            }
            if (descriptors[1].revents != 0) {
                receive(m_upstream, Counter::UpstreamDatagrams, onUpstream);
            }
            m_toUpstream.flush(m_upstream.descriptor(), m_metrics);
            m_toFabric.flush(m_fabric.descriptor(), m_metrics);
        }
        current = nullptr;
    }

    void queueToUpstream(common::Endpoint upstream, std::string bytes)
    {
        if (m_toUpstream.isFull()) {
            m_toUpstream.flush(m_upstream.descriptor(), m_metrics);
        }
        m_toUpstream.add(upstream, std::move(bytes));
    }

    void queueToFabric(std::string bytes)
    {
        if (m_toFabric.isFull()) {
            m_toFabric.flush(m_fabric.descriptor(), m_metrics);
        }
        m_toFabric.add(m_fabricAddress, std::move(bytes));
    }

    /// Called by threads other than the workers; the kernel serialises calls on one socket.
    void sendToUpstream(common::Endpoint upstream, const std::string &bytes)
    {
        sendNow(m_upstream, upstream, bytes);
    }

    void sendToFabric(const std::string &bytes) { sendNow(m_fabric, m_fabricAddress, bytes); }

private:
    void sendNow(const BoundSocket &socket, common::Endpoint target, const std::string &bytes)
    {
        const auto address = toSocketAddress(target);
        if (sendto(socket.descriptor(), bytes.data(), bytes.size(), 0,
                   reinterpret_cast<const sockaddr *>(&address), sizeof address)
            < 0) {
            m_metrics.count(Counter::SendErrors);
        }
    }

    void receive(const BoundSocket &socket, Counter counter, const Handler &handler)
    {
        for (std::size_t index = 0; index < BatchSize; ++index) {
            m_headers.at(index) = {};
            m_headers.at(index).msg_hdr.msg_name = &m_sources.at(index);
            m_headers.at(index).msg_hdr.msg_namelen = sizeof(sockaddr_in);
            m_headers.at(index).msg_hdr.msg_iov = &m_vectors.at(index);
            m_headers.at(index).msg_hdr.msg_iovlen = 1;
        }
        const int count =
                recvmmsg(socket.descriptor(), m_headers.data(), BatchSize, MSG_DONTWAIT, nullptr);
        if (count <= 0) {
            return;
        }
        m_metrics.count(counter, static_cast<std::uint64_t>(count));
        // The clock is read after the datagrams, so that the time includes a pause of the process.
        const auto now =
                std::chrono::time_point_cast<common::Duration>(std::chrono::steady_clock::now());
        for (std::size_t index = 0; index < static_cast<std::size_t>(count); ++index) {
            const auto &header = m_headers.at(index);
            handler({ static_cast<const char *>(m_vectors.at(index).iov_base), header.msg_len },
                    toEndpoint(m_sources.at(index)), now);
        }
    }

    Metrics &m_metrics;
    common::Endpoint m_fabricAddress;
    BoundSocket m_fabric;
    BoundSocket m_upstream;
    std::vector<char> m_buffers;
    std::array<iovec, BatchSize> m_vectors {};
    std::array<mmsghdr, BatchSize> m_headers {};
    std::array<sockaddr_in, BatchSize> m_sources {};
    SendBatch m_toUpstream;
    SendBatch m_toFabric;
};

thread_local UdpFrontend::Worker *UdpFrontend::Worker::current = nullptr;

UdpFrontend::UdpFrontend(Addresses addresses, std::uint32_t workers, Metrics &metrics,
                         Handler onFabric, Handler onUpstream)
    : m_addresses(addresses)
    , m_metrics(metrics)
    , m_onFabric(std::move(onFabric))
    , m_onUpstream(std::move(onUpstream))
    , m_workerCount(workers)
{ }

UdpFrontend::~UdpFrontend()
{
    stop();
}

void UdpFrontend::start()
{
    for (std::uint32_t index = 0; index < m_workerCount; ++index) {
        m_workers.push_back(std::make_unique<Worker>(m_addresses, m_metrics));
    }
    for (const auto &worker : m_workers) {
        m_threads.emplace_back(
                [this, &worker] { worker->run(m_isStopping, m_onFabric, m_onUpstream); });
    }
}

void UdpFrontend::stop()
{
    m_isStopping = true;
    for (auto &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
}

void UdpFrontend::toUpstream(common::Endpoint upstream, std::string bytes)
{
    m_metrics.count(Counter::PacketsToUpstream);
    if (Worker::current != nullptr) {
        Worker::current->queueToUpstream(upstream, std::move(bytes));
    } else if (!m_workers.empty()) {
        m_workers.front()->sendToUpstream(upstream, bytes);
    }
}

void UdpFrontend::toFabric(std::string bytes)
{
    m_metrics.count(Counter::PacketsToFabric);
    if (Worker::current != nullptr) {
        Worker::current->queueToFabric(std::move(bytes));
    } else if (!m_workers.empty()) {
        m_workers.front()->sendToFabric(bytes);
    }
}

} // namespace banyanwall::process
