#pragma once

#include "common/endpoint.h"
#include "common/time.h"

#include <map>
#include <optional>
#include <vector>

namespace banyanwall::process {

/// Tells the leader of a zone which instances have departed, so that their store entries can be
/// removed: those that have sent no message for 10 minutes. Takes events with their time; not
/// thread-safe.
class MemberLiveness
{
public:
    /// Starts a new observation: no member counts as missing in the next 10 minutes.
    void restart(common::TimePoint now);
    void onMessageReceived(common::Endpoint member, common::TimePoint now);

    /// One of the missing members. Empty when none is missing, and when more than half of them are:
    /// then the network or the zone has failed, and its instances will return.
    [[nodiscard]] std::optional<common::Endpoint>
    missing(const std::vector<common::Endpoint> &members, common::TimePoint now) const;

private:
    [[nodiscard]] bool isMissing(common::Endpoint member, common::TimePoint now) const;

    common::TimePoint m_observingSince;
    std::map<common::Endpoint, common::TimePoint> m_lastSeen;
};

} // namespace banyanwall::process
