#include "process/metrics.h"

#include <boost/histogram.hpp>

#include <algorithm>
#include <ctime>
#include <sstream>
#include <string_view>
#include <vector>

namespace banyanwall::process {

namespace {

namespace histogram = boost::histogram;

using Cell = histogram::accumulators::count<std::uint64_t, true>;
using Axis = histogram::axis::variable<double>;
using Histogram = histogram::histogram<std::tuple<Axis>, histogram::dense_storage<Cell>>;

// Bucket boundaries in seconds. The usual latencies in the contract lie between 1 ms and 10 s.
const std::vector<double> LatencyBounds { 0.0, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05,
                                          0.1, 0.25,  0.5,    1.0,   2.5,  5.0,   10.0 };
// Bucket boundaries of largest load divided by mean load.
const std::vector<double> ImbalanceBounds { 0.0, 1.01, 1.05, 1.1, 1.25, 1.5, 2.0, 3.0, 5.0, 10.0 };

constexpr std::array<std::string_view, Metrics::CounterCount> CounterNames {
    "fabric_datagrams", "upstream_datagrams",   "packets_to_upstream", "packets_to_fabric",
    "packets_relayed",  "requests_received",    "requests_dispatched", "answers_delivered",
    "flows_reset",      "send_errors",          "control_bytes_sent",  "control_bytes_received",
    "relay_bytes_sent", "relay_bytes_received", "store_calls",
};

/// A histogram and the sum of its values, which the Prometheus text format requires.
struct Series
{
    explicit Series(const std::vector<double> &bounds)
        : cells(std::tuple(Axis(bounds)), histogram::dense_storage<Cell>())
    { }

    void observe(double value)
    {
        cells(value);
        sumMicros += static_cast<std::uint64_t>(value * 1e6);
    }

    void print(std::ostream &out, std::string_view name) const
    {
        std::uint64_t cumulative = 0;
        out << "# TYPE banyanwall_" << name << " histogram\n";
        for (const auto &cell : histogram::indexed(cells, histogram::coverage::inner)) {
            cumulative += (*cell).value();
            out << "banyanwall_" << name << "_bucket{le=\"" << cell.bin().upper() << "\"} "
                << cumulative << "\n";
        }
        cumulative += cells.at(cells.axis().size()).value();
        out << "banyanwall_" << name << "_bucket{le=\"+Inf\"} " << cumulative << "\n"
            << "banyanwall_" << name << "_sum " << static_cast<double>(sumMicros.load()) / 1e6
            << "\n"
            << "banyanwall_" << name << "_count " << cumulative << "\n";
    }

    Histogram cells;
    std::atomic<std::uint64_t> sumMicros { 0 };
};

template<typename Values>
void printByReason(std::ostream &out, std::string_view name, const Values &values)
{
    out << "# TYPE banyanwall_" << name << "_total counter\n";
    for (std::size_t index = 0; index < values.size(); ++index) {
        out << "banyanwall_" << name << "_total{reason=\""
            << common::toString(static_cast<common::Reason>(index)) << "\"} "
            << values.at(index).load() << "\n";
    }
}

} // namespace

struct Metrics::Histograms
{
    Series latency { LatencyBounds };
    Series imbalance { ImbalanceBounds };
};

Metrics::Metrics()
    : m_histograms(std::make_unique<Histograms>())
{ }

Metrics::~Metrics() = default;

void Metrics::count(Counter counter, std::uint64_t amount)
{
    m_counters.at(static_cast<std::size_t>(counter)).fetch_add(amount, std::memory_order_relaxed);
}

void Metrics::countRefusal(common::Reason reason)
{
    m_refusals.at(static_cast<std::size_t>(reason)).fetch_add(1, std::memory_order_relaxed);
}

void Metrics::countRetry(common::Reason reason)
{
    m_retries.at(static_cast<std::size_t>(reason)).fetch_add(1, std::memory_order_relaxed);
}

void Metrics::observeLatency(common::Duration latency)
{
    m_histograms->latency.observe(std::chrono::duration<double>(latency).count());
}

void Metrics::countLoad(common::ServiceId service, common::UpstreamId upstream)
{
    const std::lock_guard lock(m_loadMutex);
    ++m_load[service][upstream];
}

void Metrics::sampleImbalance()
{
    decltype(m_load) load;
    {
        const std::lock_guard lock(m_loadMutex);
        load.swap(m_load);
    }
    for (const auto &[service, upstreams] : load) {
        std::uint64_t total = 0;
        std::uint64_t largest = 0;
        for (const auto &[upstream, count] : upstreams) {
            total += count;
            largest = std::max(largest, count);
        }
        const auto mean = static_cast<double>(total) / static_cast<double>(upstreams.size());
        m_histograms->imbalance.observe(static_cast<double>(largest) / mean);
    }
}

std::uint64_t Metrics::value(Counter counter) const
{
    return m_counters.at(static_cast<std::size_t>(counter)).load();
}

std::uint64_t Metrics::refusals(common::Reason reason) const
{
    return m_refusals.at(static_cast<std::size_t>(reason)).load();
}

std::uint64_t Metrics::retries(common::Reason reason) const
{
    return m_retries.at(static_cast<std::size_t>(reason)).load();
}

std::string Metrics::prometheusText() const
{
    std::ostringstream out;
    for (std::size_t index = 0; index < CounterCount; ++index) {
        out << "# TYPE banyanwall_" << CounterNames.at(index) << "_total counter\n"
            << "banyanwall_" << CounterNames.at(index) << "_total " << m_counters.at(index).load()
            << "\n";
    }
    printByReason(out, "refusals", m_refusals);
    printByReason(out, "retries", m_retries);
    m_histograms->latency.print(out, "request_latency_seconds");
    m_histograms->imbalance.print(out, "load_imbalance_ratio");
    out << "# TYPE banyanwall_cpu_seconds_total counter\nbanyanwall_cpu_seconds_total "
        << std::chrono::duration<double>(processCpuTime()).count() << "\n";
    return out.str();
}

common::Duration processCpuTime()
{
    timespec used {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return std::chrono::seconds(used.tv_sec)
            + std::chrono::duration_cast<common::Duration>(std::chrono::nanoseconds(used.tv_nsec));
}

} // namespace banyanwall::process
