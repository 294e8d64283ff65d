#pragma once

#include "common/endpoint.h"
#include "common/time.h"

#include <map>
#include <optional>
#include <vector>

namespace banyanwall::process {

/// Which instances of a zone its leader has not heard for so long that their entries may go. Takes
/// events with their time; not thread-safe.
class MemberPresence
{
public:
    /// Nobody counts as missing before a whole period of silence has passed from now on.
    void restart(common::TimePoint now);
    void onHeard(common::Endpoint member, common::TimePoint now);

    /// One of the members that is missing. Empty while most members are: then the network or the
    /// zone has failed, and its instances come back.
    [[nodiscard]] std::optional<common::Endpoint>
    missing(const std::vector<common::Endpoint> &members, common::TimePoint now) const;

private:
    [[nodiscard]] bool isMissing(common::Endpoint member, common::TimePoint now) const;

    common::TimePoint m_observingSince;
    std::map<common::Endpoint, common::TimePoint> m_heardAt;
};

} // namespace banyanwall::process
