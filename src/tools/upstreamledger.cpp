#include "tools/upstreamledger.h"

#include <boost/json/array.hpp>

namespace banyanwall::tools {

bool RunLedger::recordRun(std::uint64_t requestId, bool repeatable)
{
    const auto runs = ++m_runs[requestId];
    const bool duplicate = !repeatable && runs > 1;
    m_duplicates += duplicate ? 1 : 0;
    return duplicate;
}

std::uint32_t RunLedger::runsOf(std::uint64_t requestId) const
{
    const auto entry = m_runs.find(requestId);
    return entry == m_runs.end() ? 0 : entry->second;
}

boost::json::object RunLedger::toJson() const
{
    boost::json::object runs;
    for (const auto &[requestId, count] : m_runs) {
        runs[std::to_string(requestId)] = count;
    }
    return runs;
}

std::uint64_t &UpstreamCounters::field(IntervalCounts &counts, Event event)
{
    switch (event) {
    case Event::Packet:
        return counts.packets;
    case Event::Probe:
        return counts.probes;
    case Event::NewFlow:
        return counts.flows;
    case Event::Request:
        break;
    }
    return counts.requests;
}

void UpstreamCounters::count(Event event, common::WallTime at)
{
    ++field(m_timeline[at.time_since_epoch() / TimelineInterval], event);
}

std::uint64_t UpstreamCounters::countedSince(Event event, common::WallTime from) const
{
    std::uint64_t sum = 0;
    const auto first = m_timeline.lower_bound(from.time_since_epoch() / TimelineInterval);
    for (auto interval = first; interval != m_timeline.end(); ++interval) {
        auto counts = interval->second;
        sum += field(counts, event);
    }
    return sum;
}

boost::json::object UpstreamCounters::toJson() const
{
    boost::json::array timeline;
    for (const auto &[interval, counts] : m_timeline) {
        timeline.push_back(boost::json::array { interval * TimelineInterval.count(), counts.packets,
                                                counts.probes, counts.flows, counts.requests });
    }
    return { { "wrong_service", wrongService },
             { "slots_over_limit", slotsOverLimit },
             { "cold_overload", coldOverload },
             { "turned_cold_overload", turnedColdOverload },
             { "connections_over_limit", connectionsOverLimit },
             { "wrong_incarnation", wrongIncarnation },
             { "unknown_flow", unknownFlow },
             { "runs", runs },
             { "answers", answers },
             { "shed", shed },
             { "refused_deadline", refusedDeadline },
             { "refused_draining", refusedDraining },
             { "cancelled", cancelled },
             { "malformed", malformed },
             { "largest_busy", largestBusy },
             { "timeline", std::move(timeline) } };
}

} // namespace banyanwall::tools
