#pragma once

#include "benchmarks/requestledger.h"
#include "benchmarks/requestsimulation.h"
#include "benchmarks/requestupstreamfake.h"
#include "request/coordinator.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace banyanwall::benchmarks {

/// The baseline: each instance serves the requests it receives on its own. It has an equal share of
/// every upstream's slots, at least one, retries on timeout or refusal up to MaxRetries times, and
/// reports a failure to the caller as not run.
class RetryingRouter
{
public:
    static constexpr std::uint32_t Instances = 16;
    static constexpr std::uint32_t MaxRetries = 2;
    static constexpr common::Duration AttemptTimeout = std::chrono::seconds(1);

    RetryingRouter(EventQueue &events, SimulatedNetwork &network, RequestLedger &ledger,
                   std::vector<UpstreamFake> &upstreams);

    void receive(std::size_t instance, const request::RequestArrival &arrival);
    void cancel(std::size_t instance, common::RequestKey key);
    [[nodiscard]] bool isListed(std::size_t instance) const;
    void kill(std::size_t instance);
    void restart(std::size_t instance);
    void pause(std::size_t instance);
    void resume(std::size_t instance);
    /// This router does not use the store.
    void setStoreUp(bool up);

private:
    struct Request
    {
        request::RequestArrival arrival;
        std::uint32_t attempt = 0;
        std::size_t upstream = 0;
        bool holdsSlot = false;
        bool finished = false;
        /// Fragments of the answer by index, from whichever attempt.
        std::map<std::uint32_t, std::string> parts;
    };

    struct Instance
    {
        bool running = true;
        bool listed = true;
        std::uint32_t life = 0;
        std::map<common::RequestKey, Request> requests;
        /// Slots in use, by upstream.
        std::vector<std::uint32_t> inUse;
        std::vector<EventQueue::Event> waiting;
    };

    void arrive(std::size_t instance, const EventQueue::Event &event);
    void attempt(std::size_t instance, common::RequestKey key);
    void dispatch(std::size_t instance, common::RequestKey key);
    void retry(std::size_t instance, common::RequestKey key, std::uint32_t attempt);
    void takeFragment(std::size_t instance, const request::AnswerFragment &fragment);
    void freeSlot(Instance &instance, Request &request);
    void fail(Request &request);

    EventQueue &m_events;
    SimulatedNetwork &m_network;
    RequestLedger &m_ledger;
    std::vector<UpstreamFake> &m_upstreams;
    std::vector<Instance> m_instances;
};

} // namespace banyanwall::benchmarks
