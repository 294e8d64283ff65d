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
    std::uint32_t slots = 3;
    std::uint32_t connections = 4400;
    common::Duration usualLatency = std::chrono::milliseconds(20);
    /// A cold upstream takes this many times the usual latency.
    std::uint32_t coldFactor = 10;
    /// Answers after which a cold upstream is warm.
    std::uint32_t warmAfterAnswers = 8;
    /// Requests at a time that a cold upstream bears; of its connections it bears the same share.
    std::uint32_t coldSlots = 1;
    /// Probability that the fragments of an answer leave in random order.
    double shuffle = 0.3;
    std::size_t fragmentBytes = 1200;
    /// Age of the state that a health report tells.
    common::Duration healthLag = std::chrono::seconds(1);
    /// Refuse work beyond the slots instead of running it.
    bool shedsOverLimit = true;
};

/// Behaviour of one upstream: what it answers to each datagram, without sockets and clocks.
class UpstreamModel
{
public:
    enum class Health {
        Truthful,
        ClaimsHealthy,
        ClaimsSick,
    };

    struct Outgoing
    {
        common::Endpoint receiver;
        wire::proto::UpstreamMessage message;
    };

    UpstreamModel(UpstreamSettings settings, common::Incarnation incarnation, RunLedger &ledger,
                  std::uint64_t seed);

    [[nodiscard]] std::vector<Outgoing> onDatagram(std::string_view bytes, common::Endpoint sender,
                                                   Moment moment);
    /// Answers of the work that is finished by now.
    [[nodiscard]] std::vector<Outgoing> onTick(Moment moment);

    /// Violations and unknown flows since the last call, each as one line of key=value pairs with
    /// the packet that caused it.
    [[nodiscard]] std::vector<std::string> takeIncidents();

    /// Forgets all flows and work and is cold under a new incarnation; the counters stay.
    void restart(common::Incarnation incarnation);
    /// Becomes slow without notice; the incarnation stays.
    void turnCold();

    void setDraining(bool draining) { m_draining = draining; }

    void setHealth(Health health) { m_health = health; }

    /// Records new work as incidents from now on, while the upstream leaves the service.
    void watchNewWork() { m_watchesNewWork = true; }

    /// Existing flows get no more answers; new ones do.
    void silenceFlows();

    [[nodiscard]] const UpstreamSettings &settings() const { return m_settings; }

    [[nodiscard]] const UpstreamCounters &counters() const { return m_counters; }

    [[nodiscard]] common::Incarnation incarnation() const { return m_incarnation; }

    [[nodiscard]] std::size_t flows() const { return m_flows.size(); }

    [[nodiscard]] std::size_t busySlots() const { return m_work.size(); }

    [[nodiscard]] bool isCold() const { return m_coldAnswersLeft > 0; }

private:
    struct Flow
    {
        bool silent = false;
    };

    struct Work
    {
        common::TimePoint finished;
        common::Endpoint sender;
        wire::proto::UpstreamMessage request;
    };

    struct ReportedState
    {
        common::TimePoint taken;
        std::uint32_t busySlots = 0;
        std::uint32_t connections = 0;
    };

    using Message = wire::proto::UpstreamMessage;

    [[nodiscard]] std::optional<Message> answerFlowPacket(const Message &message,
                                                          common::Endpoint sender);
    [[nodiscard]] std::optional<Message> openFlow(const Message &message, common::Endpoint sender);
    [[nodiscard]] std::optional<Message> echo(const Message &message, common::Endpoint sender);
    [[nodiscard]] std::optional<Message> dispatch(const Message &message, common::Endpoint sender,
                                                  Moment moment);
    [[nodiscard]] std::optional<wire::proto::DispatchRefusalReason>
    refusalOf(const Message &message, Moment moment) const;
    void startWork(const Message &message, common::Endpoint sender, Moment moment);
    [[nodiscard]] std::optional<Message> rejectMisdirected(const Message &message,
                                                           common::Endpoint sender);
    void cancel(const wire::proto::DispatchCancel &cancel);
    [[nodiscard]] Message report(const Message &probe, Moment moment);
    [[nodiscard]] Message replyTo(const Message &message) const;
    [[nodiscard]] Message reset(const Message &message, wire::proto::ResetReason reason) const;
    [[nodiscard]] Message refusal(const Message &message,
                                  wire::proto::DispatchRefusalReason reason) const;
    void appendAnswer(const Work &work, std::vector<Outgoing> &outgoing);
    void countColdOverload(const Message &message, common::Endpoint sender);
    void recordIncident(std::string_view kind, const Message &message, common::Endpoint sender);
    void countKind(const Message &message, common::Endpoint sender, Moment moment);
    /// The payload names another service, so the packet was meant for another one.
    [[nodiscard]] bool isForeignPayload(const Message &message) const;

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
    bool m_turnedCold = false;
    bool m_draining = false;
    Health m_health = Health::Truthful;
    ReportedState m_reported;
    bool m_watchesNewWork = false;
    std::vector<std::string> m_incidents;
};

} // namespace banyanwall::tools
