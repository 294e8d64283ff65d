#pragma once

#include "common/endpoint.h"
#include "common/ids.h"
#include "common/time.h"
#include "tools/clockreading.h"
#include "tools/upstreamledger.h"
#include "wire/datagram.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace banyanwall::tools {

struct UpstreamSettings
{
    /// "customer/service/upstream".
    std::string name;
    /// "customer/service".
    std::string service;
    /// Concurrent requests that a warm upstream can handle.
    std::uint32_t slots = 3;
    /// Maximum number of flows.
    std::uint32_t connections = 4400;
    /// Time from a dispatch to the answer of a warm upstream.
    common::Duration usualLatency = std::chrono::milliseconds(20);
    /// A cold upstream takes this many times the usual latency.
    std::uint32_t coldFactor = 10;
    /// Answers after which a cold upstream is warm.
    std::uint32_t warmAfterAnswers = 8;
    /// Concurrent requests that a cold upstream can handle. It can handle the same share of its
    /// connections as of its slots.
    std::uint32_t coldConcurrentRequests = 1;
    /// Probability that the fragments of an answer are sent in random order.
    double shuffleProbability = 0.3;
    std::size_t fragmentBytes = 1200;
    /// Interval at which the state in the health reports is updated; a report can be this old.
    common::Duration healthLag = std::chrono::seconds(1);
    /// Whether the upstream refuses requests beyond its slots instead of running them.
    bool shouldShedOverLimit = true;
};

/// Behaviour of one upstream: computes the answers to each datagram, without sockets and clocks.
class UpstreamModel
{
public:
    /// State in the health reports: the actual one, always healthy and idle, or always unhealthy.
    enum class HealthReporting {
        Actual,
        AlwaysHealthy,
        AlwaysUnhealthy,
    };

    struct Outgoing
    {
        common::Endpoint receiver;
        wire::proto::UpstreamMessage message;
    };

    UpstreamModel(UpstreamSettings settings, common::Incarnation incarnation, RunLedger &ledger,
                  std::uint64_t seed);

    [[nodiscard]] std::vector<Outgoing> onDatagram(std::string_view bytes, common::Endpoint sender,
                                                   ClockReading time);
    /// Answers of the requests that have finished by now.
    [[nodiscard]] std::vector<Outgoing> onTick(ClockReading time);

    /// Violations, packets of unknown flows and recorded new work since the last call, each as one
    /// line of key=value pairs with the packet that caused it.
    [[nodiscard]] std::vector<std::string> takeIncidents();

    /// Drops all flows and requests, ends draining and starts cold under the incarnation. Health
    /// reports are truthful again; the counters stay.
    void restart(common::Incarnation incarnation);
    /// Turns cold without a restart: incarnation, flows and requests stay.
    void turnCold();

    void setDraining(bool draining) { m_isDraining = draining; }

    void setHealthReporting(HealthReporting health) { m_healthReporting = health; }

    /// Records each new flow and request as an incident from now on. Used while the upstream leaves
    /// the service and must get no new work.
    void recordNewWork() { m_shouldRecordNewWork = true; }

    /// Stops answering the packets of the existing flows. New flows are answered.
    void stopAnsweringFlows();

    [[nodiscard]] const UpstreamSettings &settings() const { return m_settings; }

    [[nodiscard]] const UpstreamCounters &counters() const { return m_counters; }

    [[nodiscard]] common::Incarnation incarnation() const { return m_incarnation; }

    [[nodiscard]] std::size_t flows() const { return m_flows.size(); }

    [[nodiscard]] std::size_t busySlots() const { return m_work.size(); }

    [[nodiscard]] bool isCold() const { return m_coldAnswersLeft > 0; }

private:
    struct Flow
    {
        bool isUnanswered = false;
    };

    struct Work
    {
        common::TimePoint finishesAt;
        common::Endpoint sender;
        wire::proto::UpstreamMessage request;
    };

    struct ReportedState
    {
        common::TimePoint takenAt;
        std::uint32_t busySlots = 0;
        std::uint32_t connections = 0;
    };

    using Message = wire::proto::UpstreamMessage;

    [[nodiscard]] std::optional<Message> answerFlowPacket(const Message &message,
                                                          common::Endpoint sender);
    [[nodiscard]] std::optional<Message> openFlow(const Message &message, common::Endpoint sender);
    [[nodiscard]] std::optional<Message> echo(const Message &message, common::Endpoint sender);
    [[nodiscard]] std::optional<Message> dispatch(const Message &message, common::Endpoint sender,
                                                  ClockReading time);
    [[nodiscard]] std::optional<wire::proto::DispatchRefusalReason>
    refusalReason(const Message &message, ClockReading time) const;
    void startWork(const Message &message, common::Endpoint sender, ClockReading time);
    [[nodiscard]] std::optional<Message> rejectMisdirected(const Message &message,
                                                           common::Endpoint sender);
    void cancel(const wire::proto::DispatchCancel &cancel);
    [[nodiscard]] Message healthReport(const Message &probe, ClockReading time);
    [[nodiscard]] Message replyTo(const Message &message) const;
    [[nodiscard]] Message reset(const Message &message, wire::proto::ResetReason reason) const;
    [[nodiscard]] Message refusal(const Message &message,
                                  wire::proto::DispatchRefusalReason reason) const;
    void appendAnswer(const Work &work, std::vector<Outgoing> &outgoing);
    void countColdOverload(const Message &message, common::Endpoint sender);
    void recordIncident(std::string_view kind, const Message &message, common::Endpoint sender);
    void countMessage(const Message &message, common::Endpoint sender, ClockReading time);
    /// Whether the payload names another service, which means that the packet was misdirected.
    [[nodiscard]] bool isPayloadOfAnotherService(const Message &message) const;

    UpstreamSettings m_settings;
    common::Incarnation m_incarnation;
    common::ServiceId m_serviceId;
    common::UpstreamId m_id;
    RunLedger &m_ledger;
    std::mt19937_64 m_random;
    UpstreamCounters m_counters;
    std::unordered_map<std::uint64_t, Flow> m_flows;
    std::vector<Work> m_work;
    std::uint32_t m_coldAnswersLeft;
    bool m_hasTurnedCold = false;
    bool m_isDraining = false;
    HealthReporting m_healthReporting = HealthReporting::Actual;
    ReportedState m_reportedState;
    bool m_shouldRecordNewWork = false;
    std::vector<std::string> m_incidents;
};

} // namespace banyanwall::tools
