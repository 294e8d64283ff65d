#pragma once

#include "benchmarks/eventqueue.h"
#include "version/directory.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

namespace banyanwall::benchmarks {

/// Simulated upstream with slots and a bounded queue. Tests can slow it down, crash it, or let it
/// leave requests without an answer.
class FlowUpstreamFake
{
public:
    /// accepted is false when the queue was full and the request did not run.
    using Answer = std::function<void(bool accepted)>;

    FlowUpstreamFake(EventQueue &events, const version::UpstreamRecord &record);

    [[nodiscard]] const version::UpstreamRecord &record() const { return m_record; }

    [[nodiscard]] bool isCrashed() const { return m_isCrashed; }

    [[nodiscard]] std::uint64_t openings() const { return m_openings; }

    void countOpening();

    /// Adds to the mean number of slots that open flows keep busy.
    void addBusySlots(double busySlots) { m_busySlots += busySlots; }

    /// Time in which a request of this work is expected to be answered when its flow is opened now,
    /// with knowledge of all requests that are queued, run or are on their way.
    [[nodiscard]] common::Duration expectedTime(common::Duration work) const;

    /// Queues and runs a request that takes this work, then calls answer. Rejects the request at
    /// once when the queue is full; never answers a request when the upstream crashes before
    /// the request has finished.
    void serve(common::Duration work, Answer answer);

    void setSlowness(double factor) { m_slowness = factor; }

    /// Every count-th request runs without being answered; 0 answers all.
    void dropAnswerEvery(std::uint32_t count) { m_dropAnswerEvery = count; }

    /// A crash drops all queued and running requests.
    void setCrashed(bool isCrashed);

private:
    struct Request
    {
        common::Duration work;
        Answer answer;
    };

    void startNext();

    // Requests that an upstream of the users' platform queues before it rejects.
    static constexpr std::size_t QueueLimit = 12;

    EventQueue &m_events;
    version::UpstreamRecord m_record;
    std::deque<Request> m_queue;
    std::uint32_t m_running = 0;
    std::uint64_t m_openings = 0;
    /// Flows whose first request is still on its way.
    std::deque<common::TimePoint> m_recentOpenings;
    double m_busySlots = 0.0;
    std::vector<common::TimePoint> m_finishTimes;
    /// Incremented by each crash: answers to requests from before the crash are not sent.
    std::uint64_t m_crashes = 0;
    double m_slowness = 1.0;
    bool m_isCrashed = false;
    std::uint32_t m_dropAnswerEvery = 0;
    std::uint32_t m_served = 0;
};

} // namespace banyanwall::benchmarks
