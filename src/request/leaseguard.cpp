#include "request/leaseguard.h"

#include <algorithm>

namespace banyanwall::request {

void LeaseGuard::onRenewed(common::TimePoint sentAt)
{
    m_storeReachable = true;
    if (!m_held && sentAt <= m_renewedAt) {
        // A late answer to a renewal from before the loss says nothing about the lease now.
        return;
    }
    m_renewedAt = std::max(m_renewedAt, sentAt);
    m_held = true;
}

void LeaseGuard::onLost()
{
    m_held = false;
    m_storeReachable = true;
}

void LeaseGuard::setStoreReachable(bool reachable)
{
    m_storeReachable = reachable;
}

void LeaseGuard::onAcknowledgements(std::uint32_t acknowledged, std::uint32_t members,
                                    common::TimePoint oldest)
{
    // This instance counts for itself.
    m_majority = 2 * (acknowledged + 1) > members + 1;
    m_majoritySince = oldest;
}

DispatchPermit LeaseGuard::permit(Moment moment) const
{
    if (!m_held) {
        return {};
    }
    const auto permitUntil = [&](common::TimePoint end) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - moment.now);
        return DispatchPermit { left.count() > 0, moment.wall + left };
    };
    const auto byLease = permitUntil(m_renewedAt + LeaseTerm - ClockBound);
    if (m_storeReachable || !m_majority || moment.now - m_majoritySince > AcknowledgementAge) {
        return byLease;
    }
    // Either promise alone rules out a takeover, so the later end counts.
    const auto byMembers = permitUntil(m_majoritySince + PromiseTerm - ClockBound);
    return byMembers.latestDeadline > byLease.latestDeadline ? byMembers : byLease;
}

} // namespace banyanwall::request
