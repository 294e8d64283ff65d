#include "tools/platformstore.h"

#include <algorithm>
#include <iterator>

namespace banyanwall::tools {

bool KeyRange::contains(std::string_view key) const
{
    if (end.empty()) {
        return key == begin;
    }
    const bool isUnbounded = end.size() == 1 && end.front() == '\0';
    return key >= begin && (isUnbounded || key < end);
}

PlatformStore::Entries PlatformStore::range(const KeyRange &range) const
{
    Entries entries;
    std::ranges::copy_if(m_entries, std::inserter(entries, entries.end()),
                         [&](const auto &entry) { return range.contains(entry.first); });
    return entries;
}

const PlatformEntry *PlatformStore::find(const std::string &key) const
{
    const auto found = m_entries.find(key);
    return found == m_entries.end() ? nullptr : &found->second;
}

bool PlatformStore::put(const std::string &key, const std::string &value, std::int64_t lease,
                        common::TimePoint now)
{
    if (lease != 0 && !hasLease(lease)) {
        return false;
    }
    auto &entry = m_entries[key];
    entry.value = value;
    entry.createRevision = entry.version == 0 ? m_revision : entry.createRevision;
    entry.modRevision = m_revision;
    entry.lease = lease;
    ++entry.version;
    record({ m_revision, now, key, entry });
    return true;
}

std::size_t PlatformStore::remove(const KeyRange &range, common::TimePoint now)
{
    const auto removedEntries = this->range(range);
    std::ranges::for_each(removedEntries, [&](const auto &entry) { removeKey(entry.first, now); });
    return removedEntries.size();
}

std::int64_t PlatformStore::grant(std::int64_t ttlSeconds, common::TimePoint now)
{
    const auto id = m_nextLease++;
    m_leases[id] = { ttlSeconds, now + std::chrono::seconds(ttlSeconds) };
    return id;
}

std::int64_t PlatformStore::keepAlive(std::int64_t lease, common::TimePoint now)
{
    const auto found = m_leases.find(lease);
    if (found == m_leases.end()) {
        return 0;
    }
    found->second.expiry = now + std::chrono::seconds(found->second.ttlSeconds);
    return found->second.ttlSeconds;
}

bool PlatformStore::revoke(std::int64_t lease, common::TimePoint now)
{
    if (m_leases.erase(lease) == 0) {
        return false;
    }
    Entries removedEntries;
    std::ranges::copy_if(m_entries, std::inserter(removedEntries, removedEntries.end()),
                         [&](const auto &entry) { return entry.second.lease == lease; });
    if (!removedEntries.empty()) {
        beginRevision();
    }
    std::ranges::for_each(removedEntries, [&](const auto &entry) { removeKey(entry.first, now); });
    return true;
}

void PlatformStore::renewLeases(common::TimePoint now)
{
    for (auto &[id, lease] : m_leases) {
        lease.expiry = now + std::chrono::seconds(lease.ttlSeconds);
    }
}

void PlatformStore::expire(common::TimePoint now)
{
    std::vector<std::int64_t> expired;
    for (const auto &[id, lease] : m_leases) {
        if (lease.expiry <= now) {
            expired.push_back(id);
        }
    }
    std::ranges::for_each(expired, [&](std::int64_t lease) { revoke(lease, now); });
}

std::vector<PlatformEvent> PlatformStore::eventsSince(std::int64_t revision,
                                                      const KeyRange &range) const
{
    const auto first = std::ranges::lower_bound(m_history, revision, {}, &PlatformEvent::revision);
    std::vector<PlatformEvent> events;
    std::copy_if(first, m_history.end(), std::back_inserter(events),
                 [&](const PlatformEvent &event) { return range.contains(event.key); });
    return events;
}

PlatformStore::Entries PlatformStore::rangeAt(const KeyRange &range, common::TimePoint time) const
{
    Entries entries;
    for (const auto &event : m_history) {
        if (event.time > time || !range.contains(event.key)) {
            continue;
        }
        if (event.entry) {
            entries[event.key] = *event.entry;
        } else {
            entries.erase(event.key);
        }
    }
    return entries;
}

void PlatformStore::removeKey(const std::string &key, common::TimePoint now)
{
    m_entries.erase(key);
    record({ m_revision, now, key, std::nullopt });
}

void PlatformStore::record(PlatformEvent event)
{
    m_history.push_back(std::move(event));
    if (m_history.size() <= MaxHistoryEvents) {
        return;
    }
    // Removes half of the history at once, so that the mean cost of a write stays constant. The
    // events of one revision are kept or removed together.
    const auto oldestKept = m_history[MaxHistoryEvents / 2].revision;
    const auto first =
            std::ranges::lower_bound(m_history, oldestKept, {}, &PlatformEvent::revision);
    m_history.erase(m_history.begin(), first);
    m_oldestRevision = oldestKept;
}

} // namespace banyanwall::tools
