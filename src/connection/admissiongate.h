#pragma once

#include "common/endpoint.h"
#include "common/ids.h"
#include "common/time.h"
#include "connection/openingadmission.h"
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

    /// A request on a flow of the route was answered, or its opening was left without an answer.
    void recordAnswer(const version::RouteRecord &route, common::ServiceId service,
                      common::Duration usualTime, bool isLate);

    /// Whether the next update is due.
    [[nodiscard]] bool isUpdateDue(common::TimePoint now) const { return now >= m_nextUpdate; }

    /// Applies the demand of the callers of the own zone, which is fleetFactor times as large for
    /// all callers; called when an update is due, at least once a second.
    void update(std::span<const version::RouteRecord *const> routes,
                std::span<const ServiceDemand> demands, double fleetFactor, common::TimePoint now);

    /// Room of a service in slots that may take work now, divided by their slowness.
    [[nodiscard]] double roomOf(common::ServiceId service, common::TimePoint now) const;

    [[nodiscard]] OpeningAdmission &admission() { return m_admission; }

    [[nodiscard]] const OpeningAdmission &admission() const { return m_admission; }

private:
    [[nodiscard]] static bool hasAllTerms(const version::RouteRecord &route);
    [[nodiscard]] static OfferedOpening openingOf(const Request &request,
                                                  common::ServiceId service);
    [[nodiscard]] bool mayTakeWork(const TrackedUpstream &upstream, common::TimePoint now) const;
    [[nodiscard]] common::Duration expectedWait(common::ServiceId service, double room,
                                                common::TimePoint now) const;
    /// Whether the service is known to have no slot that may take work.
    [[nodiscard]] bool isWithoutRoom(common::ServiceId service, common::TimePoint now) const;
    void updateSelection(const version::RouteRecord &route, common::TimePoint now);
    [[nodiscard]] ServiceSelection::ServiceState stateOf(common::ServiceId service,
                                                         common::TimePoint now) const;

    UpstreamTable &m_upstreams;
    OpeningAdmission m_admission;
    ServiceSelection m_selection;
    common::TimePoint m_nextUpdate;
};

} // namespace banyanwall::connection
