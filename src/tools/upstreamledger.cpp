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

std::uint64_t &UpstreamCounters::field(Activity &activity, Event event)
{
    switch (event) {
    case Event::Packet:
        return activity.packets;
    case Event::Probe:
        return activity.probes;
    case Event::NewFlow:
        return activity.flows;
    case Event::Request:
        break;
    }
    return activity.requests;
}

void UpstreamCounters::count(Event event, common::WallTime at)
{
    ++field(m_timeline[at.time_since_epoch() / Slice], event);
}

std::uint64_t UpstreamCounters::countedSince(Event event, common::WallTime from) const
{
    std::uint64_t sum = 0;
    const auto first = m_timeline.lower_bound(from.time_since_epoch() / Slice);
    for (auto slice = first; slice != m_timeline.end(); ++slice) {
        auto activity = slice->second;
        sum += field(activity, event);
    }
    return sum;
}

boost::json::object UpstreamCounters::toJson() const
{
    boost::json::array timeline;
    for (const auto &[slice, activity] : m_timeline) {
        timeline.push_back(boost::json::array { slice * Slice.count(), activity.packets,
                                                activity.probes, activity.flows,
                                                activity.requests });
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
