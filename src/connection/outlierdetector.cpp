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

// Long enough for several requests of a zone to each upstream; afterwards it is tried again.
constexpr std::chrono::seconds Window { 3 };
// One or two flows are lost from sight when the fabric moves them to another instance.
constexpr std::size_t EnoughFlows = 3;
// When all upstreams are late, none of them is an outlier.
constexpr std::size_t TimesTheMean = 4;
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

std::vector<FlowToken> OutlierDetector::outliersOf(ServiceId service, std::size_t groupSize,
                                                   TimePoint now) const
{
    std::vector<std::pair<std::size_t, FlowToken>> counts;
    std::size_t total = 0;
    for (const auto &[upstream, flows] : m_flows) {
        if (flows.service == service) {
            counts.emplace_back(flows.count(now), upstream);
            total += counts.back().first;
        }
    }
    std::erase_if(counts, [&](const auto &item) {
        return item.first < EnoughFlows || item.first * groupSize < TimesTheMean * total;
    });
    std::ranges::sort(counts, std::greater {});
    counts.resize(std::min(counts.size(), groupSize / LargestShare));
    std::vector<FlowToken> outliers;
    std::ranges::transform(counts, std::back_inserter(outliers),
                           [](const auto &item) { return item.second; });
    return outliers;
}

void OutlierDetector::forgetOld(TimePoint now)
{
    std::erase_if(m_flows, [&](const auto &item) { return item.second.count(now) == 0; });
}

std::size_t OutlierDetector::Flows::count(TimePoint now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(entries, [&](const Overdue &overdue) {
        return overdue.at != TimePoint() && now - overdue.at < Window;
    }));
}

} // namespace banyanwall::connection
