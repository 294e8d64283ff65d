#pragma once

#include "common/ids.h"
#include "common/time.h"
#include "connection/serviceadmission.h"

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace banyanwall::connection {

/// An opening packet of a route whose contract names all terms that admission needs.
struct OfferedOpening
{
    common::ServiceId service;
    /// Rank of the request when room is short; 0 is served first.
    std::uint32_t priority = 0;
    /// Time from the request to its answer that callers expect.
    common::Duration responseAim {};
    /// Time from the request until its caller gives up.
    common::Duration timeBudget {};
    /// Hash of the caller's address, without the port: a caller returns from another port.
    std::uint64_t caller = 0;
    bool isRetransmission = false;
    /// Time that the request is expected to occupy a slot.
    common::Duration expectedWork {};
};

struct OpeningAdmitted
{ };

/// A refused opening with the figures that decided.
struct OpeningRefused
{
    enum class Cause {
        /// The room is taken by work of higher or the same priority.
        Share,
        /// The expected wait is longer than the time budget.
        Wait,
    };

    Cause cause = Cause::Share;
    common::ServiceId service;
    std::uint32_t priority = 0;
    /// Share of the openings of this priority that is admitted, from 0 to 1.
    double share = 0.0;
    double room = 0.0;
    double demand = 0.0;
    /// Share of the recent answers that came late.
    double lateShare = 0.0;
    common::Duration expectedWait {};
    /// Age of room and demand.
    common::Duration figureAge {};
};

using AdmissionVerdict = std::variant<OpeningAdmitted, OpeningRefused>;

/// A service began or ceased to refuse openings.
struct AdmissionChange
{
    common::ServiceId service;
    bool isLimiting = false;
    double room = 0.0;
    double demand = 0.0;
    double lateShare = 0.0;
    common::Duration figureAge {};
};

/// Decides which openings are admitted when callers bring more work than the upstreams of a service
/// can do within the response aim. Nothing is refused while there is room or answers keep the aim,
/// shortly after the start, or when the figures are old or few. Beyond that, work is admitted by
/// priority. Within a priority, a hash of the caller that changes with time decides: each caller is
/// admitted for a part of each rotation period. Not thread-safe.
class OpeningAdmission
{
public:
    static constexpr std::size_t PriorityCount = ServiceAdmission::PriorityCount;

    /// Applies room and demand of a service; called every 200 ms for each service.
    void update(const RoomObservation &observation, common::TimePoint now);

    /// Forgets services whose load has not been known for a minute.
    void removeExpired(common::TimePoint now);

    /// A request of this instance was answered, or no answer is expected any more. isLate: not
    /// within the response aim, or without success.
    void recordAnswer(common::ServiceId service, std::uint32_t priority, common::Duration work,
                      bool isLate);

    /// Instances whose clocks agree refuse the same callers at a time, so that a retry at another
    /// instance meets the same decision. Clocks that disagree cost only this.
    void setClock(common::WallTime wallTime, common::TimePoint now);

    [[nodiscard]] AdmissionVerdict decide(const OfferedOpening &opening, common::TimePoint now);

    /// The opening goes to an upstream of the service.
    void recordAdmission(const OfferedOpening &opening);
    /// The caller was told that its request has not run.
    void recordRefusal(const OfferedOpening &opening);

    /// Services that began or ceased to refuse openings since the last call.
    [[nodiscard]] std::vector<AdmissionChange> takeChanges();

    /// Null for a service of which nothing is known.
    [[nodiscard]] const ServiceAdmission *find(common::ServiceId service) const;

    /// Services of which something is known, for metrics.
    [[nodiscard]] std::vector<common::ServiceId> services() const;

    /// Refused openings by priority since the start.
    [[nodiscard]] const std::array<std::uint64_t, PriorityCount> &refusals() const
    {
        return m_refusals;
    }

private:
    struct Service
    {
        ServiceAdmission admission;
        bool wasLimiting = false;
    };

    /// A number from 0 to 1 for a caller, which falls through all values once in a rotation period.
    [[nodiscard]] double positionOf(const OfferedOpening &opening, common::TimePoint now) const;
    [[nodiscard]] bool mayRefuse(const Service &service, common::TimePoint now) const;

    std::unordered_map<common::ServiceId, Service> m_services;
    std::vector<AdmissionChange> m_changes;
    std::array<std::uint64_t, PriorityCount> m_refusals {};
    std::optional<common::TimePoint> m_startedAt;
    /// Difference between the wall clock and the monotonic one.
    common::Duration m_clockOffset {};
};

} // namespace banyanwall::connection
