#pragma once

#include "common/endpoint.h"
#include "common/result.h"
#include "process/httpexchange.h"
#include "process/storemessages.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace banyanwall::process {

struct StoreSettings
{
    /// At least one.
    std::vector<common::Endpoint> endpoints;
    /// Longest time for one attempt of one call.
    std::chrono::milliseconds attemptTimeout { 1'000 };
    /// Attempts of one call before its handler gets the error.
    std::uint32_t maximumAttempts = 4;
    std::chrono::milliseconds shortestBackoff { 50 };
    std::chrono::milliseconds longestBackoff { 2'000 };
    /// A watch without any line for this long is opened again, because its connection may be dead.
    std::chrono::milliseconds watchSilence { 3'000 };
};

/// Calls made, retries included. The store bills each of them.
struct StoreCallCounts
{
    std::uint64_t range = 0;
    std::uint64_t txn = 0;
    std::uint64_t leaseGrant = 0;
    std::uint64_t leaseKeepAlive = 0;
    std::uint64_t leaseRevoke = 0;
    std::uint64_t watch = 0;
};

/// Client of the key-value store in the HTTP/JSON form of etcd v3.
///
/// Each call uses its own connection and is retried on the next endpoint after a backoff with
/// jitter. All functions are called on the thread of the io_context; handlers run there too, and
/// none runs after the client is destroyed. Error codes: "store_unreachable" (no attempt had an
/// effect), "outcome_unknown" (a write whose effect could not be read back), "store_rejected",
/// "store_protocol", "lease_expired", "compacted".
class StoreClient
{
public:
    template<typename T>
    using Handler = std::function<void(common::Result<T>)>;
    using WatchId = std::uint64_t;

    /// seed drives the jitter of the backoff.
    StoreClient(boost::asio::io_context &context, StoreSettings settings, std::uint64_t seed);
    ~StoreClient();
    StoreClient(const StoreClient &) = delete;
    StoreClient &operator=(const StoreClient &) = delete;

    /// Reads all keys with a prefix.
    void range(const std::string &prefix, const Handler<StoreRange> &handler);
    /// Reads one key; the range has no entry when the key does not exist.
    void get(const std::string &key, const Handler<StoreRange> &handler);
    /// Writes value when the key is at expectedModRevision (0: does not exist). After a lost answer
    /// the key is read back and compared before another attempt, so that the value is written at
    /// most once. leaseId 0 means no lease.
    void compareAndPut(const std::string &key, std::int64_t expectedModRevision,
                       const std::string &value, std::int64_t leaseId, Handler<PutOutcome> handler);
    /// A lost answer may leave an unused lease behind, which expires by itself.
    void grantLease(std::chrono::seconds ttl, const Handler<std::int64_t> &handler);
    /// Renews a lease; gives its time to live.
    void keepAlive(std::int64_t leaseId, const Handler<std::chrono::seconds> &handler);
    /// Ends a lease and deletes its keys; a lease that does not exist counts as revoked.
    void revokeLease(std::int64_t leaseId, const Handler<std::monostate> &handler);
    /// Follows all keys with a prefix from a revision on (the one of a range plus 1). The handler
    /// gets each event once and in order, also across reconnections, and batches without events as
    /// signs of life. The error "compacted" ends the watch: read the range and watch again.
    WatchId watch(const std::string &prefix, std::int64_t fromRevision,
                  Handler<WatchBatch> handler);
    void cancelWatch(WatchId id);

    [[nodiscard]] const StoreCallCounts &counts() const { return m_counts; }

    /// When the store last answered; empty before the first answer.
    [[nodiscard]] std::optional<std::chrono::steady_clock::time_point> lastContact() const
    {
        return m_lastContact;
    }

private:
    struct Put;
    struct Watch;

    struct CallKind
    {
        const char *target;
        std::uint64_t StoreCallCounts::*counter;
    };

    /// Error of one attempt.
    struct Failure
    {
        common::Error error;
        /// The store may have acted on the call.
        bool sent = false;
        /// Another attempt cannot help.
        bool permanent = false;
    };

    using Attempt = std::variant<std::string, Failure>;

    static const CallKind Range;
    static const CallKind Txn;
    static const CallKind LeaseGrant;
    static const CallKind LeaseKeepAlive;
    static const CallKind LeaseRevoke;
    static const CallKind WatchCall;

    void callOnce(const CallKind &kind, const std::string &body,
                  std::function<void(Attempt)> handler);
    void call(const CallKind &kind, const std::string &body, const Handler<std::string> &handler,
              std::uint32_t attempt = 1);
    Attempt classify(HttpResult result);
    void readRange(const std::string &body, const Handler<StoreRange> &handler);

    void attemptPut(const std::shared_ptr<Put> &put);
    void readBack(const std::shared_ptr<Put> &put);
    void retryPut(const std::shared_ptr<Put> &put, const common::Error &error);
    static PutOutcome judge(const Put &put, const std::optional<StoreEntry> &current);

    void openWatch(const std::shared_ptr<Watch> &watch);
    void onWatchChunk(const std::shared_ptr<Watch> &watch, const std::string &chunk);
    void onWatchLine(const std::shared_ptr<Watch> &watch, std::string_view line);
    void reopenWatch(const std::shared_ptr<Watch> &watch);

    [[nodiscard]] common::Endpoint endpoint() const;
    [[nodiscard]] std::chrono::milliseconds backoff(std::uint32_t attempt);
    void after(std::chrono::milliseconds delay, std::function<void()> action);

    boost::asio::io_context &m_context;
    StoreSettings m_settings;
    std::mt19937_64 m_random;
    std::size_t m_endpoint = 0;
    StoreCallCounts m_counts;
    std::optional<std::chrono::steady_clock::time_point> m_lastContact;
    std::set<std::shared_ptr<HttpExchange>> m_exchanges;
    std::set<std::shared_ptr<boost::asio::steady_timer>> m_timers;
    std::map<WatchId, std::shared_ptr<Watch>> m_watches;
    WatchId m_nextWatch = 1;
    /// Expires with the client; completions that are still queued then do nothing.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace banyanwall::process
