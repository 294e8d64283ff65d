#pragma once

#include "common/ids.h"
#include "common/time.h"
#include "connection/upstreamtable.h"

#include <optional>

namespace banyanwall::connection {

/// What the instances of the own zone know of its connection to the outside.
struct ZoneContact
{
    /// Last message from another zone, or answer of the store, that an instance of the zone got.
    common::TimePoint outsideContactAt;
    /// The leader of the zone is isolated.
    bool isLeaderIsolated = false;
};

/// Finds out that this instance reaches no upstream that may take flows, although other zones have
/// some: its zone is cut off while its own upstreams are withdrawn, draining or gone. The fabric
/// then serves the callers of the zone better through the instances of other zones, so an isolated
/// instance is not ready. Not thread-safe.
///
/// The fabric sends packets to other zones only when no instance of the zone is ready, so the
/// verdict of a single instance changes nothing. For this reason refutations by other instances
/// don't count, and instances that get too few packets to judge follow the leader of their zone.
///
/// An instance is never isolated while its zone is in contact with other zones or the store, or
/// while its own zone has an upstream that may take flows. So neither overload nor a crash of all
/// upstreams takes the whole fleet out of rotation.
class IsolationDetector
{
public:
    explicit IsolationDetector(common::ZoneId ownZone);

    /// Called every 100 ms or more often.
    void update(UpstreamTable &upstreams, const ZoneContact &contact, common::TimePoint now);

    [[nodiscard]] bool isIsolated() const { return m_isolatedSince.has_value(); }

private:
    [[nodiscard]] bool reachesNone(UpstreamTable &upstreams, bool isLeaderIsolated,
                                   common::TimePoint now) const;

    common::ZoneId m_ownZone;
    std::optional<common::TimePoint> m_isolatedSince;
};

} // namespace banyanwall::connection
