#pragma once

#include "common/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace banyanwall::benchmarks {

/// Discrete events in simulated time. Events with the same time run in the order in which they were
/// posted.
class EventQueue
{
public:
    using Action = std::function<void()>;

    [[nodiscard]] common::TimePoint now() const { return m_now; }

    void after(common::Duration delay, Action action)
    {
        m_events.push({ m_now + delay, ++m_posted, std::move(action) });
    }

    void runUntil(common::TimePoint end)
    {
        while (!m_events.empty() && m_events.top().at <= end) {
            auto action = m_events.top().action;
            m_now = m_events.top().at;
            m_events.pop();
            action();
        }
        m_now = end;
    }

private:
    struct Event
    {
        common::TimePoint at;
        std::uint64_t order = 0;
        Action action;

        bool operator<(const Event &other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    common::TimePoint m_now { std::chrono::seconds(1'000) };
    std::uint64_t m_posted = 0;
    std::priority_queue<Event> m_events;
};

} // namespace banyanwall::benchmarks
