#include "connection/isolationdetector.h"

#include <algorithm>

namespace banyanwall::connection {

using common::TimePoint;

namespace {

// Leaders of different zones send each other heartbeats at least every 600 ms, and heartbeats
// within the zone pass the time of the last one on every 300 ms.
constexpr std::chrono::milliseconds MinContactAge { 1'000 };
// An instance that got a response more recently does not follow the leader of its zone.
constexpr std::chrono::milliseconds MinResponseAge { 500 };

} // namespace

IsolationDetector::IsolationDetector(common::ZoneId ownZone)
    : m_ownZone(ownZone)
{ }

void IsolationDetector::update(UpstreamTable &upstreams, const ZoneContact &contact, TimePoint now)
{
    if (m_isolatedSince) {
        // Observations of passive health checks expire without traffic, so they cannot show the
        // end.
        if (contact.outsideContactAt > *m_isolatedSince) {
            m_isolatedSince.reset();
        }
        return;
    }
    if (now - contact.outsideContactAt > MinContactAge
        && reachesNone(upstreams, contact.isLeaderIsolated, now)) {
        m_isolatedSince = now;
    }
}

bool IsolationDetector::reachesNone(UpstreamTable &upstreams, bool isLeaderIsolated,
                                    TimePoint now) const
{
    const auto zones = upstreams.usableZones();
    return !zones.empty() && std::ranges::all_of(zones, [&](common::ZoneId zone) {
        const auto &health = upstreams.zoneHealth(zone);
        const bool isLeaderRight = isLeaderIsolated && now - health.lastResponse() > MinResponseAge;
        return zone != m_ownZone && (health.isSilent(now) || isLeaderRight);
    });
}

} // namespace banyanwall::connection
