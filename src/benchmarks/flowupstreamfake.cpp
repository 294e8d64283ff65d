#include "benchmarks/flowupstreamfake.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace banyanwall::benchmarks {

using common::Duration;

namespace {

// From an opening packet to the arrival of the first request: three times the way between callers
// and instances, and 1 ms between instances and upstreams.
constexpr std::chrono::milliseconds FirstRequestDelay { 10 };
constexpr double MaxUtilization = 0.95;

} // namespace

FlowUpstreamFake::FlowUpstreamFake(EventQueue &events, const version::UpstreamRecord &record)
    : m_events(events)
    , m_record(record)
{ }

void FlowUpstreamFake::serve(common::Duration work, Answer answer)
{
    if (m_queue.size() >= QueueLimit) {
        answer(false);
        return;
    }
    m_queue.push_back({ work, std::move(answer) });
    startNext();
}

void FlowUpstreamFake::countOpening()
{
    ++m_openings;
    m_recentOpenings.push_back(m_events.now());
    while (m_events.now() - m_recentOpenings.front() > FirstRequestDelay) {
        m_recentOpenings.pop_front();
    }
}

Duration FlowUpstreamFake::expectedTime(Duration work) const
{
    const auto now = m_events.now();
    const auto slots = static_cast<double>(m_record.slots);
    const auto pending = std::ranges::count_if(m_recentOpenings, [&](common::TimePoint time) {
        return now - time <= FirstRequestDelay;
    });
    auto ahead = work * pending;
    ahead = std::accumulate(m_queue.begin(), m_queue.end(), ahead,
                            [](Duration sum, const auto &item) { return sum + item.work; });
    auto total = std::chrono::duration<double, std::micro>(ahead) * m_slowness;
    for (const auto finish : m_finishTimes) {
        total += finish - now;
    }
    const auto requests = static_cast<double>(pending) + static_cast<double>(m_queue.size())
            + static_cast<double>(m_running);
    // Requests of open flows arrive at random, so that the wait grows like that of a queue.
    const auto utilization = std::min(m_busySlots * m_slowness / slots, MaxUtilization);
    const auto wait = (requests < slots ? total * 0.0 : total / slots)
            + work * m_slowness * (utilization / (1.0 - utilization) / slots);
    return std::chrono::duration_cast<Duration>(wait + work * m_slowness);
}

void FlowUpstreamFake::setCrashed(bool isCrashed)
{
    m_isCrashed = isCrashed;
    if (isCrashed) {
        ++m_crashes;
        m_queue.clear();
        m_finishTimes.clear();
        m_running = 0;
    }
}

void FlowUpstreamFake::startNext()
{
    if (m_queue.empty() || m_running >= m_record.slots) {
        return;
    }
    auto request = std::move(m_queue.front());
    m_queue.pop_front();
    ++m_running;
    const auto time = std::chrono::duration_cast<common::Duration>(request.work * m_slowness);
    const auto finish = m_events.now() + time;
    m_finishTimes.push_back(finish);
    m_events.after(time, [this, finish, crashes = m_crashes, answer = std::move(request.answer)] {
        if (crashes != m_crashes) {
            return;
        }
        m_finishTimes.erase(std::ranges::find(m_finishTimes, finish));
        --m_running;
        ++m_served;
        if (m_dropAnswerEvery == 0 || m_served % m_dropAnswerEvery != 0) {
            answer(true);
        }
        startNext();
    });
}

} // namespace banyanwall::benchmarks
