#include "benchmarks/requestbaseline.h"

#include <algorithm>
#include <utility>

namespace banyanwall::benchmarks {

using std::chrono::milliseconds;

namespace {

constexpr LinkQuality UpstreamLink { milliseconds(1), milliseconds(2), 100, 10'000 };
constexpr LinkQuality CallerLink { milliseconds(3), milliseconds(5), 200, 30'000 };
constexpr common::Duration SlotPollInterval = milliseconds(20);
// From a change of an instance until the fabric's list of instances shows it.
constexpr common::Duration FabricListLag = std::chrono::seconds(3);
constexpr std::uint32_t IncarnationRange = 256;
constexpr std::uint32_t SlotShare =
        std::max<std::uint32_t>(1, RequestUpstreamFake::Slots / RetryingRouter::Instances);

} // namespace

RetryingRouter::RetryingRouter(RequestEventQueue &events, SimulatedNetwork &network,
                               RequestLedger &ledger, std::vector<RequestUpstreamFake> &upstreams)
    : m_events(events)
    , m_network(network)
    , m_ledger(ledger)
    , m_upstreams(upstreams)
    , m_instances(Instances)
{
    for (auto &instance : m_instances) {
        instance.inUse.resize(upstreams.size());
    }
}

void RetryingRouter::receive(std::size_t instance, const request::RequestArrival &arrival)
{
    arrive(instance, [this, instance, arrival] {
        Request request;
        request.arrival = arrival;
        if (m_instances[instance].requests.try_emplace(arrival.key, request).second) {
            attempt(instance, arrival.key);
        }
    });
}

void RetryingRouter::cancel(std::size_t /*instance*/, common::RequestKey /*key*/) { }

bool RetryingRouter::isListed(std::size_t instance) const
{
    return m_instances[instance].isInFabricList;
}

void RetryingRouter::kill(std::size_t instance)
{
    auto &self = m_instances[instance];
    self.isRunning = false;
    ++self.incarnation;
    self.requests.clear();
    std::ranges::fill(self.inUse, 0);
    m_events.after(FabricListLag, [&self] { self.isInFabricList = false; });
}

void RetryingRouter::restart(std::size_t instance)
{
    auto &self = m_instances[instance];
    self.pendingEvents.clear();
    self.isRunning = true;
    self.isInFabricList = true;
}

void RetryingRouter::pause(std::size_t instance)
{
    auto &self = m_instances[instance];
    self.isRunning = false;
    m_events.after(FabricListLag, [&self] { self.isInFabricList = self.isRunning; });
}

void RetryingRouter::resume(std::size_t instance)
{
    auto &self = m_instances[instance];
    self.isRunning = true;
    self.isInFabricList = true;
    const auto pendingEvents = std::exchange(self.pendingEvents, {});
    for (const auto &event : pendingEvents) {
        event();
    }
}

void RetryingRouter::setStoreUp(bool /*up*/) { }

void RetryingRouter::arrive(std::size_t instance, const RequestEventQueue::Event &event)
{
    auto &self = m_instances[instance];
    if (self.isRunning) {
        event();
    } else {
        self.pendingEvents.push_back(event);
    }
}

void RetryingRouter::attempt(std::size_t instance, common::RequestKey key)
{
    auto &self = m_instances[instance];
    const auto found = self.requests.find(key);
    if (found == self.requests.end() || found->second.isFinished || found->second.holdsSlot) {
        return;
    }
    auto &request = found->second;
    if (m_events.moment().wall >= request.arrival.deadline) {
        fail(request);
        return;
    }
    std::vector<std::size_t> free;
    for (std::size_t upstream = 0; upstream < self.inUse.size(); ++upstream) {
        if (self.inUse[upstream] < SlotShare) {
            free.push_back(upstream);
        }
    }
    if (free.empty()) {
        m_events.after(SlotPollInterval, [this, instance, key] {
            arrive(instance, [this, instance, key] { attempt(instance, key); });
        });
        return;
    }
    request.upstream = free[m_network.random(0, free.size() - 1)];
    dispatch(instance, key);
}

void RetryingRouter::dispatch(std::size_t instance, common::RequestKey key)
{
    auto &self = m_instances[instance];
    auto &request = self.requests.at(key);
    ++self.inUse[request.upstream];
    request.holdsSlot = true;
    const auto number = ++request.attempt;
    // The number of an attempt differs between instances and restarts, because the upstream runs
    // each attempt number of a request only once.
    const auto uniqueNumber =
            (number * Instances + static_cast<std::uint32_t>(instance)) * IncarnationRange
            + self.incarnation % IncarnationRange;
    const connection::SlotKey slot { key, common::AttemptNumber(uniqueNumber) };
    RequestUpstreamFake::Dispatch sent {
        slot, request.arrival.requestId, request.arrival.deadline, {}, {}
    };
    const auto scheduleRetry = [this, instance, key, number] {
        arrive(instance, [this, instance, key, number] { retry(instance, key, number); });
    };
    sent.refuse = [this, scheduleRetry](request::DispatchRefusal) {
        m_network.send(UpstreamLink, scheduleRetry);
    };
    sent.answer = [this, instance](const request::AnswerFragment &fragment) {
        m_network.send(UpstreamLink, [this, instance, fragment] {
            arrive(instance, [this, instance, fragment] { onFragment(instance, fragment); });
        });
    };
    auto &upstream = m_upstreams[request.upstream];
    m_network.send(UpstreamLink, [&upstream, sent] { upstream.onDispatch(sent); });
    m_events.after(AttemptTimeout, scheduleRetry);
}

void RetryingRouter::retry(std::size_t instance, common::RequestKey key,
                           std::uint32_t attemptNumber)
{
    auto &self = m_instances[instance];
    const auto found = self.requests.find(key);
    if (found == self.requests.end() || found->second.isFinished || !found->second.holdsSlot
        || found->second.attempt != attemptNumber) {
        return;
    }
    freeSlot(self, found->second);
    if (attemptNumber > MaxRetries) {
        fail(found->second);
    } else {
        attempt(instance, key);
    }
}

void RetryingRouter::onFragment(std::size_t instance, const request::AnswerFragment &fragment)
{
    auto &self = m_instances[instance];
    const auto found = self.requests.find(fragment.key);
    if (found == self.requests.end() || found->second.isFinished) {
        return;
    }
    auto &request = found->second;
    request.parts.try_emplace(fragment.index, fragment.payload);
    if (request.parts.size() < fragment.count) {
        return;
    }
    request.isFinished = true;
    freeSlot(self, request);
    std::string answer;
    for (const auto &[index, part] : request.parts) {
        answer += part;
    }
    m_network.send(CallerLink, [this, id = request.arrival.requestId, answer] {
        m_ledger.onAnswer(id, answer);
    });
}

void RetryingRouter::freeSlot(Instance &instance, Request &request)
{
    if (std::exchange(request.holdsSlot, false)) {
        auto &used = instance.inUse[request.upstream];
        used -= std::min(used, 1U);
    }
}

void RetryingRouter::fail(Request &request)
{
    request.isFinished = true;
    m_network.send(CallerLink, [this, id = request.arrival.requestId] {
        m_ledger.onVerdict(id, common::Verdict::NotRun);
    });
}

} // namespace banyanwall::benchmarks
