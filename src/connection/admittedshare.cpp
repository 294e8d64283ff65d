#include "connection/admittedshare.h"

#include <algorithm>

namespace banyanwall::connection {

namespace {

// Weight that the lagged share keeps in a step: a mean over two seconds, like that of the demand
// which other instances report.
constexpr double Retention = 0.9;
constexpr double MaxDecrease = 0.5;
// Part of the way to the target in one step, so that noise of the demand has less effect.
constexpr double Gain = 0.4;
constexpr double MaxIncrease = 0.1;
// From a lower share the recovery would take longer than callers wait.
constexpr double MinShare = 0.02;
// Excess of the demand of open flows at which hardly any new flow is admitted.
constexpr double OpenFlowBand = 0.2;
// Bounds the effect of a small part of new flows, which is known less precisely.
constexpr double MinNewDemand = 0.2;

/// Share at which the demand of flows that end soon meets the room.
double shareForShortFlows(const AdmittedShare::Load &load, double laggedShare)
{
    const auto change = load.room / load.demand - 1.0;
    return std::clamp(laggedShare * (1.0 + change / std::max(load.newDemand, MinNewDemand)),
                      MinShare, 1.0);
}

/// Share for flows that stay open: their demand follows so slowly that a share which moved until
/// the demand meets the room would swing between all and none.
double shareForOpenFlows(const AdmittedShare::Load &load)
{
    const auto excess = load.demand / load.room - 1.0;
    return std::clamp(1.0 - excess / OpenFlowBand, MinShare, 1.0);
}

} // namespace

void AdmittedShare::update(const Load &load, bool mayFall)
{
    m_laggedShare = m_laggedShare * Retention + m_share * (1.0 - Retention);
    if (load.demand <= 0.0) {
        m_share = std::min(1.0, m_share + MaxIncrease);
        return;
    }
    const auto target = load.newDemand * shareForShortFlows(load, m_laggedShare)
            + (1.0 - load.newDemand) * shareForOpenFlows(load);
    const bool isNoise = target > m_share * MaxDecrease;
    const auto change = (target - m_share) * (isNoise ? Gain : 1.0);
    if (target >= 1.0) {
        m_share = std::min(1.0, m_share + MaxIncrease);
    } else if (change > 0.0) {
        m_share += std::min(change, MaxIncrease);
    } else if (mayFall) {
        m_share = std::max(m_share + change, m_share * MaxDecrease);
    }
}

void AdmittedShare::release()
{
    m_laggedShare = m_laggedShare * Retention + m_share * (1.0 - Retention);
    m_share = std::min(1.0, m_share + MaxIncrease);
}

void AdmittedShare::admitAll()
{
    m_share = 1.0;
    m_laggedShare = 1.0;
}

} // namespace banyanwall::connection
