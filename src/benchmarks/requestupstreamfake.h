#pragma once

#include "benchmarks/requestledger.h"
#include "benchmarks/requestsimulation.h"
#include "request/coordinator.h"

#include <functional>
#include <map>
#include <vector>

namespace banyanwall::benchmarks {

/// Simulated upstream with three slots and about 50 ms per request.
///
/// A cold upstream has a capacity of one request at a time. Every WorkPerStep finished requests its
/// capacity grows by one, up to its slots. When it runs more requests than its capacity, all
/// running requests take SlowFactor times as long. The upstream refuses dispatches beyond its slots
/// and after their deadline, and runs each attempt once.
class RequestUpstreamFake
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

    /// A dispatch that made this upstream run more requests than its capacity.
    struct Overload
    {
        common::TimePoint at;
        /// Time when the slot was granted; arrival of the dispatch for routers without slots.
        common::TimePoint grantedAt;
        common::TimePoint coldSince;
        std::size_t running = 0;
        std::uint32_t capacity = 0;

        /// Whether the slot was granted before the upstream turned cold: grants cannot be taken
        /// back.
        [[nodiscard]] bool wasGrantedBeforeColdTurn() const { return grantedAt <= coldSince; }
    };

    RequestUpstreamFake(RequestEventQueue &events, SimulatedNetwork &network,
                        RequestLedger &ledger);

    /// Records that this upstream's owner has granted a slot. Only the first grant of a slot
    /// counts.
    void onSlotGranted(connection::SlotKey slot);
    void onDispatch(const Dispatch &dispatch);
    void turnCold();

    /// Dispatches that were refused because all slots were busy.
    [[nodiscard]] std::uint64_t overLimit() const { return m_overLimit; }

    [[nodiscard]] const std::vector<Overload> &overloads() const { return m_overloads; }

    [[nodiscard]] std::size_t running() const { return m_running.size(); }

    [[nodiscard]] std::uint32_t capacity() const { return m_capacity; }

private:
    struct Job
    {
        Dispatch dispatch;
        common::Duration work;
        common::TimePoint end;
        bool isSlowed = false;
    };

    void start(const Dispatch &dispatch);
    void slowDown();
    void finish(std::uint64_t job);
    void sendAnswer(const Dispatch &dispatch);

    RequestEventQueue &m_events;
    SimulatedNetwork &m_network;
    RequestLedger &m_ledger;
    std::uint32_t m_capacity = Slots;
    std::uint32_t m_work = 0;
    std::uint64_t m_nextJob = 0;
    std::map<std::uint64_t, Job> m_running;
    /// Attempts that were dispatched here, and whether each was refused.
    std::map<connection::SlotKey, bool> m_isRefusedByAttempt;
    std::uint64_t m_overLimit = 0;
    common::TimePoint m_coldSince {};
    std::map<connection::SlotKey, common::TimePoint> m_grantedAt;
    std::vector<Overload> m_overloads;
};

} // namespace banyanwall::benchmarks
