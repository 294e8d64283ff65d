#pragma once

#include "common/ids.h"
#include "common/time.h"

#include <unordered_map>

namespace banyanwall::connection {

/// Usual delay to the upstreams of each zone and back through the caller, without any work: a
/// median over openings of flows. Not thread-safe.
class ZoneDelays
{
public:
    /// An upstream of the zone replied to an opening packet after this time.
    void addSample(common::ZoneId zone, common::Duration handshakeTime);

    /// Zero while unknown.
    [[nodiscard]] common::Duration of(common::ZoneId zone) const;
    /// The part of a response time that is not delay to the zone.
    [[nodiscard]] common::Duration workTimeOf(common::ZoneId zone, common::Duration time) const;

private:
    /// In microseconds.
    std::unordered_map<common::ZoneId, double> m_delays;
};

} // namespace banyanwall::connection
