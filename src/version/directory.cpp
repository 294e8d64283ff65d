#include "version/directory.h"

#include "common/result.h"
#include "version/rulespatch.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace banyanwall::version {

using common::StoreRevision;
using common::TimePoint;

namespace {

// How long removals are kept for deltas to peers. A peer that receives no deltas reads the store
// itself within seconds, so that none is further behind than this.
constexpr std::chrono::seconds RemovalRetention { 60 };

constexpr std::uint64_t PortBits = 16;

// Allows for different transmission times of the records of one upstream.
constexpr std::chrono::milliseconds ColdTimeTolerance { 200 };

DirectoryValue valueAt(const Directory::Entry &entry, TimePoint now)
{
    auto value = entry.value;
    if (auto *upstream = std::get_if<UpstreamRecord>(&value)) {
        const auto age = now - entry.receivedAt;
        upstream->coldFor = std::max(common::Duration {}, upstream->coldFor - age);
    }
    return value;
}

std::set<EntryKey> keysOf(const DirectoryDelta &delta)
{
    std::set<EntryKey> keys;
    std::ranges::transform(delta.changes, std::inserter(keys, keys.end()), &DirectoryChange::key);
    return keys;
}

/// Version of the contract; empty if the value holds no rules.
std::optional<std::uint64_t> contractVersionOf(const DirectoryValue &value)
{
    using Version = std::optional<std::uint64_t>;
    return std::visit(common::Overloaded {
                              [](const RulesRecord &rules) { return Version(rules.version); },
                              [](const RulesPatch &patch) { return Version(patch.version); },
                              [](const auto & /*other*/) { return Version(); },
                      },
                      value);
}

/// Returns the rules to which a patch leads, and any other value as it is. Empty if the patch does
/// not fit the known rules.
std::optional<DirectoryValue> patchedValue(const RulesRecord *known, const DirectoryValue &value)
{
    const auto *patch = std::get_if<RulesPatch>(&value);
    if (patch == nullptr) {
        return value;
    }
    auto patched = patchedRules(known, *patch);
    return patched ? std::optional<DirectoryValue>(std::move(*patched)) : std::nullopt;
}

/// Returns true if the record of an upstream changes only its cold time, and that time is no longer
/// than the earlier record implies. A cold upstream writes its remaining cold time each time that
/// it renews its entry in the store.
bool isRedundantRecord(const Directory::Entry &entry, const DirectoryValue &value, TimePoint now)
{
    const auto *known = std::get_if<UpstreamRecord>(&entry.value);
    const auto *record = std::get_if<UpstreamRecord>(&value);
    if (known == nullptr || record == nullptr) {
        return false;
    }
    auto expected = *known;
    expected.coldFor = record->coldFor;
    const auto left = known->coldFor - (now - entry.receivedAt);
    return expected == *record
            && record->coldFor <= std::max(common::Duration {}, left) + ColdTimeTolerance;
}

} // namespace

EntryKey keyOf(const UpstreamRecord &record)
{
    const bool isNamedBySerial = record.entry == common::EntryId();
    return { EntryKind::Upstream, isNamedBySerial ? record.serial.value() : record.entry.value() };
}

EntryKey keyOf(const RulesRecord & /*record*/)
{
    return { EntryKind::Rules, 0 };
}

EntryKey keyOf(const RulesPatch & /*patch*/)
{
    return { EntryKind::Rules, 0 };
}

EntryKey keyOf(const WithdrawalRecord &record)
{
    return { EntryKind::Withdrawal, record.zone.value() };
}

EntryKey keyOf(const MemberRecord &record)
{
    return { EntryKind::Member,
             (std::uint64_t { record.endpoint.address } << PortBits) | record.endpoint.port };
}

