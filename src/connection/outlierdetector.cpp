#include "connection/outlierdetector.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace banyanwall::connection {

using common::FlowToken;
using common::ServiceId;
using common::TimePoint;

namespace {

// Long enough for several requests from a zone to each upstream.
constexpr std::chrono::seconds Window { 3 };
// Twice the time in which an upstream without earlier observations is judged. Afterwards the
// upstream gets new flows again.
constexpr std::chrono::seconds AvoidancePeriod { 6 };
constexpr std::chrono::seconds ProbationPeriod { 10 };
// When the fabric moves a flow to another instance, this instance does not see the response. One or
// two overdue flows are therefore no proof of a fault.
constexpr std::size_t MinOverdueFlows = 3;
// Compared with the median of the service: when all upstreams have many overdue flows, none of them
// is an outlier.
constexpr std::size_t MedianFactor = 4;
// At most one in this many upstreams of a service is avoided, because the others take its load.
constexpr std::size_t UpstreamsPerOutlier = 3;

} // namespace

void OutlierDetector::recordOverdueFlow(ServiceId service, FlowToken upstream, std::uint64_t flow,
                                        TimePoint now)
{
    auto &flows = m_overdueFlows[upstream];
    flows.service = service;
    const auto known = std::ranges::find(flows.entries, flow, &OverdueFlow::flow);
    if (known != flows.entries.end()) {
        known->at = now;
        return;
    }
    flows.entries.at(flows.next) = { flow, now };
    flows.next = (flows.next + 1) % MaxFlows;
}

std::set<ServiceId> OutlierDetector::services() const
{
    std::set<ServiceId> services;
    for (const auto &[upstream, flows] : m_overdueFlows) {
        services.insert(flows.service);
    }
    return services;
}

std::vector<FlowToken> OutlierDetector::evaluate(ServiceId service, std::size_t groupSize,
                                                 TimePoint now)
{
    std::vector<std::size_t> counts(groupSize, 0);
    for (const auto &[upstream, flows] : m_overdueFlows) {
        if (flows.service == service) {
            counts.push_back(flows.count(now));
        }
    }
    // Upstreams without overdue flows have no entry; the zeros that remain after the sort stand for
    // them.
    std::ranges::sort(counts, std::greater {});
    counts.resize(groupSize);
    const auto median = counts.empty() ? 0 : counts[groupSize / 2];

    std::vector<std::pair<std::size_t, FlowToken>> outliers;
    for (auto &[upstream, flows] : m_overdueFlows) {
        if (flows.service != service) {
            continue;
        }
        const auto count = flows.count(now);
        const auto minFlows = flows.isOnProbation(now) ? 1 : MinOverdueFlows;
        if (count >= std::max(minFlows, MedianFactor * median)) {
            flows.outlierUntil = now + AvoidancePeriod;
        }
        if (now < flows.outlierUntil) {
            outliers.emplace_back(count, upstream);
        }
    }
    std::ranges::sort(outliers, std::greater {});
    outliers.resize(std::min(outliers.size(), groupSize / UpstreamsPerOutlier));
    std::vector<FlowToken> tokens;
    std::ranges::transform(outliers, std::back_inserter(tokens),
                           [](const auto &item) { return item.second; });
    return tokens;
}

void OutlierDetector::removeExpired(TimePoint now)
{
    std::erase_if(m_overdueFlows, [&](const auto &item) {
        const auto &flows = item.second;
        return flows.count(now) == 0 && now >= flows.outlierUntil && !flows.isOnProbation(now);
    });
}

bool OutlierDetector::OverdueFlows::isOnProbation(TimePoint now) const
{
    return outlierUntil != TimePoint() && now - outlierUntil < ProbationPeriod;
}

std::size_t OutlierDetector::OverdueFlows::count(TimePoint now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(entries, [&](const OverdueFlow &overdue) {
        return overdue.at != TimePoint() && now - overdue.at < Window;
    }));
}

} // namespace banyanwall::connection
