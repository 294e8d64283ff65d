#pragma once

#include "common/time.h"
#include "request/coordinator.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <vector>

namespace banyanwall::benchmarks {

/// Runs events in the order of simulated time; events with the same time run in the order in which
/// they were added.
class RequestEventQueue
{
public:
    using Event = std::function<void()>;

    [[nodiscard]] common::TimePoint now() const { return m_now; }

    /// Time of the monotonic and of the wall clock, which run at the same rate.
    [[nodiscard]] request::Moment moment() const;
    void at(common::TimePoint time, Event event);
    void after(common::Duration delay, Event event);
    void runUntil(common::TimePoint end);

private:
    struct Entry
    {
        common::TimePoint time;
        std::uint64_t sequence;
        Event event;

        bool operator>(const Entry &other) const
        {
            return time != other.time ? time > other.time : sequence > other.sequence;
        }
    };

    common::TimePoint m_now { std::chrono::seconds(1'000) };
    std::uint64_t m_sequence = 0;
    std::priority_queue<Entry, std::vector<Entry>, std::greater<>> m_entries;
};

/// Properties of a path through the simulated network.
struct LinkQuality
{
    common::Duration minDelay;
    common::Duration maxDelay;
    std::uint32_t lostPerMillion = 0;
    std::uint32_t duplicatedPerMillion = 0;
};

/// Delays, duplicates, reorders and loses packets.
class SimulatedNetwork
{
public:
    SimulatedNetwork(RequestEventQueue &events, std::uint64_t seed);

    void send(const LinkQuality &link, const RequestEventQueue::Event &deliver);
    /// Uniformly distributed in [low, high].
    [[nodiscard]] std::uint64_t random(std::uint64_t low, std::uint64_t high);
    [[nodiscard]] common::Duration random(common::Duration low, common::Duration high);

private:
    [[nodiscard]] bool drawEvent(std::uint32_t perMillion);

    RequestEventQueue &m_events;
    std::mt19937_64 m_random;
};

} // namespace banyanwall::benchmarks
