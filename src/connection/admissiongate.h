#pragma once

#include "common/endpoint.h"
#include "common/ids.h"
#include "common/time.h"
#include "connection/answersizes.h"
#include "connection/openingadmission.h"
#include "connection/openingpolicy.h"
#include "connection/servicedemand.h"
#include "connection/serviceselection.h"
#include "connection/upstreamtable.h"
#include "version/directory.h"

#include <cstdint>
#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace banyanwall::connection {

/// Chooses the service of an opening and decides whether it is admitted, by the room of the
/// upstreams that this instance reaches. Decides nothing for a route whose contract does not name
/// priority, response aim and time budget: its weights alone choose the service. Not thread-safe.
class AdmissionGate
{
public:
    explicit AdmissionGate(UpstreamTable &upstreams);

    /// An opening packet and its route.
    struct Request
    {
        const version::RouteRecord &route;
        std::uint64_t flowHash = 0;
        std::uint32_t callerAddress = 0;
        /// Service to which the packet was sent before; empty when unknown or for a first packet.
        std::optional<common::ServiceId> previousService {};
        bool isRetransmission = false;
        /// Usual time of the route's requests; zero while unknown.
        common::Duration usualTime {};
    };

    using Verdict = std::variant<common::ServiceId, OpeningRefused>;

    [[nodiscard]] Verdict decide(const Request &request, common::TimePoint now);

    /// How an upstream answered a request.
    struct Answer
    {
        /// Empty when the answer was acknowledged only with the caller's next packet.
        std::optional<common::Duration> responseTime {};
        /// Size of the first acknowledged part of the answer; 0 when the upstream left the opening
        /// of the flow without an answer.
        std::uint32_t bytes = 0;
    };

    /// A request on a flow of the route was answered.
    void recordAnswer(const version::RouteRecord &route, common::ServiceId service,
                      common::Duration usualTime, const Answer &answer);

    void setPosition(const FleetPosition &position) { m_position = position; }

    /// Whether the next update is due.
    [[nodiscard]] bool isUpdateDue(common::TimePoint now) const { return now >= m_nextUpdate; }

    /// Applies the demand of the callers of the own zone; called when an update is due, at least
    /// once a second.
    void update(std::span<const version::RouteRecord *const> routes,
                std::span<const ServiceDemand> demands, common::TimePoint now);

    /// Room of a service in slots that may take work now, divided by their slowness.
    [[nodiscard]] double roomOf(common::ServiceId service, common::TimePoint now) const;

    [[nodiscard]] OpeningAdmission &admission() { return m_admission; }

    [[nodiscard]] const OpeningAdmission &admission() const { return m_admission; }

private:
    [[nodiscard]] static bool hasAllTerms(const version::RouteRecord &route);
    [[nodiscard]] static OfferedOpening openingOf(const Request &request,
                                                  common::ServiceId service);
    /// Demand of the callers of all reachable zones divided by that of the own zone.
    [[nodiscard]] double fleetFactor(common::TimePoint now);
    /// Slots of an upstream divided by its slowness; of a cold one, those that its limit on
    /// openings can keep busy.
    [[nodiscard]] double slotsOf(const TrackedUpstream &upstream, common::TimePoint now) const;
    [[nodiscard]] bool mayTakeWork(const TrackedUpstream &upstream, common::TimePoint now) const;
    [[nodiscard]] common::Duration expectedWait(common::ServiceId service, double room,
                                                common::TimePoint now) const;
    /// Whether the service is known to have no slot that may take work.
    [[nodiscard]] bool isWithoutRoom(common::ServiceId service, common::TimePoint now) const;
    void updateSelection(const version::RouteRecord &route, common::TimePoint now);
    [[nodiscard]] ServiceSelection::ServiceState stateOf(common::ServiceId service,
                                                         common::TimePoint now) const;

    UpstreamTable &m_upstreams;
    FleetPosition m_position;
    AnswerSizes m_answerSizes;
    OpeningAdmission m_admission;
    ServiceSelection m_selection;
    common::TimePoint m_nextUpdate;
};

} // namespace banyanwall::connection
