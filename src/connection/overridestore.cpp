#include "connection/overridestore.h"

#include "common/hash.h"

#include <algorithm>
#include <iterator>
#include <mutex>

namespace banyanwall::connection {

using common::TimePoint;
using common::UpstreamId;

namespace {

std::uint16_t secondsOf(TimePoint now)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch());
    return static_cast<std::uint16_t>(seconds.count());
}

std::uint16_t age(std::uint16_t then, TimePoint now)
{
    return static_cast<std::uint16_t>(secondsOf(now) - then);
}

std::uint64_t tableKey(BucketKey key)
{
    return (std::uint64_t { key.service.value() } << 32U) | key.bucket.value();
}

common::ServiceId serviceOf(std::uint64_t tableKey)
{
    return common::ServiceId(static_cast<std::uint32_t>(tableKey >> 32U));
}

} // namespace

std::optional<OverrideStore::Hit> OverrideStore::use(BucketKey key, common::FlowKey flow,
                                                     std::chrono::seconds refreshAfter,
                                                     TimePoint now)
{
    auto &shard = shardOf(key);
    const std::scoped_lock lock(shard.mutex);
    const auto table = shard.tables.find(tableKey(key));
    if (table == shard.tables.end()) {
        return std::nullopt;
    }
    const auto found = table->second.find(flow.value());
    if (found == table->second.end()) {
        return std::nullopt;
    }
    auto &entry = found->second;
    entry.lastUsed = secondsOf(now);
    const bool isDue = age(entry.lastRefreshed, now) >= refreshAfter.count();
    if (isDue) {
        entry.lastRefreshed = entry.lastUsed;
    }
    return Hit { entry.upstream, isDue };
}

std::optional<UpstreamId> OverrideStore::insert(BucketKey key, Record record, TimePoint now)
{
    auto &shard = shardOf(key);
    const std::scoped_lock lock(shard.mutex);
    auto &table = shard.tables[tableKey(key)];
    const auto found = table.find(record.flow.value());
    if (found != table.end()) {
        found->second.lastUsed = secondsOf(now);
        return found->second.upstream;
    }
    if (size() >= MaxRecords) {
        return std::nullopt;
    }
    table.emplace(record.flow.value(), Entry { record.upstream, secondsOf(now), secondsOf(now) });
    ++m_size;
    return record.upstream;
}

bool OverrideStore::assign(BucketKey key, Record record, TimePoint now, bool isReplicated)
{
    auto &shard = shardOf(key);
    const std::scoped_lock lock(shard.mutex);
    auto &table = shard.tables[tableKey(key)];
    // An age of 32,768 s, half of the range of stored times, exceeds every refresh interval.
    const auto lastRefreshed =
            static_cast<std::uint16_t>(secondsOf(now) - (isReplicated ? 0 : 32'768));
    const Entry entry { record.upstream, secondsOf(now), lastRefreshed };
    const auto found = table.find(record.flow.value());
    if (found != table.end()) {
        found->second = entry;
        return true;
    }
    if (size() >= MaxRecords) {
        return false;
    }
    table.emplace(record.flow.value(), entry);
    ++m_size;
    return true;
}

std::optional<UpstreamId> OverrideStore::erase(BucketKey key, common::FlowKey flow)
{
    auto &shard = shardOf(key);
    const std::scoped_lock lock(shard.mutex);
    const auto table = shard.tables.find(tableKey(key));
    if (table == shard.tables.end()) {
        return std::nullopt;
    }
    const auto found = table->second.find(flow.value());
    if (found == table->second.end()) {
        return std::nullopt;
    }
    const auto upstream = found->second.upstream;
    table->second.erase(found);
    --m_size;
    return upstream;
}

std::vector<OverrideStore::Record> OverrideStore::list(BucketKey key,
                                                       std::optional<common::FlowKey> after,
                                                       std::size_t maxRecords) const
{
    const auto &shard = shardOf(key);
    const std::shared_lock lock(shard.mutex);
    std::vector<Record> records;
    const auto table = shard.tables.find(tableKey(key));
    if (table == shard.tables.end()) {
        return records;
    }
    auto next = after ? table->second.upper_bound(after->value()) : table->second.begin();
    for (; next != table->second.end() && records.size() < maxRecords; ++next) {
        records.push_back({ common::FlowKey(next->first), next->second.upstream });
    }
    return records;
}

OverrideStore::Digest OverrideStore::digest(BucketKey key) const
{
    const auto &shard = shardOf(key);
    const std::shared_lock lock(shard.mutex);
    Digest digest;
    const auto table = shard.tables.find(tableKey(key));
    if (table != shard.tables.end()) {
        for (const auto &[flow, entry] : table->second) {
            ++digest.count;
            digest.hash ^= common::hashPair(flow, entry.upstream.value());
        }
    }
    return digest;
}

bool OverrideStore::hasOtherUpstream(BucketKey key, UpstreamId upstream) const
{
    const auto &shard = shardOf(key);
    const std::shared_lock lock(shard.mutex);
    const auto table = shard.tables.find(tableKey(key));
    return table != shard.tables.end()
            && std::ranges::any_of(table->second, [&](const auto &stored) {
                   return stored.second.upstream != upstream;
               });
}

void OverrideStore::eraseUpstream(BucketKey key, UpstreamId upstream)
{
    auto &shard = shardOf(key);
    const std::scoped_lock lock(shard.mutex);
    const auto table = shard.tables.find(tableKey(key));
    if (table != shard.tables.end() && !eraseIf(table->second, [&](const auto &stored) {
            return stored.second.upstream == upstream;
        })) {
        shard.tables.erase(table);
    }
}

void OverrideStore::expire(common::ServiceId service, std::chrono::seconds idleLimit, TimePoint now)
{
    for (auto &shard : m_shards) {
        const std::scoped_lock lock(shard.mutex);
        for (auto table = shard.tables.begin(); table != shard.tables.end();) {
            const bool isEmptied =
                    serviceOf(table->first) == service
                    && !eraseIf(table->second, [&](const auto &stored) {
                           return age(stored.second.lastUsed, now) > idleLimit.count() + 1;
                       });
            table = isEmptied ? shard.tables.erase(table) : std::next(table);
        }
    }
}

std::size_t OverrideStore::allocatedBytes() const
{
    std::size_t bytes = 0;
    for (const auto &shard : m_shards) {
        const std::shared_lock lock(shard.mutex);
        for (const auto &table : shard.tables) {
            // A node of the hash map holds the key, the table and a link; its hash bucket adds one
            // more pointer.
            bytes += sizeof(table) + 2 * sizeof(void *)
                    + table.second.capacity() * sizeof(Table::value_type);
        }
    }
    return bytes;
}

const OverrideStore::Shard &OverrideStore::shardOf(BucketKey key) const
{
    return m_shards[common::hashPair(key.service.value(), key.bucket.value()) % ShardCount];
}

OverrideStore::Shard &OverrideStore::shardOf(BucketKey key)
{
    return m_shards[common::hashPair(key.service.value(), key.bucket.value()) % ShardCount];
}

template<typename Predicate>
bool OverrideStore::eraseIf(Table &table, const Predicate &predicate)
{
    const auto before = table.size();
    auto records = table.extract_sequence();
    records.erase(std::remove_if(records.begin(), records.end(), predicate), records.end());
    if (records.capacity() > 2 * records.size()) {
        records.shrink_to_fit();
    }
    m_size -= before - records.size();
    const bool hasRecords = !records.empty();
    table.adopt_sequence(boost::container::ordered_unique_range, std::move(records));
    return hasRecords;
}

} // namespace banyanwall::connection
