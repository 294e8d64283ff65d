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

    /// A dispatch that made this upstream run more than it handled.
    struct Overload
    {
        common::TimePoint at;
        /// Of the slot; the start of the dispatch for routers without slots.
        common::TimePoint grantedAt;
        common::TimePoint coldSince;
        std::size_t running = 0;
        std::uint32_t handled = 0;

        /// No router can take back what it had granted when the upstream turned cold.
        [[nodiscard]] bool grantedBefore() const { return grantedAt <= coldSince; }
    };

    UpstreamFake(EventQueue &events, SimulatedNetwork &network, RequestLedger &ledger);

    /// The owner of this upstream has granted a slot; only the first grant of a slot counts.
    void noteGrant(connection::SlotKey slot);
    void onDispatch(const Dispatch &dispatch);
    void turnCold();

    [[nodiscard]] std::uint64_t overLimit() const { return m_overLimit; }

    [[nodiscard]] const std::vector<Overload> &overloads() const { return m_overloads; }

    [[nodiscard]] std::size_t running() const { return m_running.size(); }

    [[nodiscard]] std::uint32_t handled() const { return m_handles; }

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
    common::TimePoint m_coldSince {};
    std::map<connection::SlotKey, common::TimePoint> m_granted;
    std::vector<Overload> m_overloads;
};

} // namespace banyanwall::benchmarks
