#pragma once

#include "common/time.h"

#include <cstdint>
#include <random>
#include <vector>

namespace banyanwall::tools {

/// Probabilities, from 0 to 1, with which the fabric disturbs a packet.
struct FaultRates
{
    double drop = 0;
    double duplicate = 0;
    /// Holds the packet for up to longestDelay.
    double delay = 0;
    /// Holds the packet long enough for the next few packets to overtake it.
    double reorder = 0;
    common::Duration longestDelay = std::chrono::milliseconds(200);
};

/// Decides the fate of each packet from a seed, so that a run can be repeated.
class FaultInjector
{
public:
    /// Longest hold of a reordered packet.
    static constexpr common::Duration ReorderHold = std::chrono::milliseconds(5);

    struct Counters
    {
        std::uint64_t dropped = 0;
        std::uint64_t duplicated = 0;
        std::uint64_t delayed = 0;
        std::uint64_t reordered = 0;
    };

    FaultInjector(FaultRates rates, std::uint64_t seed);

    /// Hold times of the copies of the next packet; empty when it is dropped.
    [[nodiscard]] std::vector<common::Duration> next();
    /// Index below count, for the choice of an instance.
    [[nodiscard]] std::size_t pick(std::size_t count);

    [[nodiscard]] const Counters &counters() const { return m_counters; }

private:
    [[nodiscard]] bool happens(double probability);
    [[nodiscard]] common::Duration hold();
    [[nodiscard]] common::Duration upTo(common::Duration longest);

    FaultRates m_rates;
    std::mt19937_64 m_random;
    Counters m_counters;
};

} // namespace banyanwall::tools
