#include "benchmarks/requestfleet.h"

#include "common/result.h"

#include <algorithm>
#include <utility>

namespace banyanwall::benchmarks {

using common::Duration;
using common::InstanceId;
using common::UpstreamId;
using connection::SlotOutcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr LinkQuality PeerLink { milliseconds(1), milliseconds(2), 20, 1'000 };
constexpr LinkQuality UpstreamLink { milliseconds(1), milliseconds(2), 100, 10'000 };
constexpr LinkQuality CallerLink { milliseconds(3), milliseconds(5), 200, 30'000 };
constexpr int MaxHops = 3;

} // namespace

CoordinatorFleet::CoordinatorFleet(RequestEventQueue &events, SimulatedNetwork &network,
                                   RequestLedger &ledger,
                                   std::vector<RequestUpstreamFake> &upstreams, bool hasSlowStart,
                                   std::uint64_t seed)
    : m_events(events)
    , m_network(network)
    , m_ledger(ledger)
    , m_upstreams(upstreams)
    , m_hasSlowStart(hasSlowStart)
    , m_nextSeed(seed)
    , m_instances(Instances)
{
    for (std::size_t index = 0; index < Instances; ++index) {
        m_instances[index].id = InstanceId(static_cast<std::uint32_t>(index + 1));
        m_instances[index].leaseEnd = events.moment().wall + seconds(10);
    }
    pushView(std::nullopt);
    for (std::size_t index = 0; index < Instances; ++index) {
        startInstance(index);
        m_instances[index].guard.onRenewed(events.now());
        tick(index);
        acknowledge(index);
        scheduleRenewal(index);
        for (std::size_t upstream = 0; upstream < upstreams.size(); ++upstream) {
            if (ownerOf(index, upstreamId(upstream)) == index) {
                addOwner(index, upstreamId(upstream));
            }
        }
    }
}

common::ZoneId CoordinatorFleet::zoneOf(std::size_t index)
{
    return common::ZoneId(static_cast<std::uint32_t>(index % Zones));
}

UpstreamId CoordinatorFleet::upstreamId(std::size_t index)
{
    return UpstreamId(static_cast<std::uint32_t>(index + 1));
}

void CoordinatorFleet::receive(std::size_t instance, const request::RequestArrival &arrival)
{
    arrive(instance, [this, instance, arrival] { handleRequest(instance, arrival, 0); });
}

void CoordinatorFleet::cancel(std::size_t instance, common::RequestKey key)
{
    arrive(instance, [this, instance, key] { handleCancel(instance, key, 0); });
}

bool CoordinatorFleet::isListed(std::size_t instance) const
{
    return m_instances[instance].isInFabricList;
}

void CoordinatorFleet::toInstance(std::size_t instance, const LinkQuality &link,
                                  const RequestEventQueue::Event &event)
{
    m_network.send(link, [this, instance, event] { arrive(instance, event); });
}

void CoordinatorFleet::arrive(std::size_t instance, const RequestEventQueue::Event &event)
{
    switch (m_instances[instance].condition) {
    case Condition::Running:
        event();
        break;
    case Condition::Paused:
        m_instances[instance].pendingEvents.push_back(event);
        break;
    case Condition::Down:
        break;
    }
}

void CoordinatorFleet::handleRequest(std::size_t instance, const request::RequestArrival &arrival,
                                     int hops)
{
    auto &self = m_instances[instance];
    const auto coordinator = viewOf(instance).coordinator(arrival.key);
    if (self.coordinator->knows(arrival.key) || coordinator == self.id) {
        perform(instance, self.coordinator->onRequest(arrival, m_events.moment()));
    } else if (hops < MaxHops && coordinator) {
        const auto next = coordinator->value() - 1;
        toInstance(next, PeerLink,
                   [this, next, arrival, hops] { handleRequest(next, arrival, hops + 1); });
    }
}

void CoordinatorFleet::handleCancel(std::size_t instance, common::RequestKey key, int hops)
{
    auto &self = m_instances[instance];
    const auto coordinator = viewOf(instance).coordinator(key);
    if (self.coordinator->knows(key) || coordinator == self.id) {
        perform(instance, self.coordinator->onCancel(key, m_events.moment()));
    } else if (hops < MaxHops && coordinator) {
        const auto next = coordinator->value() - 1;
        toInstance(next, PeerLink, [this, next, key, hops] { handleCancel(next, key, hops + 1); });
    }
}

void CoordinatorFleet::perform(std::size_t instance, const request::RequestActions &actions)
{
    const auto handle = common::Overloaded {
        [](const request::CancelDispatch &) { /* Simulated upstreams ignore cancellations. */ },
        [this](const request::CountRetry &) { ++m_retries; },
        [this](const request::CountDrop &) { ++m_drops; },
        [this, instance](const auto &action) { perform(instance, action); },
    };
    for (const auto &action : actions) {
        std::visit(handle, action);
    }
}

void CoordinatorFleet::perform(std::size_t instance, const request::RequestSlot &slotRequest)
{
    const auto owner = ownerOf(instance, slotRequest.upstream);
    if (!owner) {
        return;
    }
    toInstance(*owner, PeerLink, [this, instance, slotRequest, owner = *owner] {
        const auto role = m_instances[owner].owners.find(slotRequest.upstream);
        if (role == m_instances[owner].owners.end()) {
            return;
        }
        const bool isGranted =
                role->second.acquire(slotRequest.slot, slotRequest.hold, m_events.now());
        if (isGranted) {
            m_upstreams[slotRequest.upstream.value() - 1].onSlotGranted(slotRequest.slot);
        }
        toInstance(instance, PeerLink, [this, instance, slot = slotRequest.slot, isGranted] {
            perform(instance,
                    m_instances[instance].coordinator->onSlotAnswer(slot, isGranted,
                                                                    m_events.moment()));
        });
    });
}

void CoordinatorFleet::perform(std::size_t instance, const request::ReleaseSlot &release)
{
    const auto owner = ownerOf(instance, release.upstream);
    if (!owner) {
        return;
    }
    toInstance(*owner, PeerLink, [this, release, owner = *owner] {
        const auto role = m_instances[owner].owners.find(release.upstream);
        if (role == m_instances[owner].owners.end()) {
            return;
        }
        const auto outcome = m_hasSlowStart ? release.outcome : SlotOutcome::Answered;
        const auto latency = m_hasSlowStart ? release.latency : RequestUpstreamFake::UsualLatency;
        role->second.release(release.slot, outcome, latency, m_events.now());
        // The health endpoint of this upstream always reports that it is healthy.
        role->second.observeHealth(true, 0, m_events.now());
    });
}

void CoordinatorFleet::perform(std::size_t instance, const request::DispatchRequest &dispatch)
{
    RequestUpstreamFake::Dispatch sent {
        dispatch.slot, dispatch.requestId, dispatch.deadline, {}, {}
    };
    sent.refuse = [this, instance, slot = dispatch.slot](request::DispatchRefusal refusal) {
        toInstance(instance, UpstreamLink, [this, instance, slot, refusal] {
            perform(instance,
                    m_instances[instance].coordinator->onRefusal(slot, refusal, m_events.moment()));
        });
    };
    sent.answer = [this, instance](const request::AnswerFragment &fragment) {
        toInstance(instance, UpstreamLink, [this, instance, fragment] {
            perform(instance,
                    m_instances[instance].coordinator->onAnswer(fragment, m_events.moment()));
        });
    };
    auto &upstream = m_upstreams[dispatch.upstream.value() - 1];
    m_network.send(UpstreamLink, [&upstream, sent] { upstream.onDispatch(sent); });
}

void CoordinatorFleet::perform(std::size_t /*instance*/, const request::DeliverAnswer &answer)
{
    m_network.send(CallerLink,
                   [this, answer] { m_ledger.onAnswer(answer.requestId, answer.payload); });
}

void CoordinatorFleet::perform(std::size_t /*instance*/, const request::RefuseRequest &refusal)
{
    ++m_refusals[refusal.reason];
    m_network.send(CallerLink,
                   [this, refusal] { m_ledger.onVerdict(refusal.requestId, refusal.verdict); });
}

SlotCount CoordinatorFleet::slots() const
{
    SlotCount count;
    for (const auto &instance : m_instances) {
        for (const auto &[upstream, owner] : instance.owners) {
            count.usable += owner.window();
            count.busy += owner.busySlots(m_events.now());
        }
        count.inProgress += instance.coordinator->inProgress();
    }
    return count;
}

const connection::OwnerSelector &CoordinatorFleet::viewOf(std::size_t instance) const
{
    return *m_views[m_instances[instance].view].members;
}

std::optional<std::size_t> CoordinatorFleet::ownerOf(std::size_t instance,
                                                     UpstreamId upstream) const
{
    const auto owner = viewOf(instance).upstreamOwner(upstream, zoneOf(upstream.value() - 1));
    return owner ? std::optional<std::size_t>(owner->value() - 1) : std::nullopt;
}

std::size_t CoordinatorFleet::memberCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_instances, &Instance::isMember));
}

} // namespace banyanwall::benchmarks
