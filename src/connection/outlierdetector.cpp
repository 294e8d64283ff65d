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

// Long enough for several requests of a zone to each upstream.
constexpr std::chrono::seconds Window { 3 };
// Twice the time in which an upstream without evidence is judged; afterwards it is tried again.
constexpr std::chrono::seconds AvoidedFor { 6 };
constexpr std::chrono::seconds Probation { 10 };
// One or two flows are lost from sight when the fabric moves them to another instance.
constexpr std::size_t EnoughFlows = 3;
// When all upstreams are late, none of them is an outlier.
constexpr std::size_t TimesTheMedian = 4;
// One in this many upstreams of a service: the others have to bear the load.
constexpr std::size_t LargestShare = 3;

} // namespace

void OutlierDetector::noteOverdue(ServiceId service, FlowToken upstream, std::uint64_t flow,
                                  TimePoint now)
{
    auto &flows = m_flows[upstream];
    flows.service = service;
    const auto known = std::ranges::find(flows.entries, flow, &Overdue::flow);
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
    for (const auto &[upstream, flows] : m_flows) {
        services.insert(flows.service);
    }
    return services;
}

std::vector<FlowToken> OutlierDetector::judge(ServiceId service, std::size_t groupSize,
                                              TimePoint now)
{
    std::vector<std::size_t> counts(groupSize, 0);
    for (const auto &[upstream, flows] : m_flows) {
        if (flows.service == service) {
            counts.push_back(flows.count(now));
        }
    }
    // Upstreams without overdue flows are not listed; the surplus of zeros replaces them.
    std::ranges::sort(counts, std::greater {});
    counts.resize(groupSize);
    const auto median = counts.empty() ? 0 : counts[groupSize / 2];

    std::vector<std::pair<std::size_t, FlowToken>> outliers;
    for (auto &[upstream, flows] : m_flows) {
        if (flows.service != service) {
            continue;
        }
        const auto count = flows.count(now);
        const auto enough = flows.isOnProbation(now) ? 1 : EnoughFlows;
        if (count >= std::max(enough, TimesTheMedian * median)) {
            flows.outlierUntil = now + AvoidedFor;
        }
        if (now < flows.outlierUntil) {
            outliers.emplace_back(count, upstream);
        }
    }
    std::ranges::sort(outliers, std::greater {});
    outliers.resize(std::min(outliers.size(), groupSize / LargestShare));
    std::vector<FlowToken> tokens;
    std::ranges::transform(outliers, std::back_inserter(tokens),
                           [](const auto &item) { return item.second; });
    return tokens;
}

void OutlierDetector::forgetOld(TimePoint now)
{
    std::erase_if(m_flows, [&](const auto &item) {
        const auto &flows = item.second;
        return flows.count(now) == 0 && now >= flows.outlierUntil && !flows.isOnProbation(now);
    });
}

bool OutlierDetector::Flows::isOnProbation(TimePoint now) const
{
    return outlierUntil != TimePoint() && now - outlierUntil < Probation;
}

std::size_t OutlierDetector::Flows::count(TimePoint now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(entries, [&](const Overdue &overdue) {
        return overdue.at != TimePoint() && now - overdue.at < Window;
    }));
}

} // namespace banyanwall::connection
