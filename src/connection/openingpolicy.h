#pragma once

#include "common/ids.h"
#include "common/time.h"
#include "connection/coldadmission.h"
#include "connection/upstreamtable.h"

#include <cstdint>
#include <vector>

namespace banyanwall::connection {

/// Where this instance stands in the fleet.
struct FleetPosition
{
    common::ZoneId zone;
    /// Different for each instance.
    std::uint64_t instance = 0;
    /// Numbers of all instances that open flows, this one included.
    std::vector<std::uint64_t> members {};
    /// Other instances of the zone.
    std::uint32_t zonePeers = 0;
};

/// Chooses the upstream of a new flow by rendezvous hashing over the upstreams that may take it,
/// and the second in rank where the first has become slow.
/// Repeated opening packets get another upstream, because the first did not answer in time.
class OpeningPolicy
{
public:
    explicit OpeningPolicy(UpstreamTable &upstreams);

    void setPosition(const FleetPosition &position, common::TimePoint now);

    /// Null when no upstream can take the flow. copy is how often the opening packet was sent
    /// before; avoided names the upstream that got it then, zero when unknown.
    [[nodiscard]] TrackedUpstream *choose(common::ServiceId service, std::uint64_t flowHash,
                                          std::uint32_t retransmissions,
                                          common::FlowToken avoidedToken, common::TimePoint now);

    /// Forgets counts that no longer matter; called about once a second.
    void removeExpired(common::TimePoint now) { m_coldAdmission.removeExpired(now); }

private:
    struct Candidates
    {
        UpstreamTable::Group healthy;
        UpstreamTable::Group suspected;
    };

    void collectCandidates(common::ServiceId service, common::TimePoint now);
    [[nodiscard]] bool mayTakeFlows(const TrackedUpstream &upstream, common::TimePoint now) const;
    [[nodiscard]] bool mayOpenOnCold(const TrackedUpstream &upstream, common::TimePoint now);
    void recordOpening(TrackedUpstream &upstream, common::TimePoint now);
    [[nodiscard]] TrackedUpstream *highestRanked(const UpstreamTable::Group &group,
                                                 std::uint64_t flowHash,
                                                 std::uint32_t retransmissions,
                                                 common::FlowToken avoidedToken) const;
    /// The second upstream in rank instead of the first one, when that answers much slower.
    [[nodiscard]] TrackedUpstream *fasterOf(TrackedUpstream *first, TrackedUpstream *second,
                                            common::TimePoint now) const;

    UpstreamTable &m_upstreams;
    FleetPosition m_position;
    /// Kept between calls, so that choosing allocates nothing.
    Candidates m_candidates;
    UpstreamTable::Group m_expired;
    ColdAdmission m_coldAdmission;
};

} // namespace banyanwall::connection
