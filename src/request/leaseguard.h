#pragma once

#include "common/time.h"
#include "request/coordinator.h"

#include <cstdint>

namespace banyanwall::request {

/// Determines whether this instance may dispatch non-repeatable requests.
///
/// With the store reachable, the permit follows the lease: it ends LeaseTerm after the send time of
/// the last successful renewal, less ClockMargin. While the store does not respond, the permit is
/// also extended as long as more than half of the members have acknowledged a heartbeat within
/// MaxAcknowledgementAge. With each acknowledgement, a member commits to no takeover for
/// NoTakeoverTerm. A permit ends at the later of the two times. An instance that was paused past
/// that time has no permit.
class LeaseGuard
{
public:
    static constexpr common::Duration LeaseTerm = std::chrono::seconds(10);
    static constexpr common::Duration ClockMargin = std::chrono::milliseconds(500);
    static constexpr common::Duration MaxAcknowledgementAge = std::chrono::seconds(2);
    static constexpr common::Duration NoTakeoverTerm = std::chrono::seconds(5);

    void onRenewed(common::TimePoint sentAt);
    /// The store responded that the lease has expired.
    void onLost();
    void setStoreReachable(bool reachable);
    /// acknowledged out of members (both without this instance) have acknowledged a heartbeat sent
    /// at or after oldestSentAt.
    void onAcknowledgements(std::uint32_t acknowledged, std::uint32_t members,
                            common::TimePoint oldestSentAt);
    [[nodiscard]] DispatchPermit permit(Moment moment) const;

private:
    common::TimePoint m_renewalSentAt {};
    bool m_holdsLease = false;
    bool m_storeReachable = true;
    bool m_hasMajority = false;
    common::TimePoint m_acknowledgedSince {};
};

} // namespace banyanwall::request
