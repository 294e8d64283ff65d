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

/// Baseline: each instance handles the requests that it receives without coordination with other
/// instances. It uses an equal share of every upstream's slots, but at least one, retries up to
/// MaxRetries times after a timeout or refusal, and reports a failure to the caller as "not run".
class RetryingRouter
{
public:
    static constexpr std::uint32_t Instances = 16;
    static constexpr std::uint32_t MaxRetries = 2;
    static constexpr common::Duration AttemptTimeout = std::chrono::seconds(1);

    RetryingRouter(RequestEventQueue &events, SimulatedNetwork &network, RequestLedger &ledger,
                   std::vector<RequestUpstreamFake> &upstreams);

    void receive(std::size_t instance, const request::RequestArrival &arrival);
    void cancel(std::size_t instance, common::RequestKey key);
    [[nodiscard]] bool isListed(std::size_t instance) const;
    void kill(std::size_t instance);
    void restart(std::size_t instance);
    void pause(std::size_t instance);
    void resume(std::size_t instance);
    /// Does nothing: this router does not use the store.
    void setStoreUp(bool isUp);

private:
    struct Request
    {
        request::RequestArrival arrival;
        std::uint32_t attempt = 0;
        std::size_t upstream = 0;
        bool holdsSlot = false;
        bool isFinished = false;
        /// Fragments of the answer by index; they may come from different attempts.
        std::map<std::uint32_t, std::string> parts;
    };

    struct Instance
    {
        bool isRunning = true;
        bool isInFabricList = true;
        std::uint32_t incarnation = 0;
        std::map<common::RequestKey, Request> requests;
        /// Slots in use, by upstream.
        std::vector<std::uint32_t> inUse;
        std::vector<RequestEventQueue::Event> pendingEvents;
    };

    void arrive(std::size_t instance, const RequestEventQueue::Event &event);
    void attempt(std::size_t instance, common::RequestKey key);
    void dispatch(std::size_t instance, common::RequestKey key);
    void retry(std::size_t instance, common::RequestKey key, std::uint32_t attempt);
    void onFragment(std::size_t instance, const request::AnswerFragment &fragment);
    void freeSlot(Instance &instance, Request &request);
    void fail(Request &request);

    RequestEventQueue &m_events;
    SimulatedNetwork &m_network;
    RequestLedger &m_ledger;
    std::vector<RequestUpstreamFake> &m_upstreams;
    std::vector<Instance> m_instances;
};

} // namespace banyanwall::benchmarks
