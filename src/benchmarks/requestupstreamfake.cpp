#include "benchmarks/requestupstreamfake.h"

#include "common/hash.h"

#include <utility>

namespace banyanwall::benchmarks {

using common::Duration;

RequestUpstreamFake::RequestUpstreamFake(RequestEventQueue &events, SimulatedNetwork &network,
                                         RequestLedger &ledger)
    : m_events(events)
    , m_network(network)
    , m_ledger(ledger)
{ }

void RequestUpstreamFake::onDispatch(const Dispatch &dispatch)
{
    const auto [attempt, isNew] = m_isRefusedByAttempt.emplace(dispatch.slot, false);
    if (!isNew) {
        if (attempt->second) {
            dispatch.refuse(request::DispatchRefusal::Shed);
        }
        return;
    }
    if (m_events.moment().wall >= dispatch.deadline) {
        attempt->second = true;
        dispatch.refuse(request::DispatchRefusal::Deadline);
        return;
    }
    if (m_running.size() >= Slots) {
        ++m_overLimit;
        attempt->second = true;
        dispatch.refuse(request::DispatchRefusal::Shed);
        return;
    }
    start(dispatch);
}

void RequestUpstreamFake::onSlotGranted(connection::SlotKey slot)
{
    m_grantedAt.emplace(slot, m_events.now());
}

void RequestUpstreamFake::turnCold()
{
    m_coldSince = m_events.now();
    m_capacity = 1;
    m_work = 0;
    if (m_running.size() > m_capacity) {
        slowDown();
    }
}

void RequestUpstreamFake::start(const Dispatch &dispatch)
{
    m_ledger.onRun(dispatch.requestId);
    const auto work = m_network.random(UsualLatency * 7 / 10, UsualLatency * 13 / 10);
    const auto job = m_nextJob++;
    m_running.emplace(job, Job { dispatch, work, m_events.now() + work });
    m_events.after(work, [this, job] { finish(job); });
    if (m_running.size() > m_capacity) {
        const auto granted = m_grantedAt.find(dispatch.slot);
        m_overloads.push_back({ m_events.now(),
                                granted == m_grantedAt.end() ? m_events.now() : granted->second,
                                m_coldSince, m_running.size(), m_capacity });
        slowDown();
    }
}

void RequestUpstreamFake::slowDown()
{
    for (auto &[job, running] : m_running) {
        if (!std::exchange(running.isSlowed, true)) {
            running.end += running.work * (SlowFactor - 1);
            m_events.at(running.end, [this, job = job] { finish(job); });
        }
    }
}

void RequestUpstreamFake::finish(std::uint64_t job)
{
    const auto running = m_running.find(job);
    if (running == m_running.end() || m_events.now() < running->second.end) {
        return;
    }
    const auto dispatch = running->second.dispatch;
    m_running.erase(running);
    if (m_capacity < Slots && ++m_work >= WorkPerStep) {
        ++m_capacity;
        m_work = 0;
    }
    sendAnswer(dispatch);
}

void RequestUpstreamFake::sendAnswer(const Dispatch &dispatch)
{
    const auto run = common::hashPair(dispatch.slot.request.value(), m_nextJob) % 10'000'000;
    const auto answer = RequestLedger::answerOf(dispatch.requestId, run);
    const auto count = static_cast<std::uint32_t>(1 + answer.size() / 500);
    const auto part = answer.size() / count;
    for (std::uint32_t index = 0; index < count; ++index) {
        const auto length = index + 1 == count ? std::string::npos : part;
        dispatch.answer({ dispatch.slot.request, dispatch.slot.attempt, index, count,
                          common::hashBytes(answer), answer.substr(index * part, length) });
    }
}

} // namespace banyanwall::benchmarks
