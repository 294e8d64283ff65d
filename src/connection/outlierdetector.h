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

/// Finds upstreams that leave many more requests without an answer than others of their service,
/// although they answer some: they hang, or are far slower. Counts flows of all instances of the
/// zone. Not thread-safe.
class OutlierDetector
{
public:
    /// A request on this flow waits for much longer than usual. flow tells flows apart.
    void recordOverdueFlow(common::ServiceId service, common::FlowToken upstream,
                           std::uint64_t flow, common::TimePoint now);

    /// Services with overdue requests.
    [[nodiscard]] std::set<common::ServiceId> services() const;
    /// Judges a service and returns its outliers: the worst first, and at most a third of its
    /// upstreams. groupSize is the number of these.
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

    /// The newest overdue flows; the oldest is overwritten.
    struct OverdueFlows
    {
        common::ServiceId service;
        std::array<OverdueFlow, MaxFlows> entries {};
        std::size_t next = 0;
        /// New flows avoid the upstream until then.
        common::TimePoint outlierUntil;

        [[nodiscard]] std::size_t count(common::TimePoint now) const;
        /// It was an outlier lately: one overdue flow makes it one again.
        [[nodiscard]] bool isOnProbation(common::TimePoint now) const;
    };

    std::unordered_map<common::FlowToken, OverdueFlows> m_overdueFlows;
};

} // namespace banyanwall::connection
