#pragma once

#include "common/endpoint.h"
#include "common/ids.h"
#include "common/time.h"
#include "version/storeposition.h"

#include <chrono>
#include <cstddef>
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

/// One entry at the position of its last change.
struct DirectoryChange
{
    EntryKey key;
    StorePosition position;
    DirectoryValue value;

    bool operator==(const DirectoryChange &) const = default;
};

/// Changes that lead from one position to a later one.
struct DirectoryDelta
{
    StorePosition from;
    StorePosition to;
    /// changes holds all entries; all others were removed.
    bool complete = false;
    /// An entry that the sender holds against the first read of an era is listed twice: as the
    /// sender knows it from the former era, and then as the store returned it in the new one.
    std::vector<DirectoryChange> changes {};
    /// Entries that were created and removed between the two positions may be unknown to the
    /// sender, so that their removals are missing in changes.
    bool mayLackRemovals = false;
    /// changes holds each change between the two positions, and not only the last one of each
    /// entry.
    bool holdsEachChange = false;
};

/// Entries of the store that routing needs, each at its newest known position. An entry never
/// returns to an older position, whether it comes from the store or from a peer.
///
/// The first read of a new era shows a copy of the past. What was known before is held against it
/// for HoldPeriod: a known value stays where the copy differs from it, unless the difference can
/// only come from a later write. Any write after that read replaces a held value at once; when the
/// period ends, the copy counts. A contract never goes back to a lower version. Not thread-safe.
class Directory
{
public:
    /// Within this time operators and upstreams write again what the copy lacks.
    static constexpr std::chrono::seconds HoldPeriod { 5 };

    struct Entry
    {
        StorePosition position;
        DirectoryValue value;
        common::TimePoint receivedAt;
        /// Position in the former era, if the entry is the same in the present one. Peers that know
        /// that position hold the entry.
        std::optional<StorePosition> formerPosition {};
    };

    /// Returns the newest position up to which all changes are known; the default position before
    /// the first complete delta.
    [[nodiscard]] const StorePosition &position() const { return m_position; }

    /// Returns the revision of position().
    [[nodiscard]] common::StoreRevision revision() const { return m_position.revision; }

    [[nodiscard]] bool isLoaded() const { return m_position != StorePosition(); }

    /// Whether values of a former era are held against a copy.
    [[nodiscard]] bool isHolding() const { return m_holdEndsAt.has_value(); }

    /// Whether the store lacks the known value of an entry, as far as it is known here.
    [[nodiscard]] bool isHeld(const EntryKey &key) const { return m_copies.contains(key); }

    [[nodiscard]] std::size_t heldCount() const { return m_copies.size(); }

    /// Ends the hold when its time is over. Returns the keys of the entries that changed.
    std::vector<EntryKey> releaseHeld(common::TimePoint now);

    /// Whether the last delta was refused because its changes do not fit the known entries. Only
    /// a complete delta, or one of another peer, leads to a later position.
    [[nodiscard]] bool needsAllEntries() const { return m_needsAllEntries; }

    [[nodiscard]] const std::map<EntryKey, Entry> &entries() const { return m_entries; }

    /// Applies a delta and returns the keys of the changed entries. A delta that starts after the
    /// known position is ignored unless it is complete, because the changes in between are unknown.
    /// A delta that ends in a former era is ignored.
    /// A delta whose rules are changed from a contract that is not the known one, or that may lack
    /// the removal of a known entry, does not advance the position, and needsAllEntries() returns
    /// true.
    /// A delta that ends before the known position brings no entry back that was removed meanwhile.
    std::vector<EntryKey> apply(const DirectoryDelta &delta, common::TimePoint now);

    /// Returns the changes after a position, or a complete delta if some removals since then have
    /// expired. The rules are returned as a patch, and the cold times of upstreams as of now.
    [[nodiscard]] DirectoryDelta changesSince(StorePosition since, common::TimePoint now) const;

    [[nodiscard]] const RulesRecord *rules() const;
    [[nodiscard]] std::vector<MemberRecord> members() const;

private:
    enum class Outcome {
        Unchanged,
        Changed,
        /// The change is a patch of other rules than the known ones.
        Refused,
    };

    /// A change of the list of a delta.
    struct ListedChange
    {
        const DirectoryDelta &delta;
        const DirectoryChange &change;
        /// The change before it is the value that the sender holds against this one.
        bool isHeldBySender = false;
        /// The delta leads to an era that was not known here.
        bool beginsEra = false;
    };

    Outcome applyChange(const ListedChange &listed, common::TimePoint now);
    /// Confirms the known value of a former era, or holds it against the change. Empty if the
    /// change is later than the known value.
    std::optional<Outcome> confirmOrHold(const ListedChange &listed, Entry &entry,
                                         common::TimePoint now);
    Outcome replaceValue(Entry &entry, const DirectoryChange &change, common::TimePoint now);
    [[nodiscard]] RulesPatch patchSince(StorePosition since, bool complete) const;
    void recordRouteChanges(const RulesRecord &previous, const RulesRecord &rules,
                            StorePosition position, common::TimePoint now);
    /// Whether an entry that is newer than the start of the delta is not listed in it.
    [[nodiscard]] bool holdsUnlistedEntries(const DirectoryDelta &delta) const;
    /// Whether the store holds the entry, as far as it is known here.
    [[nodiscard]] bool isPresent(const EntryKey &key) const;
    [[nodiscard]] bool isInGap(const StorePosition &position) const;
    void removeMissingEntries(const DirectoryDelta &delta, bool beginsEra, common::TimePoint now,
                              std::vector<EntryKey> &changed);
    /// After changes that lead to a new era: the entries that are not listed are the same in it.
    void confirmUnlistedEntries(const DirectoryDelta &delta);
    /// Holds the known value of an entry against what the store returned.
    void hold(const EntryKey &key, Entry copy);
    void removeExpiredRemovals(common::TimePoint now);

    std::map<EntryKey, Entry> m_entries;
    /// What the store returned for the entries whose known values are held.
    std::map<EntryKey, Entry> m_copies;
    std::optional<common::TimePoint> m_holdEndsAt;

    struct RouteChange
    {
        StorePosition position;
        common::TimePoint receivedAt;
        bool isRemoved = false;
    };

    /// Last change of the route of each address, including recently removed routes.
    std::map<common::Endpoint, RouteChange> m_routeChanges;
    StorePosition m_position;
    /// Removals up to this position may have expired, so that m_entries and m_routeChanges may lack
    /// them.
    StorePosition m_removalsCompleteAfter;

    struct HistoryGap
    {
        StorePosition from;
        StorePosition to;
        common::TimePoint learnedAt;
    };

    /// Gaps of the last minute. Entries may have been created and removed in one without ever being
    /// known here.
    std::vector<HistoryGap> m_gaps;
    bool m_needsAllEntries = false;
};

} // namespace banyanwall::version
