#pragma once

#include "common/time.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <unordered_map>

namespace banyanwall::tools {

/// Counts the runs of each request on all upstreams of a process. A non-repeatable request must run
/// at most once, no matter how often the balancer dispatches it.
class RunLedger
{
public:
    /// Returns true when the request is not repeatable and ran before.
    bool recordRun(std::uint64_t requestId, bool repeatable);

    /// Number of runs of non-repeatable requests beyond the first run of each.
    [[nodiscard]] std::uint64_t duplicateRuns() const { return m_duplicates; }

    [[nodiscard]] std::uint32_t runsOf(std::uint64_t requestId) const;
    /// Maps the request id, in decimal, to its number of runs.
    [[nodiscard]] boost::json::object toJson() const;

private:
    std::unordered_map<std::uint64_t, std::uint32_t> m_runs;
    std::uint64_t m_duplicates = 0;
};

/// Counts what one upstream received and did, in total and for each interval of a timeline.
class UpstreamCounters
{
public:
    static constexpr std::chrono::milliseconds TimelineInterval { 100 };

    enum class Event {
        Packet,
        Probe,
        NewFlow,
        Request,
    };

    void count(Event event, common::WallTime at);
    /// Number of events since the beginning of the interval that contains from.
    [[nodiscard]] std::uint64_t countedSince(Event event, common::WallTime from) const;
    /// Counters, and the timeline as rows of Unix time in ms, packets, probes, new flows and
    /// requests.
    [[nodiscard]] boost::json::object toJson() const;

    // Violations by the balancer.
    std::uint64_t wrongService = 0;
    std::uint64_t slotsOverLimit = 0;
    /// Requests and flows beyond what a cold upstream can handle.
    std::uint64_t coldOverload = 0;
    /// Requests and flows beyond what an upstream can handle after it turned cold without a
    /// restart. The balancer cannot avoid this overload until it detects the change.
    std::uint64_t turnedColdOverload = 0;
    std::uint64_t connectionsOverLimit = 0;
    // Other events.
    std::uint64_t wrongIncarnation = 0;
    std::uint64_t unknownFlow = 0;
    std::uint64_t runs = 0;
    std::uint64_t answers = 0;
    std::uint64_t shed = 0;
    std::uint64_t refusedDeadline = 0;
    std::uint64_t refusedDraining = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t malformed = 0;
    /// Largest number of requests that ran at the same time.
    std::uint64_t largestBusy = 0;

private:
    struct IntervalCounts
    {
        std::uint64_t packets = 0;
        std::uint64_t probes = 0;
        std::uint64_t flows = 0;
        std::uint64_t requests = 0;
    };

    [[nodiscard]] static std::uint64_t &field(IntervalCounts &counts, Event event);

    std::map<std::int64_t, IntervalCounts> m_timeline;
};

} // namespace banyanwall::tools
