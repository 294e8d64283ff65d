#pragma once

#include "benchmarks/requestledger.h"
#include "benchmarks/requestsimulation.h"
#include "request/coordinator.h"

#include <functional>
#include <map>
#include <vector>

namespace banyanwall::benchmarks {

/// A small upstream: three slots, about 50 ms a request, slow when it is cold and overloaded.
///
/// A cold upstream handles one request at a time. Every WorkPerStep finished requests it handles
/// one more, up to its slots. As soon as it runs more than it handles, all that it is running takes
/// SlowFactor times as long. It refuses dispatches beyond its slots and after their deadline, and
/// runs each attempt once.
class UpstreamFake
{
public:
    static constexpr std::uint32_t Slots = 3;
    static constexpr common::Duration UsualLatency = std::chrono::milliseconds(50);
    static constexpr int SlowFactor = 8;
    static constexpr std::uint32_t WorkPerStep = 40;

    struct Dispatch
    {
        connection::SlotKey slot;
        std::uint64_t requestId = 0;
        common::WallTime deadline;
        std::function<void(request::DispatchRefusal)> refuse;
        std::function<void(request::AnswerFragment)> answer;
    };

    UpstreamFake(EventQueue &events, SimulatedNetwork &network, RequestLedger &ledger);

    void onDispatch(const Dispatch &dispatch);
    void turnCold();

    [[nodiscard]] std::uint64_t overLimit() const { return m_overLimit; }

    [[nodiscard]] std::uint64_t coldOverload() const { return m_coldOverload; }

private:
    struct Job
    {
        Dispatch dispatch;
        common::Duration work;
        common::TimePoint end;
        bool slowed = false;
    };

    void start(const Dispatch &dispatch);
    void slowDown();
    void finish(std::uint64_t job);
    void sendAnswer(const Dispatch &dispatch);

    EventQueue &m_events;
    SimulatedNetwork &m_network;
    RequestLedger &m_ledger;
    std::uint32_t m_handles = Slots;
    std::uint32_t m_work = 0;
    std::uint64_t m_nextJob = 0;
    std::map<std::uint64_t, Job> m_running;
    /// Attempts seen, and whether they were refused.
    std::map<connection::SlotKey, bool> m_seen;
    std::uint64_t m_overLimit = 0;
    std::uint64_t m_coldOverload = 0;
};

} // namespace banyanwall::benchmarks
