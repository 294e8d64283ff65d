#pragma once

#include "benchmarks/requestledger.h"
#include "benchmarks/requestsimulation.h"
#include "benchmarks/requestupstreamfake.h"
#include "common/hash.h"
#include "request/coordinator.h"

#include <cstdint>
#include <vector>

namespace banyanwall::benchmarks {

/// Load and failures of one run.
struct ScenarioSettings
{
    std::uint64_t seed = 1;
    std::uint64_t requests = 100'000;
    std::uint32_t requestsPerSecond = 500;
    bool hasFailures = true;
    /// All upstreams turn cold at this time after the start; zero means never.
    common::Duration allColdAt {};
};

/// Simulates the callers, the fabric and the failures for a fleet of instances.
///
/// A caller retransmits its request every second until it has a verdict or one second after its
/// deadline. The fabric hands every packet to a random listed instance, loses 0.02 % and duplicates
/// 3 % of the packets. With failures on, an instance is killed or paused every 7 s, an upstream
/// turns cold every 3 s, the store is down from 80 s to 110 s, and callers cancel 0.5 % of the
/// requests.
template<typename Fleet>
class Scenario
{
public:
    Scenario(const ScenarioSettings &settings, RequestEventQueue &events, SimulatedNetwork &network,
             RequestLedger &ledger, std::vector<RequestUpstreamFake> &upstreams, Fleet &fleet)
        : m_settings(settings)
        , m_events(events)
        , m_network(network)
        , m_ledger(ledger)
        , m_upstreams(upstreams)
        , m_fleet(fleet)
        , m_start(events.now())
    { }

    /// Queues the load and the failures; the user of this class runs the events.
    void schedule()
    {
        m_events.after({}, [this] { nextRequest(); });
        if (m_settings.allColdAt.count() != 0) {
            m_events.after(m_settings.allColdAt, [this] {
                for (auto &upstream : m_upstreams) {
                    upstream.turnCold();
                }
            });
        }
        if (m_settings.hasFailures) {
            m_events.after(FailureInterval, [this] { nextFailure(); });
            m_events.after(ColdInterval, [this] { nextColdTurn(); });
            m_events.after(StoreDownAt, [this] { m_fleet.setStoreUp(false); });
            m_events.after(StoreUpAt, [this] { m_fleet.setStoreUp(true); });
        }
    }

    /// Time at which each request has its verdict or is far beyond its deadline.
    [[nodiscard]] common::TimePoint end() const { return m_start + loadTime() + SettleTime; }

private:
    static constexpr LinkQuality FabricLink { std::chrono::milliseconds(3),
                                              std::chrono::milliseconds(6), 200, 30'000 };
    static constexpr common::Duration Deadline = std::chrono::seconds(5);
    static constexpr common::Duration RetransmitInterval = std::chrono::seconds(1);
    static constexpr common::Duration FailureInterval = std::chrono::seconds(7);
    static constexpr common::Duration RestartAfter = std::chrono::seconds(8);
    static constexpr common::Duration ShortPause = std::chrono::milliseconds(6'500);
    static constexpr common::Duration LongPause = std::chrono::seconds(14);
    static constexpr common::Duration ColdInterval = std::chrono::seconds(3);
    static constexpr common::Duration StoreDownAt = std::chrono::seconds(80);
    static constexpr common::Duration StoreUpAt = std::chrono::seconds(110);
    static constexpr common::Duration SettleTime = std::chrono::seconds(40);
    static constexpr std::int64_t CallerClockErrorMs = 200;
    static constexpr std::uint64_t CancelledPerMille = 5;

    [[nodiscard]] common::Duration loadTime() const
    {
        return std::chrono::seconds(m_settings.requests / m_settings.requestsPerSecond);
    }

    [[nodiscard]] std::size_t anyInstance()
    {
        std::size_t instance = 0;
        do {
            instance = m_network.random(0, Fleet::Instances - 1);
        } while (!m_fleet.isListed(instance));
        return instance;
    }

    void nextRequest()
    {
        const auto id = m_ledger.add(m_sent % 2 == 0);
        const auto error = static_cast<std::int64_t>(m_network.random(0, 2 * CallerClockErrorMs))
                - CallerClockErrorMs;
        request::RequestArrival arrival;
        arrival.key = common::RequestKey(common::hashPair(id, m_settings.seed));
        arrival.service = common::ServiceId(1);
        arrival.requestId = id;
        arrival.repeatable = m_ledger.isRepeatable(id);
        arrival.issued = m_events.moment().wall + std::chrono::milliseconds(error);
        arrival.deadline =
                arrival.issued + std::chrono::duration_cast<std::chrono::milliseconds>(Deadline);
        transmit(arrival);
        if (m_settings.hasFailures && m_network.random(1, 1'000) <= CancelledPerMille) {
            const auto cancelDelay =
                    m_network.random(std::chrono::milliseconds(5), std::chrono::milliseconds(200));
            m_events.after(cancelDelay, [this, key = arrival.key] {
                m_network.send(FabricLink, [this, key] { m_fleet.cancel(anyInstance(), key); });
            });
        }
        if (++m_sent < m_settings.requests) {
            const auto mean = common::Duration(1'000'000 / m_settings.requestsPerSecond);
            m_events.after(m_network.random(common::Duration(0), 2 * mean),
                           [this] { nextRequest(); });
        }
    }

    void transmit(request::RequestArrival arrival)
    {
        if (m_ledger.hasVerdict(arrival.requestId)
            || m_events.moment().wall > arrival.deadline + std::chrono::seconds(1)) {
            return;
        }
        m_network.send(FabricLink, [this, arrival] { m_fleet.receive(anyInstance(), arrival); });
        ++arrival.transmission;
        m_events.after(RetransmitInterval, [this, arrival] { transmit(arrival); });
    }

    void nextFailure()
    {
        // The instances fail in turn, so that each one has recovered before its next failure.
        const auto instance = m_failures % Fleet::Instances;
        switch (m_failures++ % 3) {
        case 0:
            m_fleet.kill(instance);
            m_events.after(RestartAfter, [this, instance] { m_fleet.restart(instance); });
            break;
        case 1:
            m_fleet.pause(instance);
            m_events.after(LongPause, [this, instance] { m_fleet.resume(instance); });
            break;
        default:
            m_fleet.pause(instance);
            m_events.after(ShortPause, [this, instance] { m_fleet.resume(instance); });
            break;
        }
        if (m_events.now() < m_start + loadTime()) {
            m_events.after(FailureInterval, [this] { nextFailure(); });
        }
    }

    void nextColdTurn()
    {
        m_upstreams[m_network.random(0, m_upstreams.size() - 1)].turnCold();
        if (m_events.now() < m_start + loadTime()) {
            m_events.after(ColdInterval, [this] { nextColdTurn(); });
        }
    }

    ScenarioSettings m_settings;
    RequestEventQueue &m_events;
    SimulatedNetwork &m_network;
    RequestLedger &m_ledger;
    std::vector<RequestUpstreamFake> &m_upstreams;
    Fleet &m_fleet;
    common::TimePoint m_start;
    std::uint64_t m_sent = 0;
    std::uint64_t m_failures = 0;
};

} // namespace banyanwall::benchmarks
