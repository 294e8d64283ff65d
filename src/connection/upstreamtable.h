#pragma once

#include "common/ids.h"
#include "common/time.h"
#include "connection/responsetimeestimator.h"
#include "connection/upstreamhealth.h"
#include "connection/upstreamload.h"
#include "connection/zonehealth.h"
#include "version/directory.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace banyanwall::connection {

/// An upstream writes its record when it starts, and the update reaches all instances well within
/// this time.
inline constexpr std::chrono::milliseconds MaxRecordDelay { 1'000 };

/// An upstream stopped responding and then responded to a new flow, but to none that was open
/// before. It may have restarted, so it is treated as cold until the store has confirmed its
/// record.
struct AssumedRestart
{
    common::UpstreamSerial upstream;
    /// First retransmission of a caller without a response.
    common::TimePoint silentSince;
    /// First response after that.
    common::TimePoint respondedAt;
    /// Upstreams that did not restart were silent as well, so that the path may have failed.
    bool isPathSuspected = false;

    /// Whether a response on a flow that was open at openSince shows that there was no restart.
    [[nodiscard]] bool isRefutedBy(common::TimePoint openSince) const;
    /// Whether a directory that the store confirmed at this time shows the restart.
    [[nodiscard]] bool isShownBy(common::TimePoint confirmedAt) const;

    bool operator==(const AssumedRestart &) const = default;
};

/// An upstream with its health and response time.
struct TrackedUpstream
{
    version::UpstreamRecord record;
    common::FlowToken token;
    /// Whether the directory has an entry of the upstream.
    bool isRegistered = true;
    /// When its directory entry was removed.
    common::TimePoint removedAt;
    common::TimePoint coldUntil;
    /// End of the cold period after an assumed restart.
    common::TimePoint assumedColdUntil;
    /// The upstream has many more overdue requests than the other upstreams of its service.
    bool isOutlier = false;
    UpstreamHealth health;
    ResponseTimeEstimator responseTime;
    UpstreamLoad load;

    [[nodiscard]] bool isCold(common::TimePoint now) const
    {
        return now < std::max(coldUntil, assumedColdUntil);
    }
};

/// Token of the flows of an upstream; the same at all instances.
[[nodiscard]] common::FlowToken tokenOf(common::UpstreamSerial serial);

/// Upstreams and withdrawn zones of the directory. An upstream is kept after the removal of its
/// entry until all its flows have ended. Not thread-safe.
class UpstreamTable
{
public:
    /// instance is different for each instance.
    explicit UpstreamTable(std::uint64_t instance);

    using Group = std::vector<TrackedUpstream *>;

    /// Applies changed entries of the directory.
    void update(const version::Directory &directory, const std::vector<version::EntryKey> &changed,
                common::TimePoint now);
    /// Removes upstreams whose entry was removed longer ago than the maximum lifetime of a flow.
    void removeExpired(common::TimePoint now);

    /// Null when no upstream has this token.
    [[nodiscard]] TrackedUpstream *find(common::FlowToken token);
    /// All upstreams of a service that are kept, including those without a directory entry.
    [[nodiscard]] const Group &ofService(common::ServiceId service) const;

    /// Calls visitor(ServiceId, const Group &) for each service.
    template<typename Visitor>
    void visitServices(const Visitor &visitor) const
    {
        for (const auto &[service, group] : m_groups) {
            visitor(service, group);
        }
    }

    [[nodiscard]] bool isWithdrawn(common::ZoneId zone) const;
    /// Zones with at least one upstream that may take flows: registered, not draining, and not in a
    /// withdrawn zone.
    [[nodiscard]] std::vector<common::ZoneId> usableZones() const;
    /// When this instance learned of the withdrawal; empty while the zone is not withdrawn.
    [[nodiscard]] std::optional<common::TimePoint> withdrawnAt(common::ZoneId zone) const;

    /// Treats an upstream as cold, because it may have restarted. Returns false if this restart is
    /// known already, or was refuted. The upstream may still be missing in the directory.
    bool assumeRestart(const AssumedRestart &restart);
    /// An upstream responded to a flow that was open at openSince, so it has not restarted since.
    void onResponse(const TrackedUpstream &upstream, common::TimePoint openSince);
    /// The store confirmed the directory: its records show which upstreams are cold that restarted
    /// some time before.
    void confirmRecords(common::TimePoint confirmedAt);
    /// Assumed restarts whose upstreams still count as cold.
    [[nodiscard]] std::vector<AssumedRestart> assumedRestarts(common::TimePoint now);

    /// Marks exactly these upstreams as outliers; returns those that were not marked before.
    std::vector<common::UpstreamSerial> setOutliers(const std::vector<common::FlowToken> &outliers);

    /// Moves the next probes of the upstreams of a zone forward; called when the zone is reachable
    /// again.
    void expediteProbes(common::ZoneId zone, common::TimePoint now);

    /// Unreachable zones whose report to the other instances is due.
    [[nodiscard]] std::vector<common::ZoneId> zonesToReport(common::TimePoint now);

    /// An upstream of this zone responded to a caller.
    void recordResponse(common::ZoneId zone, common::TimePoint now);

    [[nodiscard]] ZoneHealth &zoneHealth(common::ZoneId zone);
    /// Whether the own zone has enough other instances to refute wrong verdicts on zones.
    void setHasPeers(bool hasPeers);

    /// Response time of all upstreams of a service together.
    [[nodiscard]] ResponseTimeEstimator &serviceResponseTime(common::ServiceId service)
    {
        return m_serviceResponseTimes[service];
    }

    [[nodiscard]] const version::ServiceRecord *serviceRules(common::ServiceId service) const;

    [[nodiscard]] std::size_t size() const { return m_upstreams.size(); }

    /// Number of upstreams that get no flows because another upstream has the same token.
    [[nodiscard]] std::size_t tokenCollisions() const { return m_tokenCollisions; }

    /// Number of records that were ignored because another entry names the same serial.
    [[nodiscard]] std::size_t duplicateEntries() const { return m_duplicateEntries; }

private:
    [[nodiscard]] UpstreamHealth makeHealth(common::UpstreamSerial serial) const;
    void updateUpstream(const version::Directory::Entry &entry, const version::EntryKey &key,
                        common::TimePoint now);
    void removeUpstream(const version::EntryKey &key, common::TimePoint now);
    /// Whether the record is to be ignored because the upstream has the same token or serial. Of
    /// two entries with the same serial, the one of the later start counts, then the one that was
    /// created first.
    [[nodiscard]] bool isDuplicate(const TrackedUpstream &known,
                                   const version::UpstreamRecord &record);
    void addUpstream(const version::UpstreamRecord &record, common::TimePoint now);
    void updateWithdrawal(const version::Directory::Entry &entry, common::ZoneId zone,
                          common::TimePoint now);
    /// End of the cold period that a record received now shows, or that the return of its zone
    /// starts, whichever is later.
    [[nodiscard]] common::TimePoint coldUntilOf(const version::UpstreamRecord &record,
                                                common::TimePoint now) const;
    /// End of the cold period after the last return of the zone. Records show only after a delay
    /// that the upstreams of a returned zone are cold.
    [[nodiscard]] common::TimePoint
    coldAfterReturnUntil(const version::UpstreamRecord &record) const;
    void updateRules(const version::Directory &directory);
    void removeFromGroup(const TrackedUpstream &upstream);
    /// Sets assumedColdUntil by the assumed restart of the upstream, if there is one.
    void updateAssumedCold(TrackedUpstream &upstream);

    std::uint64_t m_instance;
    std::unordered_map<common::FlowToken, std::unique_ptr<TrackedUpstream>> m_upstreams;
    /// Tokens of the upstreams by the id of their entry in the directory.
    std::unordered_map<std::uint64_t, common::FlowToken> m_tokens;
    std::unordered_map<common::ServiceId, Group> m_groups;
    std::unordered_map<common::ZoneId, common::TimePoint> m_withdrawnAt;
    /// When this instance last learned that the zone had returned from a withdrawal.
    std::unordered_map<common::ZoneId, common::TimePoint> m_returnedAt;
    std::unordered_map<common::ZoneId, ZoneHealth> m_zoneHealth;
    bool m_hasPeers = false;

    struct AssumedRestartState
    {
        AssumedRestart restart;
        /// The upstream responded to a flow that was open before it fell silent.
        bool isRefuted = false;
    };

    /// Latest assumed restart of each upstream, until the store has confirmed its record.
    std::unordered_map<common::UpstreamSerial, AssumedRestartState> m_assumedRestarts;
    std::unordered_map<common::ServiceId, version::ServiceRecord> m_services;
    std::unordered_map<common::ServiceId, ResponseTimeEstimator> m_serviceResponseTimes;
    std::size_t m_tokenCollisions = 0;
    std::size_t m_duplicateEntries = 0;
};

} // namespace banyanwall::connection
