#include "version/directory.h"

#include <algorithm>
#include <set>

namespace banyanwall::version {

using common::StoreRevision;
using common::TimePoint;

namespace {

// Longer than any peer stays without a delta: a peer that hears nothing reads the store in seconds.
constexpr std::chrono::seconds RemovalMemory { 60 };

constexpr std::uint64_t PortBits = 16;

DirectoryValue valueAt(const Directory::Entry &entry, TimePoint now)
{
    auto value = entry.value;
    if (auto *upstream = std::get_if<UpstreamRecord>(&value)) {
        const auto age = now - entry.receivedAt;
        upstream->coldFor = std::max(common::Duration {}, upstream->coldFor - age);
    }
    return value;
}

} // namespace

EntryKey keyOf(const UpstreamRecord &record)
{
    return { EntryKind::Upstream, record.serial.value() };
}

EntryKey keyOf(const RulesRecord & /*record*/)
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
    const bool leavesGap = !delta.complete && (!isLoaded() || delta.from > m_revision);
    if (leavesGap) {
        return {};
    }
    std::vector<EntryKey> changed;
    for (const auto &change : delta.changes) {
        if (applyChange(change, now)) {
            changed.push_back(change.key);
        }
    }
    if (delta.complete) {
        removeUnnamed(delta, now, changed);
        if (!isLoaded()) {
            m_removalsKnownSince = delta.to;
        }
    }
    m_revision = std::max(m_revision, delta.to);
    forgetOldRemovals(now);
    return changed;
}

DirectoryDelta Directory::changesSince(StoreRevision since, TimePoint now) const
{
    DirectoryDelta delta { .from = since, .to = m_revision };
    delta.complete = since < m_removalsKnownSince || since == StoreRevision();
    for (const auto &[key, entry] : m_entries) {
        const bool isRemoved = std::holds_alternative<RemovedRecord>(entry.value);
        if (delta.complete ? !isRemoved : entry.revision > since) {
            delta.changes.push_back({ key, entry.revision, valueAt(entry, now) });
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

bool Directory::applyChange(const DirectoryChange &change, TimePoint now)
{
    auto &entry = m_entries[change.key];
    if (change.revision <= entry.revision) {
        return false;
    }
    const auto *newRules = std::get_if<RulesRecord>(&change.value);
    const auto *oldRules = std::get_if<RulesRecord>(&entry.value);
    if (newRules != nullptr && oldRules != nullptr && newRules->version < oldRules->version) {
        return false;
    }
    entry = { change.revision, change.value, now };
    return true;
}

void Directory::removeUnnamed(const DirectoryDelta &delta, TimePoint now,
                              std::vector<EntryKey> &changed)
{
    std::set<EntryKey> named;
    std::ranges::transform(delta.changes, std::inserter(named, named.end()), &DirectoryChange::key);
    for (auto &[key, entry] : m_entries) {
        const bool isGone = !std::holds_alternative<RemovedRecord>(entry.value)
                && !named.contains(key) && entry.revision <= delta.to;
        if (isGone) {
            entry = { delta.to, RemovedRecord {}, now };
            changed.push_back(key);
        }
    }
}

void Directory::forgetOldRemovals(TimePoint now)
{
    std::erase_if(m_entries, [&](const auto &item) {
        const auto &entry = item.second;
        const bool forget = std::holds_alternative<RemovedRecord>(entry.value)
                && now - entry.receivedAt > RemovalMemory;
        if (forget) {
            m_removalsKnownSince = std::max(m_removalsKnownSince, entry.revision);
        }
        return forget;
    });
}

} // namespace banyanwall::version
