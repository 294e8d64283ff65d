#pragma once

#include "connection/ownerselector.h"
#include "connection/upstreamowner.h"
#include "process/metrics.h"
#include "process/servicedirectory.h"
#include "process/sinks.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace banyanwall::process {

/// Grants the slots and probes the health of the upstreams that this instance owns. Not
/// thread-safe.
class OwnedUpstreams
{
public:
    static constexpr common::Duration ProbeInterval = std::chrono::milliseconds(500);
    /// Consecutive unanswered probes after which an upstream is lost.
    static constexpr std::uint32_t LostAfterProbes = 3;

    OwnedUpstreams(common::InstanceId self, const ServiceDirectory &directory,
                   DatagramSink &datagrams, PeerSink &peers);

    /// Applies new members or rosters. All slots of an upstream gained by this call count as taken
    /// until the peers have reported the grants they hold. allHoldersLive states that every
    /// instance that may hold a grant is live, that is, no member departed within the longest
    /// request time. Returns the upstreams that were gained.
    std::vector<common::UpstreamId> update(const connection::OwnerSelector &members,
                                           bool allHoldersLive, common::TimePoint now);
    [[nodiscard]] bool owns(common::UpstreamId upstream) const;

    [[nodiscard]] bool acquire(common::UpstreamId upstream, connection::SlotKey slot,
                               common::Duration hold, common::TimePoint now);
    void release(common::UpstreamId upstream, connection::SlotKey slot,
                 connection::SlotOutcome outcome, common::Duration latency, common::TimePoint now);
    void onSlotReport(common::InstanceId sender, const wire::proto::SlotReport &report,
                      common::TimePoint now);

    void onHealthReport(common::UpstreamId upstream, const wire::proto::HealthReport &report,
                        common::TimePoint now);
    /// Sends probes; call it every ProbeInterval. Returns the states that have changed since the
    /// last call.
    [[nodiscard]] std::vector<wire::proto::UpstreamState> probe(common::TimePoint now);
    /// States of all owned upstreams, to send to a new member.
    [[nodiscard]] std::vector<wire::proto::UpstreamState> states() const;

    [[nodiscard]] std::size_t count() const { return m_owned.size(); }

private:
    struct Owned
    {
        connection::UpstreamOwner slots;
        common::Duration longestRequest;
        common::Incarnation incarnation;
        std::uint32_t unansweredProbes = 0;
        bool isLost = false;
        bool hasUnreportedChange = false;
        /// Peers that have not reported their grants for this upstream yet.
        std::set<common::InstanceId> pendingReporters;
        bool allHoldersLive = false;
    };

    [[nodiscard]] bool isOwnedHere(common::UpstreamId upstream, const UpstreamEntry &entry,
                                   const connection::OwnerSelector &members) const;
    /// Requests a report of the held grants from each peer.
    void requestSlotReports(const std::vector<common::UpstreamId> &gained,
                            const std::set<common::InstanceId> &peers);

    common::InstanceId m_self;
    const ServiceDirectory &m_directory;
    DatagramSink &m_datagrams;
    PeerSink &m_peers;
    std::uint64_t m_sequence = 0;
    std::map<common::UpstreamId, Owned> m_owned;
};

} // namespace banyanwall::process
