#pragma once

#include "common/ids.h"
#include "common/time.h"
#include "connection/coldadmission.h"
#include "connection/upstreamtable.h"

#include <cstdint>
#include <vector>

namespace banyanwall::connection {

/// Position of this instance among all instances.
struct FleetPosition
{
    common::ZoneId zone;
    /// Different for each instance.
    std::uint64_t instance = 0;
    /// Numbers of all instances that open flows, this one included.
    std::vector<std::uint64_t> members {};
    /// Number of other instances in the zone.
    std::uint32_t zonePeers = 0;
};

/// Chooses the upstream of a new flow by rendezvous hashing over the upstreams that may take it.
/// The second-ranked upstream is chosen when the first-ranked one is much slower. A retransmitted
/// opening packet goes to another upstream, because the first did not answer in time.
class OpeningPolicy
{
public:
    explicit OpeningPolicy(UpstreamTable &upstreams);

    void setPosition(const FleetPosition &position, common::TimePoint now);

    /// Null when no upstream can take the flow. retransmissions is how many times the caller sent
    /// the opening packet before; avoidedToken names the upstream to which it was forwarded then,
    /// zero when unknown.
    [[nodiscard]] TrackedUpstream *choose(common::ServiceId service, std::uint64_t flowHash,
                                          std::uint32_t retransmissions,
                                          common::FlowToken avoidedToken, common::TimePoint now);

    /// Removes expired counts of openings; called about once a second.
    void removeExpired(common::TimePoint now) { m_coldAdmission.removeExpired(now); }

private:
    struct Candidates
    {
        UpstreamTable::Group healthy;
        UpstreamTable::Group suspected;
    };

    void collectCandidates(common::ServiceId service, common::TimePoint now);
    [[nodiscard]] bool mayTakeFlows(const TrackedUpstream &upstream, common::TimePoint now) const;
    /// Whether the upstream is warm, or this instance may open one more flow on it while it is
    /// cold.
    [[nodiscard]] bool isWithinColdLimit(const TrackedUpstream &upstream, common::TimePoint now);
    void recordOpening(TrackedUpstream &upstream, common::TimePoint now);
    [[nodiscard]] TrackedUpstream *highestRanked(const UpstreamTable::Group &group,
                                                 std::uint64_t flowHash,
                                                 std::uint32_t retransmissions,
                                                 common::FlowToken avoidedToken) const;
    /// Returns second when first is much slower, otherwise first.
    [[nodiscard]] TrackedUpstream *fasterOf(TrackedUpstream *first, TrackedUpstream *second,
                                            common::TimePoint now) const;

    UpstreamTable &m_upstreams;
    FleetPosition m_position;
    /// Members only to reuse their memory: choose() allocates nothing.
    Candidates m_candidates;
    UpstreamTable::Group m_expired;
    ColdAdmission m_coldAdmission;
};

} // namespace banyanwall::connection
