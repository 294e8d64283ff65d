#pragma once

#include "common/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyanwall::tools {

struct PlatformEntry
{
    std::string value;
    std::int64_t createRevision = 0;
    std::int64_t modRevision = 0;
    /// Number of writes of the key since its creation.
    std::int64_t version = 0;
    /// 0 when the entry has no lease.
    std::int64_t lease = 0;
};

struct PlatformEvent
{
    std::int64_t revision = 0;
    common::TimePoint time;
    std::string key;
    /// Empty for a deletion.
    std::optional<PlatformEntry> entry;
};

/// Keys [begin, end). An empty end stands for the single key begin, "\0" for all keys from begin.
struct KeyRange
{
    std::string begin;
    std::string end;

    [[nodiscard]] bool contains(std::string_view key) const;
};

/// Key-value store with revisions, leases and a history for watches, with the semantics of etcd v3.
/// Performs no I/O and reads no clock. Not thread-safe.
class PlatformStore
{
public:
    /// Maximum number of events kept for watches; the revisions of older events are compacted.
    static constexpr std::size_t MaxHistoryEvents = 100'000;

    using Entries = std::map<std::string, PlatformEntry>;

    [[nodiscard]] std::int64_t revision() const { return m_revision; }

    [[nodiscard]] Entries range(const KeyRange &range) const;
    [[nodiscard]] const PlatformEntry *find(const std::string &key) const;

    /// Starts a new revision; the writes that follow belong to it.
    void beginRevision() { ++m_revision; }

    /// Returns false when the lease does not exist. lease 0 means none.
    bool put(const std::string &key, const std::string &value, std::int64_t lease,
             common::TimePoint now);
    /// Returns the number of deleted keys.
    std::size_t remove(const KeyRange &range, common::TimePoint now);

    /// Returns the id of a new lease.
    std::int64_t grant(std::int64_t ttlSeconds, common::TimePoint now);

    [[nodiscard]] bool hasLease(std::int64_t lease) const { return m_leases.contains(lease); }

    /// Renews a lease. Returns its time to live in seconds, 0 when it does not exist.
    std::int64_t keepAlive(std::int64_t lease, common::TimePoint now);
    /// Ends a lease and deletes its keys. Returns false when the lease does not exist.
    bool revoke(std::int64_t lease, common::TimePoint now);
    /// Restarts the time to live of each lease, as etcd does after the election of a new leader.
    void renewLeases(common::TimePoint now);
    /// Revokes the leases that were not renewed in time.
    void expire(common::TimePoint now);

    /// Events of a range from a revision on, oldest first.
    [[nodiscard]] std::vector<PlatformEvent> eventsSince(std::int64_t revision,
                                                         const KeyRange &range) const;

    /// Oldest revision from which eventsSince() returns all events.
    [[nodiscard]] std::int64_t oldestRevision() const { return m_oldestRevision; }

    /// Entries of a range at an earlier time, rebuilt from the events in the history. Entries whose
    /// last write has been removed from the history are missing.
    [[nodiscard]] Entries rangeAt(const KeyRange &range, common::TimePoint time) const;

private:
    struct Lease
    {
        std::int64_t ttlSeconds = 0;
        common::TimePoint expiry;
    };

    void removeKey(const std::string &key, common::TimePoint now);
    void record(PlatformEvent event);

    Entries m_entries;
    std::map<std::int64_t, Lease> m_leases;
    std::vector<PlatformEvent> m_history;
    std::int64_t m_revision = 1;
    std::int64_t m_oldestRevision = 1;
    std::int64_t m_nextLease = 1'000;
};

} // namespace banyanwall::tools
