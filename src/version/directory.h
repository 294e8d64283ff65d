#pragma once

#include "common/endpoint.h"
#include "common/ids.h"
#include "common/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace banyanwall::version {

/// An upstream as it registered itself in the store.
struct UpstreamRecord
{
    common::UpstreamSerial serial {};
    common::ServiceId service {};
    common::Endpoint endpoint {};
    common::ZoneId zone {};
    /// Number of requests that the upstream runs at the same time.
    std::uint32_t slots = 1;
    /// The upstream keeps its flows and takes no new ones.
    bool draining = false;
    /// Time that the upstream stays cold after the record was received.
    common::Duration coldFor {};
    /// Start of the upstream; differs for each start under the same serial.
    common::Incarnation incarnation {};
    /// Entry that holds the record; zero stands for an entry that is named by the serial. Several
    /// entries may name the same serial by mistake.
    common::EntryId entry {};
    /// Revision at which the entry was created.
    common::StoreRevision createdAt {};

    bool operator==(const UpstreamRecord &) const = default;
};

/// Service that gets a part of the flows of a route.
struct ServiceShare
{
    common::ServiceId service;
    /// Relative to the weights of the other services of the route.
    std::uint32_t weight = 1;

    bool operator==(const ServiceShare &) const = default;
};

/// What the contract promises to the callers of a route. A term that the contract does not name, or
/// names with an unusable value, is empty; the decisions that need it are then not made.
struct RouteTerms
{
    /// Rank of the requests when room is short; 0 is served first.
    std::optional<std::uint32_t> priority {};
    /// Time from the request to its answer that callers expect.
    std::optional<common::Duration> responseAim {};
    /// Time from the request until its caller gives up.
    std::optional<common::Duration> timeBudget {};

    bool operator==(const RouteTerms &) const = default;
};

/// Where new flows to one address of the fabric go.
struct RouteRecord
{
    common::Endpoint address;
    std::vector<ServiceShare> shares {};
    /// Callers may send their requests again after any failure.
    bool repeatable = false;
    RouteTerms terms {};

    bool operator==(const RouteRecord &) const = default;
};

struct ServiceRecord
{
    common::ServiceId service;
    /// Time that an upstream is cold after its zone has returned.
    common::Duration coldPeriod {};
    /// New flows per second that a cold upstream can take, from all instances together.
    double coldOpensPerSecond = 0.0;
    /// Maximum number of flows that an upstream holds at the same time; 0 for no limit.
    std::uint32_t maxConnections = 0;

    bool operator==(const ServiceRecord &) const = default;
};

/// Routing rules of the newest contract.
struct RulesRecord
{
    /// Version of the contract.
    std::uint64_t version = 0;
    std::vector<RouteRecord> routes {};
    std::vector<ServiceRecord> services {};
    /// A flow without a packet for this long has ended.
    common::Duration idleLimit {};

    bool operator==(const RulesRecord &) const = default;
};

/// Changes of the routing rules between two contracts, for instances that know the earlier one.
struct RulesPatch
{
    /// Version of the later contract.
    std::uint64_t version = 0;
    common::Duration idleLimit {};
    /// routes holds all routes; all other addresses have none.
    bool complete = false;
    /// New and changed routes.
    std::vector<RouteRecord> routes {};
    /// Addresses that no longer have a route.
    std::vector<common::Endpoint> removedAddresses {};
    /// Always all services.
    std::vector<ServiceRecord> services {};
    /// Digest of all routes of the later contract; empty in patches of older programs.
    std::optional<common::RoutesDigest> routesDigest {};

    bool operator==(const RulesPatch &) const = default;
};

/// Withdrawal of an availability zone: its upstreams get no new flows.
struct WithdrawalRecord
{
    common::ZoneId zone;

    bool operator==(const WithdrawalRecord &) const = default;
};

/// An instance that receives messages of its peers.
struct MemberRecord
{
    common::Endpoint endpoint;
    common::ZoneId zone;
    /// Relative capacity for roles such as leader and watcher; larger values are preferred.
    std::uint32_t capacity = 0;

    bool operator==(const MemberRecord &) const = default;
};

/// The entry no longer exists.
struct RemovedRecord
{
    bool operator==(const RemovedRecord &) const = default;
};

using DirectoryValue = std::variant<RemovedRecord, UpstreamRecord, RulesRecord, RulesPatch,
                                    WithdrawalRecord, MemberRecord>;

/// The numbers are part of the format of messages between instances.
enum class EntryKind : std::uint8_t {
    Upstream = 1,
    Rules = 2,
    Withdrawal = 3,
    Member = 4,
};

struct EntryKey
{
    EntryKind kind = EntryKind::Upstream;
    /// Unique within the kind.
    std::uint64_t id = 0;

    auto operator<=>(const EntryKey &) const = default;
};

