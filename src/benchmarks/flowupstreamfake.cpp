#include "benchmarks/flowupstreamfake.h"

#include <utility>

namespace banyanwall::benchmarks {

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

void FlowUpstreamFake::setCrashed(bool isCrashed)
{
    m_isCrashed = isCrashed;
    if (isCrashed) {
        ++m_crashes;
        m_queue.clear();
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
    m_events.after(time, [this, crashes = m_crashes, answer = std::move(request.answer)] {
        if (crashes != m_crashes) {
            return;
        }
        --m_running;
        ++m_served;
        if (m_dropAnswerEvery == 0 || m_served % m_dropAnswerEvery != 0) {
            answer(true);
        }
        startNext();
    });
}

} // namespace banyanwall::benchmarks