std::vector<EntryKey> Directory::apply(const DirectoryDelta &delta, TimePoint now)
{
    const bool startsTooLate = !delta.complete && (!isLoaded() || delta.from > m_revision);
    if (startsTooLate) {
        return {};
    }
    // A delta of the past may hold entries that were removed since. Where removals are not known,
    // the lack of an entry is all that shows them.
    const bool isPast = delta.to < m_revision;
    const auto isKnownToBeGone = [&](const DirectoryChange &change) {
        return isPast && !isPresent(change.key)
                && (change.revision <= m_removalsCompleteAfter || isInGap(change.revision));
    };
    const bool isNewer = delta.to > m_revision;
    std::vector<EntryKey> changed;
    bool isRefused = isNewer && delta.mayLackRemovals && holdsUnlistedEntries(delta);
    for (const auto &change : delta.changes) {
        const auto outcome =
                isKnownToBeGone(change) ? Outcome::Unchanged : applyChange(delta, change, now);
        isRefused = isRefused || outcome == Outcome::Refused;
        if (outcome == Outcome::Changed) {
            changed.push_back(change.key);
        }
    }
    if (isRefused) {
        m_needsAllEntries = true;
        return changed;
    }
    m_needsAllEntries = m_needsAllEntries && !isNewer;
    if (isLoaded() && isNewer && (delta.complete || delta.mayLackRemovals)) {
        m_gaps.push_back({ m_revision, delta.to, now });
    }
    if (delta.complete) {
        removeMissingEntries(delta, now, changed);
        if (!isLoaded()) {
            m_removalsCompleteAfter = delta.to;
        }
    }
    m_revision = std::max(m_revision, delta.to);
    removeExpiredRemovals(now);
    return changed;
}

DirectoryDelta Directory::changesSince(StoreRevision since, TimePoint now) const
{
    DirectoryDelta delta { .from = since, .to = m_revision };
    delta.complete = since < m_removalsCompleteAfter || since == StoreRevision() || isInGap(since);
    delta.mayLackRemovals = !delta.complete
            && std::ranges::any_of(m_gaps, [&](const auto &gap) { return since < gap.to; });
    for (const auto &[key, entry] : m_entries) {
        const bool isRemoved = std::holds_alternative<RemovedRecord>(entry.value);
        if (delta.complete ? !isRemoved : entry.revision > since) {
            auto value = key.kind == EntryKind::Rules && !isRemoved
                    ? DirectoryValue(patchSince(since, delta.complete))
                    : valueAt(entry, now);
            delta.changes.push_back({ key, entry.revision, std::move(value) });
        }
    }
    return delta;
}

const RulesRecord *Directory::rules() const
{
    const auto found = m_entries.find({ EntryKind::Rules, 0 });
    return found == m_entries.end() ? nullptr : std::get_if<RulesRecord>(&found->second.value);
}

std::vector<MemberRecord> Directory::members() const
{
    std::vector<MemberRecord> members;
    for (auto entry = m_entries.lower_bound({ EntryKind::Member, 0 }); entry != m_entries.end();
         ++entry) {
        if (const auto *member = std::get_if<MemberRecord>(&entry->second.value)) {
            members.push_back(*member);
        }
    }
    return members;
}

Directory::Outcome Directory::applyChange(const DirectoryDelta &delta,
                                          const DirectoryChange &change, TimePoint now)
{
    auto &entry = m_entries[change.key];
    if (change.revision <= entry.revision) {
        return Outcome::Unchanged;
    }
    if (isRedundantRecord(entry, change.value, now)) {
        // The entry may have had another value in between, which other instances may hold.
        if (!delta.holdsEachChange) {
            entry.revision = change.revision;
        }
        return Outcome::Unchanged;
    }
    const auto *known = std::get_if<RulesRecord>(&entry.value);
    const auto version = contractVersionOf(change.value);
    if (known != nullptr && version && *version < known->version) {
        return Outcome::Unchanged;
    }
    auto value = patchedValue(known, change.value);
    if (!value) {
        return Outcome::Refused;
    }
    if (const auto *newRules = std::get_if<RulesRecord>(&*value)) {
        recordRouteChanges(known == nullptr ? RulesRecord {} : *known, *newRules, change.revision,
                           now);
    }
    entry = { change.revision, std::move(*value), now };
    return Outcome::Changed;
}

