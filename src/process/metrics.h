#pragma once

#include "common/ids.h"
#include "common/reason.h"
#include "common/time.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace banyanwall::process {

/// Event counters without a reason label.
enum class Counter {
    FabricDatagrams,
    UpstreamDatagrams,
    PacketsToUpstream,
    PacketsToFabric,
    PacketsRelayed,
    RequestsReceived,
    RequestsDispatched,
    AnswersDelivered,
    FlowsReset,
    SendErrors,
    ControlBytesSent,
    ControlBytesReceived,
    RelayBytesSent,
    RelayBytesReceived,
    StoreCalls,
};

/// Counters and histograms of one instance. Thread-safe.
class Metrics
{
public:
    static constexpr std::size_t CounterCount = static_cast<std::size_t>(Counter::StoreCalls) + 1;
    static constexpr std::size_t ReasonCount =
            static_cast<std::size_t>(common::Reason::TooManyRequests) + 1;

    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    void count(Counter counter, std::uint64_t amount = 1);
    void countRefusal(common::Reason reason);
    void countRetry(common::Reason reason);
    /// Adds the time from the dispatch of a request to its answer to the latency histogram.
    void observeLatency(common::Duration latency);
    /// Counts an opened flow or a dispatched request of an upstream, for sampleImbalance().
    void countLoad(common::ServiceId service, common::UpstreamId upstream);
    /// Adds one value to the imbalance histogram for each service that had load since the last
    /// call: the largest load of an upstream divided by the mean load of its upstreams with load.
    void sampleImbalance();

    [[nodiscard]] std::uint64_t value(Counter counter) const;
    [[nodiscard]] std::uint64_t refusals(common::Reason reason) const;
    [[nodiscard]] std::uint64_t retries(common::Reason reason) const;
    /// Prometheus text exposition format.
    [[nodiscard]] std::string prometheusText() const;

private:
    struct Histograms;

    std::array<std::atomic<std::uint64_t>, CounterCount> m_counters {};
    std::array<std::atomic<std::uint64_t>, ReasonCount> m_refusals {};
    std::array<std::atomic<std::uint64_t>, ReasonCount> m_retries {};
    std::unique_ptr<Histograms> m_histograms;
    std::mutex m_loadMutex;
    std::map<common::ServiceId, std::map<common::UpstreamId, std::uint64_t>> m_load;
};

/// CPU time that this process has used since its start.
[[nodiscard]] common::Duration processCpuTime();

} // namespace banyanwall::process
