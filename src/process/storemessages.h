#pragma once

#include "common/result.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyanwall::process {

struct StoreEntry
{
    std::string key;
    std::string value;
    std::int64_t createRevision = 0;
    /// Revision of the last write; 0 means that the key does not exist.
    std::int64_t modRevision = 0;
    std::int64_t lease = 0;
};

struct StoreRange
{
    /// Store revision at which the entries were read.
    std::int64_t revision = 0;
    std::vector<StoreEntry> entries;
};

struct PutOutcome
{
    /// False when the key was not at the expected revision; then the value was not written.
    bool applied = false;
    /// Revision of the write when applied.
    std::int64_t modRevision = 0;
    /// Current entry of the key when not applied; empty when the key does not exist.
    std::optional<StoreEntry> current;
    /// True when a response was lost and the key has another value now: the value may have been
    /// written and then overwritten.
    bool outcomeUnknown = false;
};

struct StoreEvent
{
    bool deleted = false;
    /// For a deletion only key and modRevision are set.
    StoreEntry entry;
};

struct WatchBatch
{
    std::int64_t revision = 0;
    /// Empty when the store confirms that the watch has been opened or is still open.
    std::vector<StoreEvent> events;
    /// The store closed the watch because the requested revision is compacted.
    bool compacted = false;
};

/// Exclusive end of the key range that contains all keys with the prefix.
[[nodiscard]] std::string prefixEnd(std::string_view prefix);

// Requests and responses of etcd v3 in HTTP/JSON: keys and values are base64, 64-bit integers are
// strings. The parse functions return the code "store_protocol" for a malformed response.
[[nodiscard]] std::string rangeRequest(std::string_view key, std::string_view rangeEnd);
[[nodiscard]] std::string putRequest(std::string_view key, std::int64_t expectedModRevision,
                                     std::string_view value, std::int64_t lease);
[[nodiscard]] std::string grantRequest(std::int64_t ttlSeconds);
[[nodiscard]] std::string leaseRequest(std::int64_t lease);
[[nodiscard]] std::string watchRequest(std::string_view prefix, std::int64_t fromRevision);

[[nodiscard]] common::Result<StoreRange> parseRange(std::string_view body);
[[nodiscard]] common::Result<PutOutcome> parsePut(std::string_view body);
/// Id of the granted lease.
[[nodiscard]] common::Result<std::int64_t> parseGrant(std::string_view body);
/// Remaining time to live in seconds; 0 when the lease has expired.
[[nodiscard]] common::Result<std::int64_t> parseKeepAlive(std::string_view body);
[[nodiscard]] common::Result<WatchBatch> parseWatchLine(std::string_view line);

} // namespace banyanwall::process
