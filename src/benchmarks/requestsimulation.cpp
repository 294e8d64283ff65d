#include "benchmarks/requestsimulation.h"

#include <utility>

namespace banyanwall::benchmarks {

namespace {

using std::chrono::milliseconds;

constexpr std::chrono::seconds WallOffset(1'000'000);
// Most copies follow at once; one in LateCopyShare is so late that the request may be over.
constexpr common::Duration UsualCopyDelay = milliseconds(100);
constexpr common::Duration LateCopyDelay = std::chrono::seconds(7);
constexpr std::uint64_t LateCopyShare = 20;

} // namespace

request::Moment EventQueue::moment() const
{
    return { m_now,
             common::WallTime(std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch())
                              + WallOffset) };
}

void EventQueue::at(common::TimePoint time, Event event)
{
    m_entries.push({ std::max(time, m_now), m_sequence++, std::move(event) });
}

void EventQueue::after(common::Duration delay, Event event)
{
    at(m_now + delay, std::move(event));
}

void EventQueue::runUntil(common::TimePoint end)
{
    while (!m_entries.empty() && m_entries.top().time <= end) {
        const auto event = m_entries.top().event;
        m_now = m_entries.top().time;
        m_entries.pop();
        event();
    }
    m_now = std::max(m_now, end);
}

SimulatedNetwork::SimulatedNetwork(EventQueue &events, std::uint64_t seed)
    : m_events(events)
    , m_random(seed)
{ }

void SimulatedNetwork::send(const LinkQuality &link, const EventQueue::Event &deliver)
{
    if (!happens(link.lostPerMillion)) {
        m_events.after(random(link.shortest, link.longest), deliver);
    }
    if (happens(link.duplicatedPerMillion)) {
        const auto longest = random(1, LateCopyShare) == 1 ? LateCopyDelay : UsualCopyDelay;
        m_events.after(random(link.shortest, longest), deliver);
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

bool SimulatedNetwork::happens(std::uint32_t perMillion)
{
    return perMillion != 0 && random(1, 1'000'000) <= perMillion;
}

} // namespace banyanwall::benchmarks
