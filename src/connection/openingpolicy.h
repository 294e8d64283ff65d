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
    [[nodiscard]] KnownUpstream *choose(common::ServiceId service, std::uint64_t flowHash,
                                        std::uint32_t copy, common::FlowToken avoided,
                                        common::TimePoint now);

    /// Forgets counts that no longer matter; called about once a second.
    void forgetOld(common::TimePoint now) { m_coldAdmission.forgetOld(now); }

private:
    struct Candidates
    {
        UpstreamTable::Group healthy;
        UpstreamTable::Group suspected;
    };

    void collect(common::ServiceId service, common::TimePoint now);
    [[nodiscard]] bool mayTakeFlows(const KnownUpstream &upstream, common::TimePoint now) const;
    [[nodiscard]] bool admitsCold(const KnownUpstream &upstream, common::TimePoint now);
    void noteOpened(KnownUpstream &upstream, common::TimePoint now);
    [[nodiscard]] KnownUpstream *bestOf(const UpstreamTable::Group &group, std::uint64_t flowHash,
                                        std::uint32_t copy, common::FlowToken avoided) const;
    /// The second upstream in rank instead of the first one, when that answers much slower.
    [[nodiscard]] KnownUpstream *fasterOf(KnownUpstream *first, KnownUpstream *second,
                                          common::TimePoint now) const;

    UpstreamTable &m_upstreams;
    FleetPosition m_position;
    /// Kept between calls, so that choosing allocates nothing.
    Candidates m_candidates;
    UpstreamTable::Group m_lapsed;
    ColdAdmission m_coldAdmission;
};

} // namespace banyanwall::connection
