#pragma once

#include "common/ids.h"
#include "common/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <set>
#include <unordered_map>
#include <vector>

namespace banyanwall::connection {

/// Finds upstreams that answer some requests but have many more overdue requests than other
/// upstreams of their service: they hang or are far slower. Counts the flows of all instances of
/// the zone. Not thread-safe.
class OutlierDetector
{
public:
    /// Records a flow whose request has waited for a multiple of the mean response time. flow
    /// identifies the flow.
    void recordOverdueFlow(common::ServiceId service, common::FlowToken upstream,
                           std::uint64_t flow, common::TimePoint now);

    /// Services with overdue requests.
    [[nodiscard]] std::set<common::ServiceId> services() const;
    /// Returns the outliers of a service: those with the most overdue flows first, and at most a
    /// third of its upstreams. groupSize is the number of its upstreams.
    [[nodiscard]] std::vector<common::FlowToken>
    evaluate(common::ServiceId service, std::size_t groupSize, common::TimePoint now);

    void removeExpired(common::TimePoint now);

private:
    static constexpr std::size_t MaxFlows = 8;

    struct OverdueFlow
    {
        std::uint64_t flow = 0;
        common::TimePoint at;
    };

    /// The newest overdue flows of an upstream; a new flow overwrites the oldest one.
    struct OverdueFlows
    {
        common::ServiceId service;
        std::array<OverdueFlow, MaxFlows> entries {};
        std::size_t next = 0;
        /// No new flows are opened on the upstream before this time.
        common::TimePoint outlierUntil;

        [[nodiscard]] std::size_t count(common::TimePoint now) const;
        /// While on probation after an outlier period, one overdue flow makes the upstream an
        /// outlier again.
        [[nodiscard]] bool isOnProbation(common::TimePoint now) const;
    };

    std::unordered_map<common::FlowToken, OverdueFlows> m_overdueFlows;
};

} // namespace banyanwall::connection
