#pragma once

#include "common/ids.h"
#include "common/time.h"

#include <cstdint>

namespace banyanwall::connection {

/// Load of one service as an instance knows it, for all instances together unless said otherwise.
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
    /// Requests of this instance that were answered since the last update, or for which no answer
    /// is expected any more.
    std::uint32_t answers = 0;
    /// Those of them without a successful answer within the response aim.
    std::uint32_t lateAnswers = 0;
    /// When room and demand were last measured.
    common::TimePoint measuredAt {};
};

/// Controls which share of the openings of one service is admitted. Load and delay are measured
/// with a lag of about a second, so that the share follows from the lagged load and the share that
/// was admitted when it arose. Not thread-safe.
class AdmittedShare
{
public:
    /// openedFlows is the number of flows that this instance opened since the last update; it is
    /// compared to the answers to tell how much of the demand new flows bring.
    void update(const RoomObservation &load, std::uint32_t openedFlows, common::TimePoint now);

    /// Share of the offered work, from 0 to 1.
    [[nodiscard]] double value() const { return m_share; }

    [[nodiscard]] bool isLimiting() const { return m_share < 1.0; }

    /// Whether the figures are recent and there are enough of them for a refusal.
    [[nodiscard]] bool isInformed(common::TimePoint now) const;

    /// The figures of the last update.
    [[nodiscard]] const RoomObservation &load() const { return m_load; }

    /// Share of the recent answers that came late.
    [[nodiscard]] double lateShare() const;
    /// Work in slots that callers offer, including the refused part.
    [[nodiscard]] double offered() const;

private:
    void admitAll();
    void recordAnswers(const RoomObservation &load, std::uint32_t openedFlows);
    void adaptTarget();
    void move();
    /// Share at which the demand will be the target.
    [[nodiscard]] double shareForTarget() const;

    /// Slots that may be kept busy.
    [[nodiscard]] double targetDemand() const { return m_load.room * m_targetUtilization; }

    RoomObservation m_load;
    double m_share = 1.0;
    /// Mean of the share over the time in which the measured demand arose.
    double m_laggedShare = 1.0;
    double m_targetUtilization = 1.0;
    /// Recent answers, late answers and opened flows; they lose weight with time.
    double m_answers = 0.0;
    double m_lateAnswers = 0.0;
    double m_openedFlows = 0.0;
    common::TimePoint m_updatedAt {};
    /// Consecutive updates in which demand and delay were too high.
    std::uint32_t m_overloadedUpdates = 0;
};

} // namespace banyanwall::connection
