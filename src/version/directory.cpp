#include "version/directory.h"

#include "version/directoryvalue.h"
#include "version/rulespatch.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace banyanwall::version {

using common::TimePoint;

namespace {

// How long removals are kept for deltas to peers. A peer that receives no deltas reads the store
// itself within seconds, so that none is further behind than this.
constexpr std::chrono::seconds RemovalRetention { 60 };

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

/// Last change of an entry as seen by peers that know a position.
StorePosition changedAt(const Directory::Entry &entry, const StorePosition &known)
{
    const bool isKnownInFormerEra = entry.formerPosition && known.era < entry.position.era;
    return isKnownInFormerEra ? *entry.formerPosition : entry.position;
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
    const auto left = known->coldFor - (now - entry.receivedAt);
    return isSameButForColdTime(entry.value, value)
            && record->coldFor <= std::max(common::Duration {}, left) + ColdTimeTolerance;
}

/// Whether the change holds all rules of a later contract than the known one, which a store that
/// has come back from a copy may lack.
bool isLaterContractOfFormerEra(const Directory::Entry &entry, const DirectoryChange &change)
{
    const auto *known = std::get_if<RulesRecord>(&entry.value);
    const auto *patch = std::get_if<RulesPatch>(&change.value);
    const auto version = contractVersionOf(change.value);
    return known != nullptr && version && *version > known->version
            && change.position.era < entry.position.era && (patch == nullptr || patch->complete);
}

} // namespace

std::vector<EntryKey> Directory::apply(const DirectoryDelta &delta, TimePoint now)
{
    const bool startsTooLate = !delta.complete && (!isLoaded() || delta.from > m_position);
    // An entry that changed in the former era and changed back in the copy is not listed. It is as
    // before only for those that start from the same position.
    const bool skipsEra =
            !delta.complete && delta.from.era < delta.to.era && delta.from != m_position;
    if (startsTooLate || skipsEra || delta.to.era < m_position.era) {
        return {};
    }
    const bool beginsEra = isLoaded() && delta.to.era > m_position.era;
    if (beginsEra) {
        m_holdEndsAt = now + HoldPeriod;
    }
    // A delta of the past may hold entries that were removed since. Where removals are not known,
    // the lack of an entry is all that shows them.
    const bool isPast = delta.to < m_position;
    const auto isKnownToBeGone = [&](const DirectoryChange &change) {
        return isPast && !isPresent(change.key)
                && (change.position <= m_removalsCompleteAfter || isInGap(change.position));
    };
    const bool isNewer = delta.to > m_position;
    std::vector<EntryKey> changed;
    bool isRefused = isNewer && delta.mayLackRemovals && holdsUnlistedEntries(delta);
    const DirectoryChange *previous = nullptr;
    for (const auto &change : delta.changes) {
        const bool isHeldBySender = previous != nullptr && previous->key == change.key
                && previous->position.era < change.position.era;
        previous = &change;
        const auto outcome = isKnownToBeGone(change)
                ? Outcome::Unchanged
                : applyChange({ delta, change, isHeldBySender, beginsEra }, now);
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
        m_gaps.push_back({ m_position, delta.to, now });
    }
    if (delta.complete) {
        removeMissingEntries(delta, beginsEra, now, changed);
        if (!isLoaded()) {
            m_removalsCompleteAfter = delta.to;
        }
    } else if (beginsEra) {
        confirmUnlistedEntries(delta);
    }
    m_position = std::max(m_position, delta.to);
    removeExpiredRemovals(now);
    return changed;
}

std::vector<EntryKey> Directory::releaseHeld(TimePoint now)
{
    std::vector<EntryKey> changed;
    if (!m_holdEndsAt || now < *m_holdEndsAt) {
        return changed;
    }
    m_holdEndsAt.reset();
    for (auto &[key, copy] : m_copies) {
        m_entries[key] = std::move(copy);
        changed.push_back(key);
    }
    m_copies.clear();
    return changed;
}

