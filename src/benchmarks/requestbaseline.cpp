#include "benchmarks/requestbaseline.h"

#include <algorithm>
#include <utility>

namespace banyanwall::benchmarks {

using std::chrono::milliseconds;

namespace {

constexpr LinkQuality UpstreamLink { milliseconds(1), milliseconds(2), 100, 10'000 };
constexpr LinkQuality CallerLink { milliseconds(3), milliseconds(5), 200, 30'000 };
constexpr common::Duration SlotPollInterval = milliseconds(20);
constexpr common::Duration FabricListLag = std::chrono::seconds(3);
constexpr std::uint32_t LivesApart = 256;
constexpr std::uint32_t SlotShare =
        std::max<std::uint32_t>(1, UpstreamFake::Slots / RetryingRouter::Instances);

} // namespace

RetryingRouter::RetryingRouter(EventQueue &events, SimulatedNetwork &network, RequestLedger &ledger,
                               std::vector<UpstreamFake> &upstreams)
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
    return m_instances[instance].listed;
}

void RetryingRouter::kill(std::size_t instance)
{
    auto &self = m_instances[instance];
    self.running = false;
    ++self.life;
    self.requests.clear();
    std::ranges::fill(self.inUse, 0);
    m_events.after(FabricListLag, [&self] { self.listed = false; });
}

void RetryingRouter::restart(std::size_t instance)
{
    auto &self = m_instances[instance];
    self.waiting.clear();
    self.running = true;
    self.listed = true;
}

void RetryingRouter::pause(std::size_t instance)
{
    auto &self = m_instances[instance];
    self.running = false;
    m_events.after(FabricListLag, [&self] { self.listed = self.running; });
}

void RetryingRouter::resume(std::size_t instance)
{
    auto &self = m_instances[instance];
    self.running = true;
    self.listed = true;
    const auto waiting = std::exchange(self.waiting, {});
    for (const auto &event : waiting) {
        event();
    }
}

void RetryingRouter::setStoreUp(bool /*up*/) { }

void RetryingRouter::arrive(std::size_t instance, const EventQueue::Event &event)
{
    auto &self = m_instances[instance];
    if (self.running) {
        event();
    } else {
        self.waiting.push_back(event);
    }
}

void RetryingRouter::attempt(std::size_t instance, common::RequestKey key)
{
    auto &self = m_instances[instance];
    const auto found = self.requests.find(key);
    if (found == self.requests.end() || found->second.finished || found->second.holdsSlot) {
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
    // Attempts of different instances have different numbers.
    const auto unique = (number * Instances + static_cast<std::uint32_t>(instance)) * LivesApart
            + self.life % LivesApart;
    const connection::SlotKey slot { key, common::AttemptNumber(unique) };
    UpstreamFake::Dispatch sent {
        slot, request.arrival.requestId, request.arrival.deadline, {}, {}
    };
    const auto again = [this, instance, key, number] {
        arrive(instance, [this, instance, key, number] { retry(instance, key, number); });
    };
    sent.refuse = [this, again](request::DispatchRefusal) { m_network.send(UpstreamLink, again); };
    sent.answer = [this, instance](const request::AnswerFragment &fragment) {
        m_network.send(UpstreamLink, [this, instance, fragment] {
            arrive(instance, [this, instance, fragment] { takeFragment(instance, fragment); });
        });
    };
    auto &upstream = m_upstreams[request.upstream];
    m_network.send(UpstreamLink, [&upstream, sent] { upstream.onDispatch(sent); });
    m_events.after(AttemptTimeout, again);
}

void RetryingRouter::retry(std::size_t instance, common::RequestKey key, std::uint32_t attempted)
{
    auto &self = m_instances[instance];
    const auto found = self.requests.find(key);
    if (found == self.requests.end() || found->second.finished || !found->second.holdsSlot
        || found->second.attempt != attempted) {
        return;
    }
    freeSlot(self, found->second);
    if (attempted > MaxRetries) {
        fail(found->second);
    } else {
        attempt(instance, key);
    }
}

void RetryingRouter::takeFragment(std::size_t instance, const request::AnswerFragment &fragment)
{
    auto &self = m_instances[instance];
    const auto found = self.requests.find(fragment.key);
    if (found == self.requests.end() || found->second.finished) {
        return;
    }
    auto &request = found->second;
    request.parts.try_emplace(fragment.index, fragment.payload);
    if (request.parts.size() < fragment.count) {
        return;
    }
    request.finished = true;
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
    request.finished = true;
    m_network.send(CallerLink, [this, id = request.arrival.requestId] {
        m_ledger.onVerdict(id, common::Verdict::NotRun);
    });
}

} // namespace banyanwall::benchmarks
