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
    /// Time limit of one attempt of a call.
    std::chrono::milliseconds attemptTimeout { 1'000 };
    /// Attempts of one call before its handler gets the error.
    std::uint32_t maxAttempts = 4;
    std::chrono::milliseconds minBackoff { 50 };
    std::chrono::milliseconds maxBackoff { 2'000 };
    /// A watch that receives no data for this long is opened again, because its connection may be
    /// dead.
    std::chrono::milliseconds watchTimeout { 3'000 };
};

/// Number of calls, retries included. The store bills each of them.
struct StoreCallCounts
{
    std::uint64_t range = 0;
    std::uint64_t txn = 0;
    std::uint64_t leaseGrant = 0;
    std::uint64_t leaseKeepAlive = 0;
    std::uint64_t leaseRevoke = 0;
    std::uint64_t watch = 0;
};

/// Client of the key-value store, which offers the HTTP/JSON interface of etcd v3.
///
/// Each call uses a connection of its own and is retried on the next endpoint after a backoff with
/// jitter. All functions must be called on the thread of the io_context. Handlers run on that
/// thread, and none runs after the client is destroyed. Error codes: "store_unreachable" (no
/// attempt took effect), "outcome_unknown" (a write may have taken effect and could not be read
/// back), "store_rejected", "store_protocol", "lease_expired", "compacted".
class StoreClient
{
public:
    template<typename T>
    using Handler = std::function<void(common::Result<T>)>;
    using WatchId = std::uint64_t;

    /// seed initialises the random jitter of the backoff.
    StoreClient(boost::asio::io_context &context, StoreSettings settings, std::uint64_t seed);
    ~StoreClient();
    StoreClient(const StoreClient &) = delete;
    StoreClient &operator=(const StoreClient &) = delete;

    /// Reads all keys with the prefix.
    void range(const std::string &prefix, const Handler<StoreRange> &handler);
    /// Reads one key; the range is empty when the key does not exist.
    void get(const std::string &key, const Handler<StoreRange> &handler);
    /// Writes value if the mod revision of the key is expectedModRevision (0: the key does not
    /// exist). When the response is lost, the client reads the key back and compares it before
    /// another attempt, so that the value is written at most once. leaseId 0 means no lease.
    void compareAndPut(const std::string &key, std::int64_t expectedModRevision,
                       const std::string &value, std::int64_t leaseId, Handler<PutOutcome> handler);
    /// When the response is lost, an unused lease may remain in the store until it expires.
    void grantLease(std::chrono::seconds ttl, const Handler<std::int64_t> &handler);
    /// Renews a lease; the result is its time to live.
    void keepAlive(std::int64_t leaseId, const Handler<std::chrono::seconds> &handler);
    /// Revokes a lease, which deletes its keys; succeeds when the lease does not exist.
    void revokeLease(std::int64_t leaseId, const Handler<std::monostate> &handler);
    /// Watches all keys with the prefix from a revision on (that of a range plus 1). The handler
    /// gets each event once and in order, also across reconnections, and batches without events
    /// that show that the watch works. The error "compacted" ends the watch: the caller reads the
    /// range and watches again.
    WatchId watch(const std::string &prefix, std::int64_t fromRevision,
                  Handler<WatchBatch> handler);
    void cancelWatch(WatchId id);

    [[nodiscard]] const StoreCallCounts &counts() const { return m_counts; }

    /// When the store last sent a successful response or watch data; empty before the first.
    [[nodiscard]] std::optional<std::chrono::steady_clock::time_point> lastResponse() const
    {
        return m_lastResponse;
    }

private:
    struct Put;
    struct Watch;

    struct CallKind
    {
        const char *target;
        std::uint64_t StoreCallCounts::*counter;
    };

    /// Error of one attempt of a call.
    struct Failure
    {
        common::Error error;
        /// The store may have executed the call although its response is missing or an error.
        bool mayHaveTakenEffect = false;
        /// Another attempt would fail with the same error.
        bool isPermanent = false;
    };

    using AttemptResult = std::variant<std::string, Failure>;

    static const CallKind Range;
    static const CallKind Txn;
    static const CallKind LeaseGrant;
    static const CallKind LeaseKeepAlive;
    static const CallKind LeaseRevoke;
    static const CallKind WatchCall;

    /// Makes one attempt on the current endpoint.
    void callOnce(const CallKind &kind, const std::string &body,
                  std::function<void(AttemptResult)> handler);
    /// Makes up to maxAttempts attempts with a backoff between them.
    void call(const CallKind &kind, const std::string &body, const Handler<std::string> &handler,
              std::uint32_t attempt = 1);
    /// Result of an attempt. After a failure the next attempt uses the next endpoint.
    AttemptResult classify(HttpResult result);
    void readRange(const std::string &body, const Handler<StoreRange> &handler);

    void attemptPut(const std::shared_ptr<Put> &put);
    /// Reads the key of a put without a usable response, then retries or finishes the put.
    void readBack(const std::shared_ptr<Put> &put);
    void retryPut(const std::shared_ptr<Put> &put, const common::Error &error);
    /// Outcome of a put whose key now has the given entry.
    static PutOutcome resolvePut(const Put &put, const std::optional<StoreEntry> &current);

    void openWatch(const std::shared_ptr<Watch> &watch);
    void onWatchChunk(const std::shared_ptr<Watch> &watch, const std::string &chunk);
    void onWatchLine(const std::shared_ptr<Watch> &watch, std::string_view line);
    void reopenWatch(const std::shared_ptr<Watch> &watch);

    [[nodiscard]] common::Endpoint endpoint() const;
    [[nodiscard]] std::chrono::milliseconds backoff(std::uint32_t attempt);
    void runAfter(std::chrono::milliseconds delay, std::function<void()> action);

    boost::asio::io_context &m_context;
    StoreSettings m_settings;
    std::mt19937_64 m_random;
    std::size_t m_endpointIndex = 0;
    StoreCallCounts m_counts;
    std::optional<std::chrono::steady_clock::time_point> m_lastResponse;
    std::set<std::shared_ptr<HttpExchange>> m_exchanges;
    std::set<std::shared_ptr<boost::asio::steady_timer>> m_timers;
    std::map<WatchId, std::shared_ptr<Watch>> m_watches;
    WatchId m_nextWatch = 1;
    /// Expires with the client, so that completions that are still queued do nothing.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace banyanwall::process
