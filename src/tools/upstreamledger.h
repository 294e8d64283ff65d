#pragma once

#include "common/time.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <unordered_map>

namespace banyanwall::tools {

/// Runs of each request over all upstreams of a process. A non-repeatable request that ran more
/// than once is a violation of P7.
class RunLedger
{
public:
    /// Returns true when the run violates P7.
    bool recordRun(std::uint64_t requestId, bool repeatable);

    /// Runs of non-repeatable requests beyond the first of each.
    [[nodiscard]] std::uint64_t duplicateRuns() const { return m_duplicates; }

    [[nodiscard]] std::uint32_t runsOf(std::uint64_t requestId) const;
    /// Request id in decimal to number of runs.
    [[nodiscard]] boost::json::object toJson() const;

private:
    std::unordered_map<std::uint64_t, std::uint32_t> m_runs;
    std::uint64_t m_duplicates = 0;
};

/// What reached one upstream, in total and by time.
class UpstreamCounters
{
public:
    /// Resolution of the timeline.
    static constexpr std::chrono::milliseconds Slice { 100 };

    enum class Event {
        Packet,
        Probe,
        NewFlow,
        Request,
    };

    void count(Event event, common::WallTime at);
    [[nodiscard]] std::uint64_t countedSince(Event event, common::WallTime from) const;
    [[nodiscard]] boost::json::object toJson() const;

    // Violations.
    std::uint64_t wrongService = 0;
    std::uint64_t slotsOverLimit = 0;
    /// Work for an upstream that has just started, beyond what it bears.
    std::uint64_t coldOverload = 0;
    /// The same for an upstream that turned cold without notice; inevitable until it is noticed.
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
    std::uint64_t largestBusy = 0;

private:
    struct Activity
    {
        std::uint64_t packets = 0;
        std::uint64_t probes = 0;
        std::uint64_t flows = 0;
        std::uint64_t requests = 0;
    };

    [[nodiscard]] static std::uint64_t &field(Activity &activity, Event event);

    std::map<std::int64_t, Activity> m_timeline;
};

} // namespace banyanwall::tools
