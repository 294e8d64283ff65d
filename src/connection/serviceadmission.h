#pragma once

#include "common/ids.h"
#include "common/time.h"
#include "connection/admittedshare.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace banyanwall::connection {

/// Room and demand of one service, of all instances together.
struct RoomObservation
{
    common::ServiceId service;
    /// Slots that may take work, divided by the slowness of their upstreams. Only upstreams that
    /// this instance reaches count.
    double room = 0.0;
    /// Slots that the work of open flows and of admitted openings would keep busy; more than the
    /// room when work queues up or is shed.
    double demand = 0.0;
    /// Expected time until newly admitted work gets a slot.
    common::Duration expectedWait {};
    /// When room and demand were last measured.
    common::TimePoint measuredAt {};
};

/// Controls which share of the openings of one service is admitted, by priority. Nothing is limited
/// until both demand and delay have been too high for some hundred milliseconds. Each priority gets
/// the room that the higher ones leave, and a small part of all at least. Not thread-safe.
class ServiceAdmission
{
public:
    /// Priorities from this one on are treated alike.
    static constexpr std::size_t PriorityCount = 8;

    /// Index of a priority of a contract.
    [[nodiscard]] static std::size_t indexOf(std::uint32_t priority);

    /// A request of this instance was answered. isLate: not within the response aim, or without
    /// success.
    void recordAnswer(std::size_t priority, common::Duration work, bool isLate);
    /// An opening arrived.
    void recordOffered(std::size_t priority, common::Duration work);

    /// An opening was sent to an upstream.
    void recordOpened(std::size_t priority) { m_priorities[priority].opened += 1.0; }

    /// Applies room and demand; called every 200 ms.
    void update(const RoomObservation &observation, common::TimePoint now);

    /// Share of the openings of a priority that is admitted, from 0 to 1.
    [[nodiscard]] double shareOf(std::size_t priority) const
    {
        return m_priorities[priority].share.value();
    }

    [[nodiscard]] bool isLimiting() const;
    /// Whether the figures are recent enough for a refusal.
    [[nodiscard]] bool isInformed(common::TimePoint now) const;

    [[nodiscard]] const RoomObservation &observation() const { return m_observation; }

    /// Time of the last update.
    [[nodiscard]] common::TimePoint updatedAt() const { return m_updatedAt; }

    /// Share of the recent answers that came late.
    [[nodiscard]] double lateShare() const;
    /// Work in slots that is refused at present, of all instances together.
    [[nodiscard]] double refusedDemand() const;

private:
    /// Recent figures lose weight with time.
    struct Priority
    {
        AdmittedShare share;
        /// Work in offered openings, in seconds.
        double offered = 0.0;
        double opened = 0.0;
        double answers = 0.0;
        /// Work in answered requests, in seconds.
        double answeredWork = 0.0;
    };

    void admitAll();
    void adaptTarget();
    void moveShares();
    void decay();
    /// Part of the demand that new flows bring.
    [[nodiscard]] static double newDemandOf(const Priority &priority);
    /// Recent work, of new flows as they are offered and of open flows as it is answered.
    [[nodiscard]] static double workOf(const Priority &priority);
    /// The part of the service's demand that has this priority.
    [[nodiscard]] double demandOf(const Priority &priority) const;
    /// Recent openings divided by those that the measured demand stems from; 1 unless they have
    /// clearly become fewer.
    [[nodiscard]] double offeredRatio() const;

    RoomObservation m_observation;
    std::array<Priority, PriorityCount> m_priorities {};
    double m_answers = 0.0;
    double m_lateAnswers = 0.0;
    /// Offered openings since the last update, and means that lose weight with time.
    double m_openings = 0.0;
    double m_recentOpenings = 0.0;
    double m_formerOpenings = 0.0;
    double m_targetUtilization = 1.0;
    common::TimePoint m_updatedAt {};
    /// Consecutive updates in which demand and delay were too high.
    std::uint32_t m_overloadedUpdates = 0;
};

} // namespace banyanwall::connection
