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

/// Worker threads over UDP sockets. Each worker has a socket for the fabric side and one for the
/// upstream side; the kernel spreads datagrams over the workers (SO_REUSEPORT). Datagrams that a
/// handler sends leave in one batch after the datagrams that were received together.
class UdpFrontend : public DatagramSink
{
public:
    struct Addresses
    {
        common::Endpoint fabricListen;
        common::Endpoint upstreamListen;
        /// Takes replies to callers.
        common::Endpoint fabric;
    };

    /// Called on a worker's thread for each datagram; sender is its source.
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
    std::atomic<bool> m_stopping { false };
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::vector<std::thread> m_threads;
};

} // namespace banyanwall::process
