#include "benchmarks/flowload.h"

namespace banyanwall::benchmarks {

namespace {

constexpr std::chrono::milliseconds HealthReportInterval { 20 };
constexpr std::chrono::milliseconds LoadReportInterval { 100 };

} // namespace

void FlowLoad::exchangeHealthReports()
{
    const auto perZone = static_cast<std::size_t>(m_sizes.instancesPerZone);
    for (std::size_t from = 0; from < m_instances.size(); ++from) {
        const auto reports = m_instances[from]->takeHealthReport(m_events.now());
        if (reports.isEmpty()) {
            continue;
        }
        const auto firstOfZone = from / perZone * perZone;
        for (auto to = firstOfZone; to < firstOfZone + perZone; ++to) {
            if (to != from) {
                const auto refutation = m_instances[to]->onReports(reports, m_events.now());
                m_instances[from]->onReports(refutation, m_events.now());
            }
        }
    }
    deliverResets();
    m_events.after(HealthReportInterval, [this] { exchangeHealthReports(); });
}

void FlowLoad::exchangeLoadReports()
{
    const auto perZone = static_cast<std::size_t>(m_sizes.instancesPerZone);
    for (std::size_t from = 0; from < m_instances.size(); ++from) {
        const auto report = m_instances[from]->takeLoadReport(m_events.now());
        if (!report) {
            continue;
        }
        const auto firstOfZone = from / perZone * perZone;
        for (auto to = firstOfZone; to < firstOfZone + perZone; ++to) {
            if (to != from) {
                m_instances[to]->onLoadReport(*report, m_events.now());
            }
        }
    }
    m_events.after(LoadReportInterval, [this] { exchangeLoadReports(); });
}

} // namespace banyanwall::benchmarks