DirectoryDelta Directory::changesSince(StorePosition since, TimePoint now) const
{
    DirectoryDelta delta { .from = since, .to = m_position };
    delta.complete = since < m_removalsCompleteAfter || since == StorePosition() || isInGap(since);
    delta.mayLackRemovals = !delta.complete
            && std::ranges::any_of(m_gaps, [&](const auto &gap) { return since < gap.to; });
    for (const auto &[key, entry] : m_entries) {
        if (const auto copy = m_copies.find(key);
            copy != m_copies.end() && (delta.complete || copy->second.position > since)) {
            delta.changes.push_back({ key, entry.position, valueAt(entry, now) });
            delta.changes.push_back({ key, copy->second.position, valueAt(copy->second, now) });
            continue;
        }
        const bool isRemoved = std::holds_alternative<RemovedRecord>(entry.value);
        if (delta.complete ? !isRemoved : changedAt(entry, since) > since) {
            auto value = key.kind == EntryKind::Rules && !isRemoved
                    ? DirectoryValue(patchSince(since, delta.complete))
                    : valueAt(entry, now);
            delta.changes.push_back({ key, entry.position, std::move(value) });
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

Directory::Outcome Directory::applyChange(const ListedChange &listed, TimePoint now)
{
    const auto &change = listed.change;
    auto &entry = m_entries[change.key];
    if (isLaterContractOfFormerEra(entry, change)) {
        return replaceValue(entry, { change.key, entry.position, change.value }, now);
    }
    if (change.position <= entry.position) {
        return Outcome::Unchanged;
    }
    const auto copy = m_copies.find(change.key);
    if (copy != m_copies.end() && copy->second.position.era == change.position.era) {
        return change.position <= copy->second.position ? Outcome::Unchanged
                                                        : replaceValue(entry, change, now);
    }
    const bool isOfFormerEra = entry.position != StorePosition()
            && entry.position.era < change.position.era
            && (listed.beginsEra || listed.isHeldBySender);
    if (isOfFormerEra) {
        if (const auto outcome = confirmOrHold(listed, entry, now)) {
            return *outcome;
        }
    }
    const bool wasHeld = isHeld(change.key);
    if (!wasHeld && isRedundantRecord(entry, change.value, now)) {
        // The entry may have had another value in between, which other instances may hold.
        if (!listed.delta.holdsEachChange) {
            entry.position = change.position;
            entry.formerPosition.reset();
        }
        return Outcome::Unchanged;
    }
    return replaceValue(entry, change, now);
}

std::optional<Directory::Outcome> Directory::confirmOrHold(const ListedChange &listed, Entry &entry,
                                                           TimePoint now)
{
    const auto &[delta, change, isHeldBySender, beginsEra] = listed;
    // A copy of the past holds no later write than the known one.
    if (!isHeldBySender && change.position.revision > entry.position.revision) {
        return std::nullopt;
    }
    if (isSameButForColdTime(entry.value, change.value)) {
        const bool wasHeld = m_copies.erase(change.key) > 0;
        const bool mayDifferAtPeers = wasHeld || change.key.kind == EntryKind::Rules
                || change.position.revision != entry.position.revision;
        entry.formerPosition = mayDifferAtPeers ? std::nullopt : std::optional(entry.position);
        entry.position = change.position;
        return Outcome::Unchanged;
    }
    if (change.key.kind == EntryKind::Rules) {
        const bool isMissing = std::holds_alternative<RemovedRecord>(change.value);
        return isMissing ? std::optional(Outcome::Unchanged) : std::nullopt;
    }
    const bool isKnownToSender = !delta.complete && !isHeldBySender && entry.position <= delta.from;
    if (isKnownToSender || isLaterState(entry.value, change.value)) {
        return std::nullopt;
    }
    hold(change.key, { change.position, change.value, now });
    return Outcome::Unchanged;
}

Directory::Outcome Directory::replaceValue(Entry &entry, const DirectoryChange &change,
                                           TimePoint now)
{
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
        recordRouteChanges(known == nullptr ? RulesRecord {} : *known, *newRules, change.position,
                           now);
    }
    entry = { change.position, std::move(*value), now };
    m_copies.erase(change.key);
    return Outcome::Changed;
}

void Directory::hold(const EntryKey &key, Entry copy)
{
    if (!m_holdEndsAt) {
        m_holdEndsAt = copy.receivedAt + HoldPeriod;
    }
    m_copies.insert_or_assign(key, std::move(copy));
}

RulesPatch Directory::patchSince(StorePosition since, bool complete) const
{
    const auto &record = *rules();
    RulesPatch patch { .version = record.version,
                       .idleLimit = record.idleLimit,
                       .complete = complete,
                       .services = record.services,
                       .routesDigest = digestOf(record.routes) };
    const auto hasChanged = [&](const common::Endpoint &address) {
        return complete || m_routeChanges.at(address).position > since;
    };
    std::ranges::copy_if(record.routes, std::back_inserter(patch.routes), hasChanged,
                         &RouteRecord::address);
    if (complete) {
        return patch;
    }
    for (const auto &[address, change] : m_routeChanges) {
        if (change.position > since && change.isRemoved) {
            patch.removedAddresses.push_back(address);
        }
    }
    return patch;
}

void Directory::recordRouteChanges(const RulesRecord &previous, const RulesRecord &rules,
                                   StorePosition position, TimePoint now)
{
    std::map<common::Endpoint, const RouteRecord *> previousRoutes;
    for (const auto &route : previous.routes) {
        previousRoutes.emplace(route.address, &route);
    }
    for (const auto &route : rules.routes) {
        const auto known = previousRoutes.find(route.address);
        if (known == previousRoutes.end() || *known->second != route) {
            m_routeChanges[route.address] = { position, now, false };
        }
        if (known != previousRoutes.end()) {
            previousRoutes.erase(known);
        }
    }
    for (const auto &[address, route] : previousRoutes) {
        m_routeChanges[address] = { position, now, true };
    }
}

bool Directory::holdsUnlistedEntries(const DirectoryDelta &delta) const
{
    std::set<EntryKey> listed;
    for (const auto &change : delta.changes) {
        // A sender that knows an earlier removal does not know the entry that is known here.
        const auto found = m_entries.find(change.key);
        const bool isEarlierRemoval = found != m_entries.end()
                && std::holds_alternative<RemovedRecord>(change.value)
                && change.position < found->second.position;
        if (isEarlierRemoval) {
            listed.erase(change.key);
        } else {
            listed.insert(change.key);
        }
    }
    return std::ranges::any_of(m_entries, [&](const auto &item) {
        const auto &[key, entry] = item;
        return entry.position > delta.from && !listed.contains(key)
                && !std::holds_alternative<RemovedRecord>(entry.value);
    });
}

bool Directory::isPresent(const EntryKey &key) const
{
    const auto isPresentIn = [&](const auto &entries) {
        const auto found = entries.find(key);
        return found != entries.end()
                && !std::holds_alternative<RemovedRecord>(found->second.value);
    };
    return isPresentIn(isHeld(key) ? m_copies : m_entries);
}

bool Directory::isInGap(const StorePosition &position) const
{
    return std::ranges::any_of(
            m_gaps, [&](const auto &gap) { return gap.from < position && position < gap.to; });
}

void Directory::removeMissingEntries(const DirectoryDelta &delta, bool beginsEra, TimePoint now,
                                     std::vector<EntryKey> &changed)
{
    const auto present = presentKeysOf(delta);
    for (auto &[key, entry] : m_entries) {
        const auto copy = m_copies.find(key);
        const bool isNewer = entry.position > delta.to
                || (copy != m_copies.end() && copy->second.position > delta.to);
        const bool isContract = key.kind == EntryKind::Rules && entry.position.era < delta.to.era;
        if (present.contains(key) || isNewer || isContract) {
            continue;
        }
        if (std::holds_alternative<RemovedRecord>(entry.value)) {
            // Peers that did not hold the removal learn of it by its later position.
            if (copy != m_copies.end()) {
                m_copies.erase(copy);
                entry = { delta.to, RemovedRecord {}, now };
            }
            continue;
        }
        const bool isMissingInCopy =
                copy != m_copies.end() && std::holds_alternative<RemovedRecord>(copy->second.value);
        if (beginsEra && entry.position.era < delta.to.era) {
            hold(key, { delta.to, RemovedRecord {}, now });
        } else if (!isMissingInCopy) {
            entry = { delta.to, RemovedRecord {}, now };
            m_copies.erase(key);
            changed.push_back(key);
        }
    }
}

void Directory::confirmUnlistedEntries(const DirectoryDelta &delta)
{
    const auto listed = keysOf(delta);
    for (auto &[key, entry] : m_entries) {
        const bool isConfirmed = !listed.contains(key) && key.kind != EntryKind::Rules
                && !std::holds_alternative<RemovedRecord>(entry.value) && !m_copies.contains(key)
                && entry.position.era < delta.to.era;
        if (isConfirmed) {
            entry.formerPosition = entry.position;
            // The sender may know the value since an earlier write than this instance.
            entry.position = { delta.to.era, std::min(entry.position.revision, delta.to.revision) };
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
            m_removalsCompleteAfter = std::max(m_removalsCompleteAfter, change.position);
        }
        return isExpired;
    });
    std::erase_if(m_entries, [&](const auto &item) {
        const auto &entry = item.second;
        const bool isExpired = std::holds_alternative<RemovedRecord>(entry.value)
                && now - entry.receivedAt > RemovalRetention;
        if (isExpired) {
            m_removalsCompleteAfter = std::max(m_removalsCompleteAfter, entry.position);
        }
        return isExpired;
    });
}

} // namespace banyanwall::version
