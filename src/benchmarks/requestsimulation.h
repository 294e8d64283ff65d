#pragma once

#include "common/time.h"
#include "request/coordinator.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <vector>

namespace banyanwall::benchmarks {

/// Runs events in the order of simulated time; equal times keep the order of insertion.
class EventQueue
{
public:
    using Event = std::function<void()>;

    [[nodiscard]] common::TimePoint now() const { return m_now; }

    /// Both clocks; the wall clock has no error against the monotonic one.
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
    common::Duration shortest;
    common::Duration longest;
    std::uint32_t lostPerMillion = 0;
    std::uint32_t duplicatedPerMillion = 0;
};

/// Delivers packets late, twice, out of order or not at all.
class SimulatedNetwork
{
public:
    SimulatedNetwork(EventQueue &events, std::uint64_t seed);

    void send(const LinkQuality &link, const EventQueue::Event &deliver);
    /// Uniform in [low, high].
    [[nodiscard]] std::uint64_t random(std::uint64_t low, std::uint64_t high);
    [[nodiscard]] common::Duration random(common::Duration low, common::Duration high);

private:
    [[nodiscard]] bool happens(std::uint32_t perMillion);

    EventQueue &m_events;
    std::mt19937_64 m_random;
};

} // namespace banyanwall::benchmarks
