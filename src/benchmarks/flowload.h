#pragma once

#include "benchmarks/eventqueue.h"
#include "benchmarks/flowbalancer.h"
#include "benchmarks/flowdemand.h"
#include "benchmarks/flowloadresult.h"
#include "benchmarks/flowloadsizes.h"
#include "benchmarks/flowupstreamfake.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace banyanwall::benchmarks {

/// Discrete-event simulation of the callers, instances and upstreams of one service. Callers send
/// opening packets and requests, retransmit them, and retry after a reset or rejection, as on the
/// users' platform. Functions that run at given times inject the faults.
class FlowLoad
{
public:
    FlowLoad(const ChoiceKind &kind, const FlowLoadSizes &sizes, std::uint32_t seed);

    /// Runs the action at the given time after the start of traffic. To be called before run().
    void at(common::Duration time, std::function<void()> action);
    [[nodiscard]] FlowLoadResult run();

    /// Multiplies the work of each request at this upstream by the factor.
    void setSlowness(int upstream, double factor);
    /// The upstream leaves every count-th request without an answer; 0 answers all.
    void dropAnswerEvery(int upstream, std::uint32_t count);
    /// The upstream drops its requests and answers nothing. The platform removes its directory
    /// entry 2.6 s later, unless the upstream has restarted by then.
    void crash(int upstream);
    /// The upstream answers again and its directory entry is published again.
    void restart(int upstream);
    /// Pairs of an instance and a running upstream that this instance suspects.
    [[nodiscard]] std::size_t wronglySuspectedPairs();
    /// Opening packets that instances have forwarded to this upstream so far.
    [[nodiscard]] std::uint64_t openings(int upstream) const;
    /// Drops all packets between instances and upstreams of this zone and those of other zones.
    /// Callers still reach all instances.
    void cutZone(int zone, bool isCut);
    /// All feeds lose their flows at once and open new ones for their next requests.
    void reconnectAll();

private:
    struct Caller;
    struct Request;

    void startTraffic();
    void scheduleFeed(const std::shared_ptr<Caller> &caller);
    void scheduleSubmission();
    void startRequest(const std::shared_ptr<Caller> &caller);
    void open(const std::shared_ptr<Request> &request);
    void sendOpening(const std::shared_ptr<Request> &request, std::uint32_t transmission);
    void onOpened(const std::shared_ptr<Request> &request, int upstream);
    void sendRequest(const std::shared_ptr<Request> &request, common::Duration retransmitAfter);
    void onAnswer(const std::shared_ptr<Request> &request, bool accepted);
    void onReset(const std::shared_ptr<Request> &request);
    void retry(const std::shared_ptr<Request> &request);
    void finish(const std::shared_ptr<Request> &request, bool succeeded);
    [[nodiscard]] std::size_t instanceOf(const Caller &caller) const;
    [[nodiscard]] bool canReach(std::size_t instance, int upstream) const;
    [[nodiscard]] bool drawLoss();
    [[nodiscard]] int indexOf(common::UpstreamSerial serial) const;
    [[nodiscard]] connection::FlowPacket packetOf(const Caller &caller) const;
    /// Moves the demand of a feed to the upstream that its new flow goes to.
    void countFeedFlow(const Caller &caller, int upstream);
    /// The upstream that is expected to answer first a request that this instance opens a flow for;
    /// null when it reaches none.
    [[nodiscard]] const version::UpstreamRecord *soonestUpstream(std::size_t instance) const;
    void publish(const version::DirectoryChange &change);
    void exchangeHealthReports();
    void exchangeLoadReports();
    void deliverResets();

    FlowLoadSizes m_sizes;
    EventQueue m_events;
    std::mt19937 m_random;
    FlowDemand m_demand;
    common::TimePoint m_start;
    std::vector<std::unique_ptr<FlowBalancer>> m_instances;
    std::vector<std::unique_ptr<FlowUpstreamFake>> m_upstreams;
    std::vector<std::shared_ptr<Caller>> m_feeds;
    /// Requests that were sent, by the caller's endpoint.
    std::map<common::Endpoint, std::weak_ptr<Request>> m_requestsByCaller;
    std::vector<bool> m_cutZones;
    std::uint64_t m_revision = 1;
    std::uint32_t m_nextCaller = 0;
    FlowLoadResult m_result;
};

} // namespace banyanwall::benchmarks