RulesPatch Directory::patchSince(StoreRevision since, bool complete) const
{
    const auto &record = *rules();
    RulesPatch patch { .version = record.version,
                       .idleLimit = record.idleLimit,
                       .complete = complete,
                       .services = record.services,
                       .routesDigest = digestOf(record.routes) };
    const auto hasChanged = [&](const common::Endpoint &address) {
        return complete || m_routeChanges.at(address).revision > since;
    };
    std::ranges::copy_if(record.routes, std::back_inserter(patch.routes), hasChanged,
                         &RouteRecord::address);
    if (complete) {
        return patch;
    }
    for (const auto &[address, change] : m_routeChanges) {
        if (change.revision > since && change.isRemoved) {
            patch.removedAddresses.push_back(address);
        }
    }
    return patch;
}

void Directory::recordRouteChanges(const RulesRecord &previous, const RulesRecord &rules,
                                   StoreRevision revision, TimePoint now)
{
    std::map<common::Endpoint, const RouteRecord *> previousRoutes;
    for (const auto &route : previous.routes) {
        previousRoutes.emplace(route.address, &route);
    }
    for (const auto &route : rules.routes) {
        const auto known = previousRoutes.find(route.address);
        if (known == previousRoutes.end() || *known->second != route) {
            m_routeChanges[route.address] = { revision, now, false };
        }
        if (known != previousRoutes.end()) {
            previousRoutes.erase(known);
        }
    }
    for (const auto &[address, route] : previousRoutes) {
        m_routeChanges[address] = { revision, now, true };
    }
}

bool Directory::holdsUnlistedEntries(const DirectoryDelta &delta) const
{
    const auto listed = keysOf(delta);
    return std::ranges::any_of(m_entries, [&](const auto &item) {
        const auto &[key, entry] = item;
        return entry.revision > delta.from && !listed.contains(key)
                && !std::holds_alternative<RemovedRecord>(entry.value);
    });
}

bool Directory::isPresent(const EntryKey &key) const
{
    const auto found = m_entries.find(key);
    return found != m_entries.end() && !std::holds_alternative<RemovedRecord>(found->second.value);
}

bool Directory::isInGap(StoreRevision revision) const
{
    return std::ranges::any_of(
            m_gaps, [&](const auto &gap) { return gap.from < revision && revision < gap.to; });
}

void Directory::removeMissingEntries(const DirectoryDelta &delta, TimePoint now,
                                     std::vector<EntryKey> &changed)
{
    const auto listed = keysOf(delta);
    for (auto &[key, entry] : m_entries) {
        const bool isMissing = !std::holds_alternative<RemovedRecord>(entry.value)
                && !listed.contains(key) && entry.revision <= delta.to;
        if (isMissing) {
            entry = { delta.to, RemovedRecord {}, now };
            changed.push_back(key);
        }
    }
}

void Directory::removeExpiredRemovals(TimePoint now)
{
    std::erase_if(m_gaps, [&](const auto &gap) {
        const bool isExpired = now - gap.learnedAt > RemovalRetention;
        if (isExpired) {
            m_removalsCompleteAfter = std::max(m_removalsCompleteAfter, gap.to);
        }
        return isExpired;
    });
    std::erase_if(m_routeChanges, [&](const auto &item) {
        const auto &change = item.second;
        const bool isExpired = change.isRemoved && now - change.receivedAt > RemovalRetention;
        if (isExpired) {
            m_removalsCompleteAfter = std::max(m_removalsCompleteAfter, change.revision);
        }
        return isExpired;
    });
    std::erase_if(m_entries, [&](const auto &item) {
        const auto &entry = item.second;
        const bool isExpired = std::holds_alternative<RemovedRecord>(entry.value)
                && now - entry.receivedAt > RemovalRetention;
        if (isExpired) {
            m_removalsCompleteAfter = std::max(m_removalsCompleteAfter, entry.revision);
        }
        return isExpired;
    });
}

} // namespace banyanwall::version
