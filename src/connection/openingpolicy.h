#pragma once

#include "common/ids.h"
#include "common/time.h"
#include "connection/coldadmission.h"
#include "connection/servicedemand.h"
#include "connection/upstreamtable.h"
#include "connection/zoneroom.h"

#include <cstdint>
#include <optional>
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

/// A packet that opens a flow.
struct Opening
{
    common::ServiceId service;
    std::uint64_t flowHash = 0;
    /// How many times the caller sent the opening packet before.
    std::uint32_t retransmissions = 0;
    /// Names the upstream to which the packet was forwarded before; zero when unknown.
    common::FlowToken avoidedToken {};
    /// Response time that the contract promises for requests of the flow.
    std::optional<common::Duration> responseAim {};
    /// Usual response time of the flow's requests; zero when unknown.
    common::Duration usualTime {};
};

/// Chooses the upstream of a new flow by rendezvous hashing over the upstreams that may take it. A
/// retransmitted opening packet goes to another upstream, because the first did not answer in time.
///
/// With a response aim, flows stay in the own zone as long as it has room for them within the aim,
/// and upstreams get fewer flows the slower they respond. Without one, flows go to the upstreams of
/// all zones alike, and the second-ranked upstream is chosen when the first-ranked one is much
/// slower.
class OpeningPolicy
{
public:
    explicit OpeningPolicy(UpstreamTable &upstreams);

    void setPosition(const FleetPosition &position, common::TimePoint now);

    /// Replaces what is known of the demand of the own zone's callers. The demand of a service
    /// counts as known when it has been there for a while, because it is a mean that starts at
    /// zero.
    void setDemands(const std::vector<ServiceDemand> &demands, common::TimePoint now);

    /// Null when no upstream can take the flow.
    [[nodiscard]] TrackedUpstream *choose(const Opening &opening, common::TimePoint now);

    /// Removes expired counts of openings; called about once a second.
    void removeExpired(common::TimePoint now) { m_coldAdmission.removeExpired(now); }

private:
    /// What decides whether the upstreams of a zone may take flows, and those that may.
    struct ZoneCandidates
    {
        common::ZoneId zone;
        bool isWithdrawn = false;
        bool mayOpenFlow = false;
        UpstreamPool healthy {};
    };

    struct KnownDemand
    {
        ServiceDemand demand;
        /// Since when there is demand; empty while there is none.
        std::optional<common::TimePoint> since {};
    };

    struct Candidates
    {
        UpstreamTable::Group healthy;
        UpstreamTable::Group suspected;
        std::vector<ZoneCandidates> zones;
    };

    /// The zones whose upstreams are looked at.
    enum class Scope {
        OwnZone,
        AllZones,
    };

    void collectCandidates(const Opening &opening, Scope scope, common::TimePoint now);
    void addCandidate(TrackedUpstream &upstream, ZoneCandidates &zone, const Opening &opening,
                      common::TimePoint now);
    [[nodiscard]] ZoneCandidates &candidatesOf(common::ZoneId zone, common::TimePoint now);
    ZoneCandidates &addZone(common::ZoneId zone, common::TimePoint now);
    /// Whether the upstream is warm, or this instance may open one more flow on it while it is
    /// cold.
    [[nodiscard]] bool isWithinColdLimit(const TrackedUpstream &upstream, common::TimePoint now);
    /// Slots that the openings of a cold upstream can keep busy at its limit.
    [[nodiscard]] double coldSlots(const TrackedUpstream &upstream,
                                   common::Duration usualTime) const;
    void recordOpening(TrackedUpstream &upstream, common::TimePoint now);
    /// Upstream of the own zone when it has room for all its callers, so that the upstreams of the
    /// other zones need not be looked at; otherwise null.
    [[nodiscard]] TrackedUpstream *choiceInOwnZone(const Opening &opening, common::TimePoint now);
    /// Upstream of an opening, among those of all zones.
    [[nodiscard]] TrackedUpstream *choiceInAllZones(const Opening &opening, common::TimePoint now);
    /// Upstream of the first transmission.
    [[nodiscard]] TrackedUpstream *firstChoice(const Opening &opening, common::TimePoint now) const;
    [[nodiscard]] TrackedUpstream *choiceByHash(std::uint64_t flowHash,
                                                common::TimePoint now) const;
    [[nodiscard]] TrackedUpstream *choiceByLoad(const Opening &opening,
                                                common::TimePoint now) const;
    [[nodiscard]] TrackedUpstream *highestWeighted(const Opening &opening, bool isInOwnZone) const;
    [[nodiscard]] bool staysInOwnZone(const Opening &opening, common::TimePoint now) const;
    /// Slots that callers of the own zone keep busy; empty while it is not known.
    [[nodiscard]] std::optional<double> demandOf(common::ServiceId service,
                                                 common::TimePoint now) const;
    [[nodiscard]] TrackedUpstream *highestRanked(const UpstreamTable::Group &group,
                                                 std::uint64_t flowHash,
                                                 std::uint32_t retransmissions,
                                                 common::FlowToken avoidedToken) const;
    /// Returns second when first is much slower, otherwise first.
    [[nodiscard]] TrackedUpstream *fasterOf(TrackedUpstream *first, TrackedUpstream *second,
                                            common::TimePoint now) const;

    UpstreamTable &m_upstreams;
    FleetPosition m_position;
    std::vector<KnownDemand> m_demands;
    /// Members only to reuse their memory: choose() allocates nothing.
    Candidates m_candidates;
    UpstreamTable::Group m_expired;
    ColdAdmission m_coldAdmission;
};

} // namespace banyanwall::connection
