#pragma once

#include "common/time.h"
#include "request/coordinator.h"

#include <cstdint>

namespace banyanwall::request {

/// Says whether this instance may dispatch non-repeatable requests.
///
/// With the store up the permit follows the lease: last successful renewal by send time, plus the
/// lease term, less the clock bound. While the store does not answer, the permit goes on as long as
/// more than half of the members acknowledged a heartbeat within AcknowledgementAge; each
/// acknowledgement promises no takeover for PromiseTerm. A permit names the end of the later of
/// both, and a holder that was paused past that end has no permit.
class LeaseGuard
{
public:
    static constexpr common::Duration LeaseTerm = std::chrono::seconds(10);
    static constexpr common::Duration ClockBound = std::chrono::milliseconds(500);
    static constexpr common::Duration AcknowledgementAge = std::chrono::seconds(2);
    static constexpr common::Duration PromiseTerm = std::chrono::seconds(5);

    void onRenewed(common::TimePoint sentAt);
    /// The store answered that the lease is gone.
    void onLost();
    void setStoreReachable(bool reachable);
    /// acknowledged of members (without this instance) have acknowledged a heartbeat sent at or
    /// after oldest.
    void onAcknowledgements(std::uint32_t acknowledged, std::uint32_t members,
                            common::TimePoint oldest);
    [[nodiscard]] DispatchPermit permit(Moment moment) const;

private:
    common::TimePoint m_renewedAt {};
    bool m_held = false;
    bool m_storeReachable = true;
    bool m_majority = false;
    common::TimePoint m_majoritySince {};
};

} // namespace banyanwall::request
