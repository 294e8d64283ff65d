#include "benchmarks/requestcost.h"

#include "common/hash.h"
#include "request/coordinator.h"

#include <malloc.h>

#include <chrono>
#include <string>

namespace banyanwall::benchmarks {

using std::chrono::microseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t MeasuredRequests = 100'000;
constexpr std::size_t PayloadBytes = 200;
constexpr common::Duration RequestInterval = microseconds(100);
constexpr std::size_t RequestsPerTick = request::Coordinator::TickInterval / RequestInterval;

std::size_t allocatedBytes()
{
    return mallinfo2().uordblks;
}

/// A coordinator without a network; every slot is granted at once.
class LoneCoordinator
{
public:
    LoneCoordinator()
    {
        version::ServiceRoster roster;
        roster.service = common::ServiceId(1);
        roster.longestRequest = std::chrono::milliseconds(60'000);
        for (std::uint32_t id = 1; id <= 14; ++id) {
            roster.upstreams.push_back({ common::UpstreamId(id), common::ZoneId(1), {} });
        }
        m_coordinator.applyRoster(roster);
        m_coordinator.setInProgressBound(1'000'000);
        m_coordinator.setPermit({ true, m_moment.wall + std::chrono::hours(1) });
    }

    /// Passes in a new request and grants its slot, so that it is dispatched.
    connection::SlotKey start()
    {
        const auto id = m_next++;
        request::RequestArrival arrival;
        arrival.key = common::RequestKey(common::hashPair(id, 1));
        arrival.service = common::ServiceId(1);
        arrival.requestId = id;
        arrival.issued = m_moment.wall;
        arrival.deadline = m_moment.wall + seconds(30);
        arrival.payload.assign(PayloadBytes, 'p');
        arrival.returnToken.assign(24, 't');
        const auto actions = m_coordinator.onRequest(std::move(arrival), m_moment);
        const auto slot = std::get<request::RequestSlot>(actions.front()).slot;
        m_actionCount += m_coordinator.onSlotAnswer(slot, true, m_moment).size();
        return slot;
    }

    void answer(connection::SlotKey slot)
    {
        m_actionCount +=
                m_coordinator
                        .onAnswer({ slot.request, slot.attempt, 0, 1, m_checksum, m_answer },
                                  m_moment)
                        .size();
    }

    void cancel(connection::SlotKey slot)
    {
        m_actionCount += m_coordinator.onCancel(slot.request, m_moment).size();
    }

    void refuse(connection::SlotKey slot)
    {
        m_actionCount +=
                m_coordinator.onRefusal(slot, request::DispatchRefusal::Shed, m_moment).size();
    }

    void advance(common::Duration duration)
    {
        m_moment.now += duration;
        m_moment.wall = common::WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(
                m_moment.now.time_since_epoch()));
    }

    void tick() { m_actionCount += m_coordinator.onTick(m_moment).size(); }

private:
    request::Coordinator m_coordinator { 1 };
    request::Moment m_moment { common::TimePoint(seconds(1'000)),
                               common::WallTime(seconds(1'000)) };
    std::uint64_t m_next = 0;
    std::string m_answer = std::string(PayloadBytes, 'a');
    std::uint64_t m_checksum = common::hashBytes(m_answer);
    /// Prevents the compiler from removing calls whose actions are not used.
    std::size_t m_actionCount = 0;
};

double bytesPerFinishedRequest(std::size_t requests)
{
    LoneCoordinator coordinator;
    const auto before = allocatedBytes();
    {
        std::vector<connection::SlotKey> slots;
        for (std::size_t count = 0; count < requests; ++count) {
            slots.push_back(coordinator.start());
        }
        for (const auto slot : slots) {
            coordinator.cancel(slot);
            coordinator.refuse(slot);
        }
    }
    // Longer than the time in which the coordinator returns late grants.
    coordinator.advance(seconds(2));
    coordinator.tick();
    return static_cast<double>(allocatedBytes() - before) / static_cast<double>(requests);
}

} // namespace

CoordinatorCost measureCoordinator(std::size_t inProgress)
{
    CoordinatorCost cost;
    cost.bytesPerFinishedRequest = bytesPerFinishedRequest(inProgress);
    LoneCoordinator coordinator;
    const auto before = allocatedBytes();
    for (std::size_t count = 0; count < inProgress; ++count) {
        coordinator.start();
    }
    cost.bytesPerRequestInProgress =
            static_cast<double>(allocatedBytes() - before) / static_cast<double>(inProgress);
    const auto begin = std::chrono::steady_clock::now();
    for (std::size_t count = 0; count < MeasuredRequests; ++count) {
        coordinator.answer(coordinator.start());
        coordinator.advance(RequestInterval);
        if (count % RequestsPerTick == 0) {
            coordinator.tick();
        }
    }
    const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - begin;
    cost.requestsPerSecond = MeasuredRequests / taken.count();
    return cost;
}

} // namespace banyanwall::benchmarks
