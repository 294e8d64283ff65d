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

/// The upstreams that this instance owns: their slots, and the probes of their health. Not
/// thread-safe.
class OwnedUpstreams
{
public:
    static constexpr common::Duration ProbeInterval = std::chrono::milliseconds(500);
    /// An upstream with this many unanswered probes in a row is lost.
    static constexpr std::uint32_t LostAfterProbes = 3;

    OwnedUpstreams(common::InstanceId self, const ServiceDirectory &directory,
                   DatagramSink &datagrams, PeerSink &peers);

    /// Takes new members or rosters. Upstreams gained by this call count all slots as taken until
    /// the peers have reported theirs. peersComplete says that no instance that may hold a grant
    /// can have died within the longest request. Returns the upstreams that were gained.
    std::vector<common::UpstreamId> update(const connection::OwnerSelector &members,
                                           bool peersComplete, common::TimePoint now);
    [[nodiscard]] bool owns(common::UpstreamId upstream) const;

    [[nodiscard]] bool acquire(common::UpstreamId upstream, connection::SlotKey slot,
                               common::Duration hold, common::TimePoint now);
    void release(common::UpstreamId upstream, connection::SlotKey slot,
                 connection::SlotOutcome outcome, common::Duration latency, common::TimePoint now);
    void onSlotReport(common::InstanceId sender, const wire::proto::SlotReport &report,
                      common::TimePoint now);

    void onHealthReport(common::UpstreamId upstream, const wire::proto::HealthReport &report,
                        common::TimePoint now);
    /// Sends probes; call every ProbeInterval. Returns the upstreams whose state has changed since
    /// the last call.
    [[nodiscard]] std::vector<wire::proto::UpstreamState> probe(common::TimePoint now);
    /// State of all owned upstreams, for a new member.
    [[nodiscard]] std::vector<wire::proto::UpstreamState> states() const;

    [[nodiscard]] std::size_t count() const { return m_owned.size(); }

private:
    struct Owned
    {
        connection::UpstreamOwner slots;
        common::Duration longestRequest;
        common::Incarnation incarnation;
        std::uint32_t unanswered = 0;
        bool lost = false;
        bool changed = false;
        /// Peers that have not reported their grants yet.
        std::set<common::InstanceId> awaited;
        bool peersComplete = false;
    };

    [[nodiscard]] bool isOwnedHere(common::UpstreamId upstream, const UpstreamEntry &entry,
                                   const connection::OwnerSelector &members) const;
    void askForReports(const std::vector<common::UpstreamId> &gained,
                       const std::set<common::InstanceId> &peers);

    common::InstanceId m_self;
    const ServiceDirectory &m_directory;
    DatagramSink &m_datagrams;
    PeerSink &m_peers;
    std::uint64_t m_sequence = 0;
    std::map<common::UpstreamId, Owned> m_owned;
};

} // namespace banyanwall::process
