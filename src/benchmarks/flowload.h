#pragma once

#include "benchmarks/eventqueue.h"
#include "benchmarks/flowbalancer.h"
#include "benchmarks/flowupstreamfake.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace banyanwall::benchmarks {

/// Sizes of a load; the defaults are those of the workshop.
struct FlowLoadSizes
{
    int zones = 3;
    int instancesOfAZone = 7;
    int upstreams = 14;
    std::uint32_t slots = 3;
    /// Callers that keep a flow open and send a request a second.
    int feeds = 290;
    /// Requests a second that open a flow each and may run only once.
    double submissions = 83.0;
    common::Duration duration = std::chrono::seconds(20);
    /// Share of the packets to upstreams that are lost.
    double loss = 0.0;
};

struct FlowLoadResult
{
    std::uint64_t asked = 0;
    std::uint64_t inTime = 0;
    std::uint64_t late = 0;
    std::uint64_t failed = 0;
    /// Flows that were closed although their upstream lived and was reached.
    std::uint64_t wrongResets = 0;
    std::vector<common::Duration> latencies {};

    [[nodiscard]] double goodput() const;
    [[nodiscard]] double share(std::uint64_t part) const;
    [[nodiscard]] common::Duration percentile(double part);
};

/// Callers, instances and upstreams of one service as discrete events: opening packets and their
/// copies, requests and their repetitions, resets and retries as on the users' platform. Faults are
/// set by functions that run at given times.
class FlowLoad
{
public:
    FlowLoad(const ChoiceKind &kind, const FlowLoadSizes &sizes, std::uint32_t seed);

    /// Runs an action at a time from the start of traffic.
    void at(common::Duration time, std::function<void()> action);
    [[nodiscard]] FlowLoadResult run();

    void setSlowness(int upstream, double factor);
    /// Of so many requests one gets no answer; 0 for none.
    void setMuteEvery(int upstream, std::uint32_t count);
    /// The upstream falls silent. Its entry goes after the time that the platform takes for it.
    void crash(int upstream);
    void restart(int upstream);
    /// Pairs of an instance and an upstream that it suspects although it lives.
    [[nodiscard]] std::size_t wronglySuspected();
    /// Opening packets that the upstream got so far.
    [[nodiscard]] std::uint64_t openings(int upstream) const;
    /// Nothing passes between this zone and the others; callers reach all instances.
    void cutZone(int zone, bool isCut);
    /// All callers lose their flows at once.
    void reconnectAll();

private:
    struct Caller;
    struct Attempt;

    void startTraffic();
    void scheduleFeed(const std::shared_ptr<Caller> &caller);
    void scheduleSubmission();
    void ask(const std::shared_ptr<Caller> &caller);
    void open(const std::shared_ptr<Attempt> &attempt);
    void sendOpening(const std::shared_ptr<Attempt> &attempt, std::uint32_t copy);
    void onOpened(const std::shared_ptr<Attempt> &attempt, int upstream);
    void sendRequest(const std::shared_ptr<Attempt> &attempt, common::Duration repeatAfter);
    void onAnswer(const std::shared_ptr<Attempt> &attempt, bool accepted);
    void onReset(const std::shared_ptr<Attempt> &attempt);
    void retry(const std::shared_ptr<Attempt> &attempt);
    void finish(const std::shared_ptr<Attempt> &attempt, bool succeeded);
    [[nodiscard]] std::size_t instanceOf(const Caller &caller) const;
    [[nodiscard]] bool isReached(std::size_t instance, int upstream) const;
    [[nodiscard]] bool isLost();
    [[nodiscard]] int indexOf(common::UpstreamSerial serial) const;
    [[nodiscard]] connection::FlowPacket packetOf(const Caller &caller) const;
    [[nodiscard]] common::Duration drawWork(bool isFeed);
    void publish(const version::DirectoryChange &change);
    void exchangeReports();
    void deliverResets();

    FlowLoadSizes m_sizes;
    EventQueue m_events;
    std::mt19937 m_random;
    common::TimePoint m_start;
    std::vector<std::unique_ptr<FlowBalancer>> m_instances;
    std::vector<std::unique_ptr<FlowUpstreamFake>> m_upstreams;
    std::vector<std::shared_ptr<Caller>> m_feeds;
    /// Attempts whose request was sent, by the caller's endpoint.
    std::map<common::Endpoint, std::weak_ptr<Attempt>> m_sent;
    std::vector<bool> m_cutZones;
    std::uint64_t m_revision = 1;
    std::uint32_t m_nextCaller = 0;
    FlowLoadResult m_result;
};

} // namespace banyanwall::benchmarks
