#pragma once

#include "common/ids.h"
#include "common/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace banyanwall::connection {

/// Largest values of a row; LoadReport::maxEncodedBytes() holds for rows within these.
inline constexpr std::uint32_t MaxReportedAnswers = 127;
inline constexpr std::chrono::seconds MaxReportedWork { 16 };
inline constexpr double MaxReportedSlots = 2'000.0;

/// What an instance saw of an upstream since its last report of it.
struct ReportedUpstream
{
    common::FlowToken upstream;
    /// Geometric mean of response times divided by the usual ones; 1 is usual.
    double slowness = 1.0;
    /// Answered requests in slowness.
    std::uint32_t answers = 0;
    /// Expected work that is left of requests in progress that no earlier report held.
    common::Duration workLeft {};

    bool operator==(const ReportedUpstream &) const = default;
};

/// Work that the callers of the reporting instance bring to a service.
struct ReportedDemand
{
    common::ServiceId service;
    /// Zone of the upstreams; zero stands for all zones together.
    common::ZoneId zone {};
    /// Mean number of slots that the work keeps busy.
    double busySlots = 0.0;

    bool operator==(const ReportedDemand &) const = default;
};

/// Observations of one instance for the other instances of its zone. It holds nothing that the
/// instance learned from others, and no observation twice.
struct LoadReport
{
    std::vector<ReportedUpstream> upstreams {};
    std::vector<ReportedDemand> demands {};

    [[nodiscard]] bool isEmpty() const { return upstreams.empty() && demands.empty(); }

    /// Upper bound of the encoded size in bytes.
    [[nodiscard]] std::size_t maxEncodedBytes() const;

    bool operator==(const LoadReport &) const = default;
};

/// Limits the bytes of reports that an instance sends to the other instances of its zone: 1,000
/// bytes a second in all over 20 s, whatever their number. Unused bytes are kept for the moment
/// when upstreams turn slow.
class ReportBudget
{
public:
    /// Number of other instances in the zone, to each of which a report is sent.
    void setReceivers(std::uint32_t count) { m_receivers = count; }

    [[nodiscard]] bool hasReceivers() const { return m_receivers > 0; }

    /// Adds what has become available since the last call.
    void refill(common::TimePoint now);
    /// Number of rows of upstreams that may be added to a report; at least one.
    [[nodiscard]] std::size_t maxUpstreams(const LoadReport &report) const;
    /// Whether the report may be sent now; it then counts as sent.
    [[nodiscard]] bool take(const LoadReport &report);
    /// Time in which reports of this size use the given share of the budget.
    [[nodiscard]] common::Duration intervalOf(const LoadReport &report, double share) const;

private:
    [[nodiscard]] double costOf(const LoadReport &report) const;

    std::uint32_t m_receivers = 0;
    /// Negative after a report that is larger than the reserve.
    double m_bytes = 0.0;
    common::TimePoint m_refilledAt;
};

} // namespace banyanwall::connection
