#include "benchmarks/requestsimulation.h"

#include <utility>

namespace banyanwall::benchmarks {

namespace {

using std::chrono::milliseconds;

constexpr std::chrono::seconds WallOffset(1'000'000);
// Most duplicates follow within 100 ms; one in DuplicatesPerLateOne may be delayed by up to 7 s, so
// that the request can have ended by then.
constexpr common::Duration MaxDuplicateDelay = milliseconds(100);
constexpr common::Duration MaxLateDuplicateDelay = std::chrono::seconds(7);
constexpr std::uint64_t DuplicatesPerLateOne = 20;

} // namespace

request::Moment RequestEventQueue::moment() const
{
    return { m_now,
             common::WallTime(std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch())
                              + WallOffset) };
}

void RequestEventQueue::at(common::TimePoint time, Event event)
{
    m_entries.push({ std::max(time, m_now), m_sequence++, std::move(event) });
}

void RequestEventQueue::after(common::Duration delay, Event event)
{
    at(m_now + delay, std::move(event));
}

void RequestEventQueue::runUntil(common::TimePoint end)
{
    while (!m_entries.empty() && m_entries.top().time <= end) {
        const auto event = m_entries.top().event;
        m_now = m_entries.top().time;
        m_entries.pop();
        event();
    }
    m_now = std::max(m_now, end);
}

SimulatedNetwork::SimulatedNetwork(RequestEventQueue &events, std::uint64_t seed)
    : m_events(events)
    , m_random(seed)
{ }

void SimulatedNetwork::send(const LinkQuality &link, const RequestEventQueue::Event &deliver)
{
    if (!drawEvent(link.lostPerMillion)) {
        m_events.after(random(link.minDelay, link.maxDelay), deliver);
    }
    if (drawEvent(link.duplicatedPerMillion)) {
        const auto maxDelay =
                random(1, DuplicatesPerLateOne) == 1 ? MaxLateDuplicateDelay : MaxDuplicateDelay;
        m_events.after(random(link.minDelay, maxDelay), deliver);
    }
}

std::uint64_t SimulatedNetwork::random(std::uint64_t low, std::uint64_t high)
{
    return std::uniform_int_distribution<std::uint64_t>(low, high)(m_random);
}

common::Duration SimulatedNetwork::random(common::Duration low, common::Duration high)
{
    return common::Duration(std::uniform_int_distribution<std::int64_t>(
            low.count(), std::max(low, high).count())(m_random));
}

bool SimulatedNetwork::drawEvent(std::uint32_t perMillion)
{
    return perMillion != 0 && random(1, 1'000'000) <= perMillion;
}

} // namespace banyanwall::benchmarks
