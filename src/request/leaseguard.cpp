#include "request/leaseguard.h"

#include <algorithm>

namespace banyanwall::request {

void LeaseGuard::onRenewed(common::TimePoint sentAt)
{
    m_storeReachable = true;
    if (!m_holdsLease && sentAt <= m_renewalSentAt) {
        // A late response to a renewal sent before the loss does not show that the lease is held
        // now.
        return;
    }
    m_renewalSentAt = std::max(m_renewalSentAt, sentAt);
    m_holdsLease = true;
}

void LeaseGuard::onLost()
{
    m_holdsLease = false;
    m_storeReachable = true;
}

void LeaseGuard::setStoreReachable(bool reachable)
{
    m_storeReachable = reachable;
}

void LeaseGuard::onAcknowledgements(std::uint32_t acknowledged, std::uint32_t members,
                                    common::TimePoint oldestSentAt)
{
    // This instance counts as a member that acknowledged.
    m_hasMajority = 2 * (acknowledged + 1) > members + 1;
    m_acknowledgedSince = oldestSentAt;
}

DispatchPermit LeaseGuard::permit(Moment moment) const
{
    if (!m_holdsLease) {
        return {};
    }
    const auto permitUntil = [&](common::TimePoint end) {
        const auto remaining =
                std::chrono::duration_cast<std::chrono::milliseconds>(end - moment.now);
        return DispatchPermit { remaining.count() > 0, moment.wall + remaining };
    };
    const auto byLease = permitUntil(m_renewalSentAt + LeaseTerm - ClockMargin);
    if (m_storeReachable || !m_hasMajority
        || moment.now - m_acknowledgedSince > MaxAcknowledgementAge) {
        return byLease;
    }
    // The lease and the acknowledgements each exclude a takeover, so the later end applies.
    const auto byAcknowledgements = permitUntil(m_acknowledgedSince + NoTakeoverTerm - ClockMargin);
    return byAcknowledgements.latestDeadline > byLease.latestDeadline ? byAcknowledgements
                                                                      : byLease;
}

} // namespace banyanwall::request
