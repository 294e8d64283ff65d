#pragma once

#include "benchmarks/flowloadsizes.h"
#include "common/time.h"

#include <cstdint>
#include <optional>
#include <random>

namespace banyanwall::benchmarks {

/// Draws the requests of a simulated load: their callers' zones, times and work; also knows zones
/// and speeds of the upstreams.
class FlowDemand
{
public:
    /// random has to outlive the object.
    FlowDemand(const FlowLoadSizes &sizes, std::mt19937 &random);

    [[nodiscard]] int zoneOfUpstream(int upstream) const;
    [[nodiscard]] double speedOfUpstream(int upstream) const;
    [[nodiscard]] int zoneOfFeed(int feed) const;

    /// Time to the next submission, which drawZone() may still leave out.
    [[nodiscard]] common::Duration drawGap();
    /// Zone of the caller of a submission; empty when there is no submission, because the demand of
    /// the zone is low at this time after the start.
    [[nodiscard]] std::optional<int> drawZone(std::uint32_t caller, common::Duration time);
    /// Work of a request at an upstream of speed 1.
    [[nodiscard]] common::Duration drawWork(bool isFeed);

    /// Mean work of a submission.
    [[nodiscard]] common::Duration meanWork() const;
    /// Mean number of slots that one feed keeps busy.
    [[nodiscard]] static double busySlotsOfFeed();

private:
    const FlowLoadSizes m_sizes;
    std::mt19937 &m_random;
};

} // namespace banyanwall::benchmarks
