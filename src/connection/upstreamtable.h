#pragma once

#include "common/ids.h"
#include "common/time.h"
#include "connection/answertime.h"
#include "connection/upstreamhealth.h"
#include "connection/zonehealth.h"
#include "version/directory.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace banyanwall::connection {

/// An upstream as routing sees it.
struct TrackedUpstream
{
    version::UpstreamRecord record;
    common::FlowToken token;
    /// Its entry is in the directory.
    bool isRegistered = true;
    /// When its entry went.
    common::TimePoint removedAt;
    common::TimePoint coldUntil;
    /// It was silent and may have started again, which its record would tell.
    common::TimePoint assumedColdUntil;
    /// It leaves many more requests without an answer than others.
    bool isOutlier = false;
    UpstreamHealth health;
    ResponseTimeEstimator responseTime;

    [[nodiscard]] bool isCold(common::TimePoint now) const
    {
        return now < std::max(coldUntil, assumedColdUntil);
    }
};

/// Token of the flows of an upstream; the same at all instances.
[[nodiscard]] common::FlowToken tokenOf(common::UpstreamSerial serial);

/// Upstreams and withdrawn zones of the directory. Upstreams whose entry went are kept for as long
/// as their flows may live. Not thread-safe.
class UpstreamTable
{
public:
    /// instance differs for each instance of the fleet.
    explicit UpstreamTable(std::uint64_t instance);

    using Group = std::vector<TrackedUpstream *>;

    /// Takes over the entries of the directory that changed.
    void update(const version::Directory &directory, const std::vector<version::EntryKey> &changed,
                common::TimePoint now);
    /// Forgets upstreams whose entry went a flow's life ago.
    void removeExpired(common::TimePoint now);

    /// Null when no upstream with this token is known.
    [[nodiscard]] TrackedUpstream *find(common::FlowToken token);
    /// All known upstreams of a service, removed ones included.
    [[nodiscard]] const Group &ofService(common::ServiceId service) const;
    [[nodiscard]] bool isWithdrawn(common::ZoneId zone) const;
    /// When this instance learned that the zone is withdrawn; empty while it is not.
    [[nodiscard]] std::optional<common::TimePoint> withdrawnAt(common::ZoneId zone) const;

    /// An upstream that was silent answers while the directory is not current: it may have started
    /// again.
    void assumeCold(TrackedUpstream &upstream, common::TimePoint now);
    /// Records are current again and tell which upstreams are cold.
    void clearAssumedCold();

    /// Marks these upstreams as outliers and all others as none; returns those that are new.
    std::vector<common::UpstreamSerial> setOutliers(const std::vector<common::FlowToken> &outliers);

    /// Lets suspected upstreams of a zone that is reached again be probed soon.
    void expediteProbes(common::ZoneId zone, common::TimePoint now);

    /// Unreachable zones that other instances are to be told about.
    [[nodiscard]] std::vector<common::ZoneId> zonesToReport(common::TimePoint now);

    /// An upstream of this zone has answered a caller.
    void recordResponse(common::ZoneId zone, common::TimePoint now);

    [[nodiscard]] ZoneHealth &zoneHealth(common::ZoneId zone);
    /// Whether other instances of the own zone object to wrong verdicts on zones.
    void setHasPeers(bool hasPeers);

    /// Time to an answer of all upstreams of a service.
    [[nodiscard]] ResponseTimeEstimator &serviceResponseTime(common::ServiceId service)
    {
        return m_serviceResponseTimes[service];
    }

    [[nodiscard]] const version::ServiceRecord *serviceRules(common::ServiceId service) const;

    [[nodiscard]] std::size_t size() const { return m_upstreams.size(); }

    /// Upstreams that get no flows because another upstream has their token.
    [[nodiscard]] std::size_t tokenCollisions() const { return m_tokenCollisions; }

private:
    [[nodiscard]] UpstreamHealth makeHealth(common::UpstreamSerial serial) const;
    void updateUpstream(const version::Directory::Entry &entry, common::UpstreamSerial serial,
                        common::TimePoint now);
    void addUpstream(const version::UpstreamRecord &record, common::TimePoint now);
    void updateWithdrawal(const version::Directory::Entry &entry, common::ZoneId zone,
                          common::TimePoint now);
    void updateRules(const version::Directory &directory);
    void removeFromGroup(const TrackedUpstream &upstream);

    std::uint64_t m_instance;
    std::unordered_map<common::FlowToken, std::unique_ptr<TrackedUpstream>> m_upstreams;
    std::unordered_map<common::ServiceId, Group> m_groups;
    std::unordered_map<common::ZoneId, common::TimePoint> m_withdrawnAt;
    std::unordered_map<common::ZoneId, ZoneHealth> m_zoneHealth;
    bool m_hasPeers = false;
    std::unordered_map<common::ServiceId, version::ServiceRecord> m_services;
    std::unordered_map<common::ServiceId, ResponseTimeEstimator> m_serviceResponseTimes;
    std::size_t m_tokenCollisions = 0;
};

} // namespace banyanwall::connection
