#pragma once

#include "common/endpoint.h"
#include "common/time.h"
#include "process/metrics.h"
#include "process/sinks.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <thread>
#include <vector>

namespace banyanwall::process {

/// Worker threads that receive and send UDP datagrams. Each worker has a socket for the fabric and
/// one for the upstreams; the kernel distributes datagrams to the workers (SO_REUSEPORT). A worker
/// receives datagrams in batches, and sends those of its handlers in one batch afterwards.
class UdpFrontend : public DatagramSink
{
public:
    struct Addresses
    {
        common::Endpoint fabricListen;
        common::Endpoint upstreamListen;
        /// Receives the replies to callers.
        common::Endpoint fabric;
    };

    /// Called on the thread of a worker for each datagram. sender is the source address.
    using Handler = std::function<void(std::string_view bytes, common::Endpoint sender,
                                       common::TimePoint now)>;

    UdpFrontend(Addresses addresses, std::uint32_t workers, Metrics &metrics, Handler onFabric,
                Handler onUpstream);
    ~UdpFrontend() override;
    UdpFrontend(const UdpFrontend &) = delete;
    UdpFrontend &operator=(const UdpFrontend &) = delete;

    /// Throws std::system_error when an endpoint cannot be bound.
    void start();
    void stop();

    void toUpstream(common::Endpoint upstream, std::string bytes) override;
    void toFabric(std::string bytes) override;

private:
    class Worker;

    Addresses m_addresses;
    Metrics &m_metrics;
    Handler m_onFabric;
    Handler m_onUpstream;
    std::uint32_t m_workerCount;
    std::atomic<bool> m_isStopping { false };
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::vector<std::thread> m_threads;
};

} // namespace banyanwall::process