[[nodiscard]] EntryKey keyOf(const UpstreamRecord &record);
[[nodiscard]] EntryKey keyOf(const RulesRecord &record);
[[nodiscard]] EntryKey keyOf(const RulesPatch &patch);
[[nodiscard]] EntryKey keyOf(const WithdrawalRecord &record);
[[nodiscard]] EntryKey keyOf(const MemberRecord &record);

/// One entry at the revision of its last change.
struct DirectoryChange
{
    EntryKey key;
    common::StoreRevision revision;
    DirectoryValue value;

    bool operator==(const DirectoryChange &) const = default;
};

/// Changes that lead from one revision to a later one.
struct DirectoryDelta
{
    common::StoreRevision from;
    common::StoreRevision to;
    /// changes holds all entries; all others were removed.
    bool complete = false;
    std::vector<DirectoryChange> changes {};
    /// Entries that were created and removed between the two revisions may be unknown to the
    /// sender, so that their removals are missing in changes.
    bool mayLackRemovals = false;
    /// changes holds each change between the two revisions, and not only the last one of each
    /// entry.
    bool holdsEachChange = false;
};

/// Entries of the store that routing needs, each at its newest known revision. An entry never
/// returns to an older revision, whether it comes from the store or from a peer. Not thread-safe.
class Directory
{
public:
    struct Entry
    {
        common::StoreRevision revision;
        DirectoryValue value;
        common::TimePoint receivedAt;
    };

    /// Returns the newest revision up to which all changes are known; zero before the first
    /// complete delta.
    [[nodiscard]] common::StoreRevision revision() const { return m_revision; }

    [[nodiscard]] bool isLoaded() const { return m_revision != common::StoreRevision(); }

    /// Whether the last delta was refused because its changes do not fit the known entries. Only
    /// a complete delta, or one of another peer, leads to a later revision.
    [[nodiscard]] bool needsAllEntries() const { return m_needsAllEntries; }

    [[nodiscard]] const std::map<EntryKey, Entry> &entries() const { return m_entries; }

    /// Applies a delta and returns the keys of the changed entries. A delta that starts after the
    /// known revision is ignored unless it is complete, because the changes in between are unknown.
    /// A delta whose rules are changed from a contract that is not the known one, or that may lack
    /// the removal of a known entry, does not advance the revision, and needsAllEntries() returns
    /// true.
    /// A delta that ends before the known revision brings no entry back that was removed meanwhile.
    std::vector<EntryKey> apply(const DirectoryDelta &delta, common::TimePoint now);

    /// Returns the changes after a revision, or a complete delta if some removals since then have
    /// expired. The rules are returned as a patch, and the cold times of upstreams as of now.
    [[nodiscard]] DirectoryDelta changesSince(common::StoreRevision since,
                                              common::TimePoint now) const;

    [[nodiscard]] const RulesRecord *rules() const;
    [[nodiscard]] std::vector<MemberRecord> members() const;

private:
    enum class Outcome {
        Unchanged,
        Changed,
        /// The change is a patch of other rules than the known ones.
        Refused,
    };

    Outcome applyChange(const DirectoryDelta &delta, const DirectoryChange &change,
                        common::TimePoint now);
    [[nodiscard]] RulesPatch patchSince(common::StoreRevision since, bool complete) const;
    void recordRouteChanges(const RulesRecord &previous, const RulesRecord &rules,
                            common::StoreRevision revision, common::TimePoint now);
    /// Whether an entry that is newer than the start of the delta is not listed in it.
    [[nodiscard]] bool holdsUnlistedEntries(const DirectoryDelta &delta) const;
    /// Whether the entry exists and was not removed.
    [[nodiscard]] bool isPresent(const EntryKey &key) const;
    [[nodiscard]] bool isInGap(common::StoreRevision revision) const;
    void removeMissingEntries(const DirectoryDelta &delta, common::TimePoint now,
                              std::vector<EntryKey> &changed);
    void removeExpiredRemovals(common::TimePoint now);

    std::map<EntryKey, Entry> m_entries;

    struct RouteChange
    {
        common::StoreRevision revision;
        common::TimePoint receivedAt;
        bool isRemoved = false;
    };

    /// Last change of the route of each address, including recently removed routes.
    std::map<common::Endpoint, RouteChange> m_routeChanges;
    common::StoreRevision m_revision;
    /// Removals up to this revision may have expired, so that m_entries and m_routeChanges may lack
    /// them.
    common::StoreRevision m_removalsCompleteAfter;

    struct HistoryGap
    {
        common::StoreRevision from;
        common::StoreRevision to;
        common::TimePoint learnedAt;
    };

    /// Gaps of the last minute. Entries may have been created and removed in one without ever being
    /// known here.
    std::vector<HistoryGap> m_gaps;
    bool m_needsAllEntries = false;
};

} // namespace banyanwall::version
