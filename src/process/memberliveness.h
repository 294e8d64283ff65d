#pragma once

#include "common/endpoint.h"
#include "common/time.h"

#include <map>
#include <optional>
#include <vector>

namespace banyanwall::process {

/// Finds the members that have sent no message to this instance for 10 minutes. The leader of a
/// zone removes the store entries of such members of its zone. Takes events with their time; not
/// thread-safe.
class MemberLiveness
{
public:
    /// Starts a new observation: no member counts as missing in the next 10 minutes.
    void restart(common::TimePoint now);
    void onMessageReceived(common::Endpoint member, common::TimePoint now);

    /// Whether the member has sent a message since the start of the observation, and within the
    /// last two keep-alive intervals.
    [[nodiscard]] bool isHeardOf(common::Endpoint member, common::TimePoint now) const;
    /// One of the missing members. Empty when none is missing, and when more than half of the
    /// members are missing: then the network or the zone has failed, and its instances will return.
    [[nodiscard]] std::optional<common::Endpoint>
    missing(const std::vector<common::Endpoint> &members, common::TimePoint now) const;

private:
    [[nodiscard]] bool isMissing(common::Endpoint member, common::TimePoint now) const;

    common::TimePoint m_observingSince;
    std::map<common::Endpoint, common::TimePoint> m_lastSeen;
};

} // namespace banyanwall::process
