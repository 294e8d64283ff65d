#pragma once

#include "common/time.h"

#include <cstdint>
#include <random>
#include <vector>

namespace banyanwall::tools {

/// Probability, from 0 to 1, of each fault of a packet.
struct FaultRates
{
    double drop = 0;
    double duplicate = 0;
    /// Delays the packet by up to maxDelay.
    double delay = 0;
    /// Delays the packet by up to FaultInjector::MaxReorderDelay, so that the next few packets
    /// overtake it.
    double reorder = 0;
    common::Duration maxDelay = std::chrono::milliseconds(200);
};

/// Draws the faults of each packet from a seeded random generator, so that a run can be repeated.
class FaultInjector
{
public:
    static constexpr common::Duration MaxReorderDelay = std::chrono::milliseconds(5);

    struct Counters
    {
        std::uint64_t dropped = 0;
        std::uint64_t duplicated = 0;
        std::uint64_t delayed = 0;
        std::uint64_t reordered = 0;
    };

    FaultInjector(FaultRates rates, std::uint64_t seed);

    /// Delay of each copy of the next packet; zero for a copy to send at once. Empty when the
    /// packet is dropped, two delays when the packet is duplicated.
    [[nodiscard]] std::vector<common::Duration> nextDelays();
    /// Random index below count. Drawn from the same generator as the faults.
    [[nodiscard]] std::size_t pickIndex(std::size_t count);

    [[nodiscard]] const Counters &counters() const { return m_counters; }

private:
    [[nodiscard]] bool drawEvent(double probability);
    [[nodiscard]] common::Duration drawDelay();
    [[nodiscard]] common::Duration drawDelayUpTo(common::Duration maxDelay);

    FaultRates m_rates;
    std::mt19937_64 m_random;
    Counters m_counters;
};

} // namespace banyanwall::tools
