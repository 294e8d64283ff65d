#pragma once

#include "benchmarks/eventqueue.h"
#include "version/directory.h"

#include <cstdint>
#include <deque>
#include <functional>

namespace banyanwall::benchmarks {

/// Upstream with slots and a bounded queue. It can turn slow, or silent.
class FlowUpstreamFake
{
public:
    /// accepted is false when the queue is full.
    using Answer = std::function<void(bool accepted)>;

    FlowUpstreamFake(EventQueue &events, const version::UpstreamRecord &record);

    [[nodiscard]] const version::UpstreamRecord &record() const { return m_record; }

    [[nodiscard]] bool isSilent() const { return m_isSilent; }

    [[nodiscard]] std::uint64_t openings() const { return m_openings; }

    void countOpening() { ++m_openings; }

    /// Runs a request and answers it, unless the upstream is silent by then.
    void serve(common::Duration work, Answer answer);

    void setSlowness(double factor) { m_slowness = factor; }

    /// Of so many requests one is worked on and not answered; 0 for none.
    void setMuteEvery(std::uint32_t count) { m_muteEvery = count; }

    /// Drops all requests; takes packets again when it is no longer silent.
    void setSilent(bool isSilent);

private:
    struct Request
    {
        common::Duration work;
        Answer answer;
    };

    void startNext();

    // The platform's upstreams queue this many requests.
    static constexpr std::size_t QueueLimit = 12;

    EventQueue &m_events;
    version::UpstreamRecord m_record;
    std::deque<Request> m_queue;
    std::uint32_t m_running = 0;
    std::uint64_t m_openings = 0;
    /// Answers of a former life are not sent.
    std::uint64_t m_life = 0;
    double m_slowness = 1.0;
    bool m_isSilent = false;
    std::uint32_t m_muteEvery = 0;
    std::uint32_t m_served = 0;
};

} // namespace banyanwall::benchmarks
