#pragma once

#include "common/ids.h"
#include "common/time.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <shared_mutex>
#include <unordered_map>
#include <vector>

#include <boost/container/flat_map.hpp>

namespace banyanwall::connection {

/// Identifies a bucket of a service.
struct BucketKey
{
    common::ServiceId service;
    common::BucketIndex bucket;

    auto operator<=>(const BucketKey &) const = default;
};

/// Upstreams of the flows that do not follow the default of their bucket. A sorted vector for each
/// bucket keeps a record at 16 bytes plus spare capacity. Thread-safe; buckets are distributed over
/// shards.
class OverrideStore
{
public:
    /// Maximum number of records; further ones are refused, so that memory stays near 20 MB.
    static constexpr std::size_t MaxRecords = 1'048'576;

    struct Record
    {
        common::FlowKey flow;
        common::UpstreamId upstream;
    };

    struct Hit
    {
        common::UpstreamId upstream;
        /// The record was last sent to the other owner at least refreshAfter ago.
        bool isRefreshDue = false;
    };

    /// Finds the record of a flow and marks it as used. A record that is returned with isRefreshDue
    /// counts as refreshed, so the caller has to send it to the other owner.
    [[nodiscard]] std::optional<Hit> use(BucketKey key, common::FlowKey flow,
                                         std::chrono::seconds refreshAfter, common::TimePoint now);
    /// Adds a record unless the flow has one; returns the upstream that is recorded afterwards, or
    /// empty when the store is full.
    std::optional<common::UpstreamId> insert(BucketKey key, Record record, common::TimePoint now);
    /// Adds or replaces the record of a flow; false when the store is full. A record that the other
    /// owner may lack (isReplicated is false) is due for a refresh at its next use.
    bool assign(BucketKey key, Record record, common::TimePoint now, bool isReplicated = true);
    /// Removes the record of a flow and returns its upstream.
    std::optional<common::UpstreamId> erase(BucketKey key, common::FlowKey flow);

    /// Records of a bucket whose flow keys are greater than after, in order of the keys, at most
    /// maxRecords.
    [[nodiscard]] std::vector<Record> list(BucketKey key, std::optional<common::FlowKey> after,
                                           std::size_t maxRecords) const;

    struct Digest
    {
        std::uint32_t count = 0;
        /// Exclusive or of the hashes of all records.
        std::uint64_t hash = 0;

        auto operator<=>(const Digest &) const = default;
    };

    [[nodiscard]] Digest digest(BucketKey key) const;
    /// True when a record of the bucket names an upstream other than this one.
    [[nodiscard]] bool hasOtherUpstream(BucketKey key, common::UpstreamId upstream) const;
    /// Removes the records of a bucket that name this upstream.
    void eraseUpstream(BucketKey key, common::UpstreamId upstream);
    /// Removes records of the service that have not been used for longer than idleLimit, to an
    /// accuracy of one second.
    void expire(common::ServiceId service, std::chrono::seconds idleLimit, common::TimePoint now);

    [[nodiscard]] std::size_t size() const { return m_size.load(std::memory_order_relaxed); }

    /// Bytes allocated for records and tables, without allocator overhead.
    [[nodiscard]] std::size_t allocatedBytes() const;

private:
    /// Times are in seconds modulo 65,536 (18 hours). Records expire or are refreshed well before
    /// the times wrap around.
    struct Entry
    {
        common::UpstreamId upstream;
        std::uint16_t lastUsed = 0;
        std::uint16_t lastRefreshed = 0;
    };

    using Stored = std::pair<std::uint64_t, Entry>;
    using Options = boost::container::vector_options<
            boost::container::growth_factor<boost::container::growth_factor_50>>::type;
    using Table = boost::container::flat_map<std::uint64_t, Entry, std::less<>,
                                             boost::container::vector<Stored, void, Options>>;

    struct Shard
    {
        mutable std::shared_mutex mutex;
        std::unordered_map<std::uint64_t, Table> tables;
    };

    static constexpr std::size_t ShardCount = 64;

    [[nodiscard]] const Shard &shardOf(BucketKey key) const;
    [[nodiscard]] Shard &shardOf(BucketKey key);
    /// Erases matching records and releases spare capacity; returns false when no record is left.
    template<typename Predicate>
    bool eraseIf(Table &table, const Predicate &predicate);

    std::array<Shard, ShardCount> m_shards;
    std::atomic<std::size_t> m_size = 0;
};

} // namespace banyanwall::connection
