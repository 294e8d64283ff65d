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

/// An upstream as it registered itself.
struct UpstreamRecord
{
    common::UpstreamSerial serial {};
    common::ServiceId service {};
    common::Endpoint endpoint {};
    common::ZoneId zone {};
    /// Requests that it runs at the same time.
    std::uint32_t slots = 1;
    /// It keeps its flows and takes no new ones.
    bool draining = false;
    /// How much longer it is cold, counted from when the record was received.
    common::Duration coldFor {};
    /// Differs for each start under the same serial.
    common::Incarnation incarnation {};

    bool operator==(const UpstreamRecord &) const = default;
};

struct ServiceShare
{
    common::ServiceId service;
    std::uint32_t weight = 1;

    bool operator==(const ServiceShare &) const = default;
};

/// Where new flows to one address of the fabric go.
struct RouteRecord
{
    common::Endpoint address;
    std::vector<ServiceShare> shares {};
    /// A caller may send its requests again after any failure.
    bool repeatable = false;

    bool operator==(const RouteRecord &) const = default;
};

struct ServiceRecord
{
    common::ServiceId service;
    /// How long an upstream is cold after it returned with its zone.
    common::Duration coldPeriod {};
    /// New flows a second that a cold upstream bears, from the whole fleet.
    double coldOpensPerSecond = 0.0;
    /// Flows that an upstream holds at the same time; 0 for no limit.
    std::uint32_t maxConnections = 0;

    bool operator==(const ServiceRecord &) const = default;
};

/// What the newest contract says about routing.
struct RulesRecord
{
    std::uint64_t version = 0;
    std::vector<RouteRecord> routes {};
    std::vector<ServiceRecord> services {};
    /// A flow without a packet for this long has ended.
    common::Duration idleLimit {};

    bool operator==(const RulesRecord &) const = default;
};

/// What changed between two contracts, for instances that know the earlier one.
struct RulesPatch
{
    std::uint64_t version = 0;
    common::Duration idleLimit {};
    /// Holds all routes; addresses that it does not name have none.
    bool complete = false;
    std::vector<RouteRecord> routes {};
    std::vector<common::Endpoint> removedAddresses {};
    std::vector<ServiceRecord> services {};

    bool operator==(const RulesPatch &) const = default;
};

/// New flows avoid the upstreams of this zone.
struct WithdrawalRecord
{
    common::ZoneId zone;

    bool operator==(const WithdrawalRecord &) const = default;
};

/// An instance that takes messages of its peers.
struct MemberRecord
{
    common::Endpoint endpoint;
    common::ZoneId zone;
    /// How well it bears duties for other instances; larger is better.
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

/// The values are part of the format between instances.
enum class EntryKind : std::uint8_t {
    Upstream = 1,
    Rules = 2,
    Withdrawal = 3,
    Member = 4,
};

/// Names an entry: kind and a number that is unique within the kind.
struct EntryKey
{
    EntryKind kind = EntryKind::Upstream;
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
    /// Holds all entries; what it does not name was removed.
    bool complete = false;
    std::vector<DirectoryChange> changes {};
};

/// Entries of the store that routing needs, each at its newest known revision. An entry never goes
/// back to an older revision, whoever offers it. Not thread-safe.
class Directory
{
public:
    struct Entry
    {
        common::StoreRevision revision;
        DirectoryValue value;
        common::TimePoint receivedAt;
    };

    /// Newest revision up to which all changes are known; zero before the first complete delta.
    [[nodiscard]] common::StoreRevision revision() const { return m_revision; }

    [[nodiscard]] bool isLoaded() const { return m_revision != common::StoreRevision(); }

    [[nodiscard]] const std::map<EntryKey, Entry> &entries() const { return m_entries; }

    /// Returns the entries that changed. A delta that leaves a gap after the known revision changes
    /// nothing.
    std::vector<EntryKey> apply(const DirectoryDelta &delta, common::TimePoint now);

    /// Changes after a revision, complete when the directory no longer knows all of them. The rules
    /// come as a patch. The time that upstreams stay cold is that at now.
    [[nodiscard]] DirectoryDelta changesSince(common::StoreRevision since,
                                              common::TimePoint now) const;

    [[nodiscard]] const RulesRecord *rules() const;
    [[nodiscard]] std::vector<MemberRecord> members() const;

private:
    bool applyChange(const DirectoryChange &change, common::TimePoint now);
    [[nodiscard]] RulesRecord patched(const RulesPatch &patch) const;
    [[nodiscard]] RulesPatch patchSince(common::StoreRevision since, bool complete) const;
    void noteRouteChanges(const RulesRecord &former, const RulesRecord &rules,
                          common::StoreRevision revision, common::TimePoint now);
    void removeUnnamed(const DirectoryDelta &delta, common::TimePoint now,
                       std::vector<EntryKey> &changed);
    void forgetOldRemovals(common::TimePoint now);

    std::map<EntryKey, Entry> m_entries;

    struct RouteChange
    {
        common::StoreRevision revision;
        common::TimePoint receivedAt;
        bool isRemoved = false;
    };

    /// When the route of an address changed last, routes that went lately included.
    std::map<common::Endpoint, RouteChange> m_routeChanges;
    common::StoreRevision m_revision;
    /// Removals up to this revision may have been forgotten.
    common::StoreRevision m_removalsKnownSince;
};

} // namespace banyanwall::version
