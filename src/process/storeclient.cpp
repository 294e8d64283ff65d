#include "process/storeclient.h"

#include <algorithm>

namespace banyanwall::process {

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusTooManyRequests = 429;
constexpr unsigned FirstServerError = 500;
// Longer than any line that the store sends for a few events with values of at most 1 MB.
constexpr std::size_t MaxWatchLineBytes = 16UL * 1024 * 1024;

} // namespace

struct StoreClient::Put
{
    std::string key;
    std::int64_t expectedModRevision = 0;
    std::string value;
    std::int64_t lease = 0;
    Handler<PutOutcome> handler;
    std::uint32_t attempt = 1;
    /// An earlier attempt may have taken effect, or may still do so.
    bool mayHaveTakenEffect = false;
};

struct StoreClient::Watch
{
    WatchId id = 0;
    std::string prefix;
    /// Revision of the first event that the handler has not received; 0 until it is known.
    std::int64_t nextRevision = 0;
    Handler<WatchBatch> handler;
    std::uint32_t failures = 0;
    /// Received part of a line that is not complete yet.
    std::string line;
    std::shared_ptr<HttpExchange> exchange;
};

const StoreClient::CallKind StoreClient::Range { "/v3/kv/range", &StoreCallCounts::range };
const StoreClient::CallKind StoreClient::Txn { "/v3/kv/txn", &StoreCallCounts::txn };
const StoreClient::CallKind StoreClient::LeaseGrant { "/v3/lease/grant",
                                                      &StoreCallCounts::leaseGrant };
const StoreClient::CallKind StoreClient::LeaseKeepAlive { "/v3/lease/keepalive",
                                                          &StoreCallCounts::leaseKeepAlive };
const StoreClient::CallKind StoreClient::LeaseRevoke { "/v3/lease/revoke",
                                                       &StoreCallCounts::leaseRevoke };
const StoreClient::CallKind StoreClient::WatchCall { "/v3/watch", &StoreCallCounts::watch };

StoreClient::StoreClient(boost::asio::io_context &context, StoreSettings settings,
                         std::uint64_t seed)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_random(seed)
{ }

StoreClient::~StoreClient()
{
    m_alive.reset();
    std::ranges::for_each(m_exchanges, [](const auto &exchange) { exchange->cancel(); });
    std::ranges::for_each(m_timers, [](const auto &timer) { timer->cancel(); });
    for (const auto &[id, watch] : m_watches) {
        if (watch->exchange) {
            watch->exchange->cancel();
        }
    }
}

void StoreClient::range(const std::string &prefix, const Handler<StoreRange> &handler)
{
    readRange(rangeRequest(prefix, prefixEnd(prefix)), handler);
}

void StoreClient::get(const std::string &key, const Handler<StoreRange> &handler)
{
    readRange(rangeRequest(key, {}), handler);
}

void StoreClient::readRange(const std::string &body, const Handler<StoreRange> &handler)
{
    call(Range, body, [handler](const common::Result<std::string> &response) {
        handler(common::isOk(response) ? parseRange(common::valueOf(response))
                                       : common::errorOf(response));
    });
}

void StoreClient::compareAndPut(const std::string &key, std::int64_t expectedModRevision,
                                const std::string &value, std::int64_t leaseId,
                                Handler<PutOutcome> handler)
{
    attemptPut(std::make_shared<Put>(
            Put { key, expectedModRevision, value, leaseId, std::move(handler), 1, false }));
}

void StoreClient::grantLease(std::chrono::seconds ttl, const Handler<std::int64_t> &handler)
{
    call(LeaseGrant, grantRequest(ttl.count()),
         [handler](const common::Result<std::string> &response) {
             handler(common::isOk(response) ? parseGrant(common::valueOf(response))
                                            : common::errorOf(response));
         });
}

void StoreClient::keepAlive(std::int64_t leaseId, const Handler<std::chrono::seconds> &handler)
{
    const auto onResponse = [handler](const common::Result<std::string> &response) {
        if (!common::isOk(response)) {
            handler(common::errorOf(response));
            return;
        }
        const auto ttl = parseKeepAlive(common::valueOf(response));
        if (!common::isOk(ttl)) {
            handler(common::errorOf(ttl));
        } else if (common::valueOf(ttl) <= 0) {
            handler(common::Error { "lease_expired", "the lease has expired or was revoked" });
        } else {
            handler(std::chrono::seconds(common::valueOf(ttl)));
        }
    };
    call(LeaseKeepAlive, leaseRequest(leaseId), onResponse);
}

void StoreClient::revokeLease(std::int64_t leaseId, const Handler<std::monostate> &handler)
{
    call(LeaseRevoke, leaseRequest(leaseId),
         [handler](const common::Result<std::string> &response) {
             if (common::isOk(response) || common::errorOf(response).code == "not_found") {
                 handler(std::monostate {});
             } else {
                 handler(common::errorOf(response));
             }
         });
}

void StoreClient::callOnce(const CallKind &kind, const std::string &body,
                           std::function<void(AttemptResult)> handler)
{
    ++(m_counts.*kind.counter);
    auto exchange = std::make_shared<HttpExchange>(m_context, endpoint());
    m_exchanges.insert(exchange);
    const std::weak_ptr<bool> alive = m_alive;
    const std::weak_ptr<HttpExchange> weak = exchange;
    exchange->start(kind.target, body, m_settings.attemptTimeout,
                    [this, alive, weak, handler = std::move(handler)](HttpResult result) {
                        if (alive.expired()) {
                            return;
                        }
                        m_exchanges.erase(weak.lock());
                        handler(classify(std::move(result)));
                    });
}

StoreClient::AttemptResult StoreClient::classify(HttpResult result)
{
    if (result.status == StatusOk) {
        m_lastResponse = std::chrono::steady_clock::now();
        return std::move(result.body);
    }
    const auto server = "store " + common::toString(endpoint());
    ++m_endpointIndex;
    if (result.status == 0) {
        return Failure { { "store_unreachable", server + ": " + result.error },
                         result.mayHaveReachedServer,
                         false };
    }
    const auto problem = server + " answered " + std::to_string(result.status);
    if (result.status == StatusTooManyRequests) {
        return Failure { { "store_unreachable", problem + " (rate limit)" }, false, false };
    }
    if (result.status >= FirstServerError) {
        return Failure { { "store_unreachable", problem }, true, false };
    }
    const auto *code = result.status == StatusNotFound ? "not_found" : "store_rejected";
    return Failure { { code, problem + ": " + result.body }, false, true };
}

void StoreClient::call(const CallKind &kind, const std::string &body,
                       const Handler<std::string> &handler, std::uint32_t attempt)
{
    callOnce(kind, body, [this, &kind, body, handler, attempt](AttemptResult result) {
        if (auto *response = std::get_if<std::string>(&result)) {
            handler(std::move(*response));
            return;
        }
        const auto &failure = std::get<Failure>(result);
        if (failure.isPermanent || attempt >= m_settings.maxAttempts) {
            handler(failure.error);
            return;
        }
        runAfter(backoff(attempt),
                 [this, &kind, body, handler, attempt] { call(kind, body, handler, attempt + 1); });
    });
}

void StoreClient::attemptPut(const std::shared_ptr<Put> &put)
{
    const auto body = putRequest(put->key, put->expectedModRevision, put->value, put->lease);
    callOnce(Txn, body, [this, put](const AttemptResult &result) {
        if (const auto *failure = std::get_if<Failure>(&result)) {
            put->mayHaveTakenEffect = put->mayHaveTakenEffect || failure->mayHaveTakenEffect;
            if (failure->isPermanent) {
                // The store responds with "not found" when the lease of a write does not exist.
                const bool isLeaseMissing = failure->error.code == "not_found" && put->lease != 0;
                put->handler(common::Error { isLeaseMissing ? "lease_expired" : failure->error.code,
                                             failure->error.message });
            } else if (failure->mayHaveTakenEffect) {
                readBack(put);
            } else {
                retryPut(put, failure->error);
            }
            return;
        }
        const auto outcome = parsePut(std::get<std::string>(result));
        if (!common::isOk(outcome)) {
            put->mayHaveTakenEffect = true;
            readBack(put);
        } else if (common::valueOf(outcome).applied) {
            put->handler(outcome);
        } else {
            put->handler(resolvePut(*put, common::valueOf(outcome).current));
        }
    });
}

void StoreClient::readBack(const std::shared_ptr<Put> &put)
{
    get(put->key, [this, put](const common::Result<StoreRange> &range) {
        if (!common::isOk(range)) {
            put->handler(common::Error { "outcome_unknown",
                                         "the answer to the write of '" + put->key
                                                 + "' was lost and the key could not be read: "
                                                 + common::errorOf(range).message });
            return;
        }
        const auto &entries = common::valueOf(range).entries;
        const auto current = entries.empty() ? std::nullopt : std::optional(entries.front());
        const auto revision = current ? current->modRevision : 0;
        if (revision == put->expectedModRevision) {
            // Another attempt is safe: if the first one still arrives, the comparison of the
            // revision lets only one of the two take effect.
            retryPut(put, { "store_unreachable", "the write had no effect" });
        } else {
            put->handler(resolvePut(*put, current));
        }
    });
}

void StoreClient::retryPut(const std::shared_ptr<Put> &put, const common::Error &error)
{
    if (put->attempt >= m_settings.maxAttempts) {
        put->handler(put->mayHaveTakenEffect
                             ? common::Error { "outcome_unknown",
                                               "the answer to the write of '" + put->key
                                                       + "' was lost: " + error.message }
                             : error);
        return;
    }
    runAfter(backoff(put->attempt++), [this, put] { attemptPut(put); });
}

PutOutcome StoreClient::resolvePut(const Put &put, const std::optional<StoreEntry> &current)
{
    PutOutcome outcome;
    const bool isOwnValue = put.mayHaveTakenEffect && current && current->value == put.value
            && current->lease == put.lease;
    if (isOwnValue) {
        outcome.applied = true;
        outcome.modRevision = current->modRevision;
        return outcome;
    }
    outcome.current = current;
    outcome.outcomeUnknown = put.mayHaveTakenEffect;
    return outcome;
}

StoreClient::WatchId StoreClient::watch(const std::string &prefix, std::int64_t fromRevision,
                                        Handler<WatchBatch> handler)
{
    auto watch = std::make_shared<Watch>();
    watch->id = m_nextWatch++;
    watch->prefix = prefix;
    watch->nextRevision = fromRevision;
    watch->handler = std::move(handler);
    m_watches[watch->id] = watch;
    openWatch(watch);
    return watch->id;
}

void StoreClient::cancelWatch(WatchId id)
{
    const auto found = m_watches.find(id);
    if (found == m_watches.end()) {
        return;
    }
    if (found->second->exchange) {
        found->second->exchange->cancel();
    }
    m_watches.erase(found);
}

void StoreClient::openWatch(const std::shared_ptr<Watch> &watch)
{
    if (!m_watches.contains(watch->id)) {
        return;
    }
    ++m_counts.watch;
    watch->line.clear();
    watch->exchange = std::make_shared<HttpExchange>(m_context, endpoint());
    const std::weak_ptr<bool> alive = m_alive;
    const std::weak_ptr<Watch> weak = watch;
    watch->exchange->startStream(
            WatchCall.target, watchRequest(watch->prefix, watch->nextRevision),
            m_settings.watchTimeout,
            [this, alive, weak](const std::string &chunk) {
                if (const auto open = weak.lock(); open && !alive.expired()) {
                    onWatchChunk(open, chunk);
                }
            },
            [this, alive, weak](const HttpResult &) {
                if (const auto open = weak.lock(); open && !alive.expired()) {
                    ++m_endpointIndex;
                    reopenWatch(open);
                }
            });
}

void StoreClient::onWatchChunk(const std::shared_ptr<Watch> &watch, const std::string &chunk)
{
    m_lastResponse = std::chrono::steady_clock::now();
    const std::weak_ptr<bool> alive = m_alive;
    const auto exchange = watch->exchange;
    watch->line += chunk;
    // The handler may cancel the watch or destroy the client, and a malformed line reopens the
    // watch.
    const auto isCurrent = [&] {
        return !alive.expired() && watch->exchange == exchange && m_watches.contains(watch->id);
    };
    for (auto end = watch->line.find('\n'); end != std::string::npos;
         end = watch->line.find('\n')) {
        const auto line = watch->line.substr(0, end);
        watch->line.erase(0, end + 1);
        if (!line.empty()) {
            onWatchLine(watch, line);
        }
        if (!isCurrent()) {
            return;
        }
    }
    if (watch->line.size() > MaxWatchLineBytes) {
        reopenWatch(watch);
    }
}

void StoreClient::onWatchLine(const std::shared_ptr<Watch> &watch, std::string_view line)
{
    auto parsed = parseWatchLine(line);
    if (!common::isOk(parsed)) {
        reopenWatch(watch);
        return;
    }
    auto batch = common::valueOf(std::move(parsed));
    watch->failures = 0;
    if (batch.compacted) {
        const auto handler = watch->handler;
        cancelWatch(watch->id);
        handler(common::Error { "compacted", "the watched revision is compacted" });
        return;
    }
    if (watch->nextRevision == 0) {
        watch->nextRevision = batch.revision + 1;
    }
    // Drops events that the handler received over an earlier connection.
    std::erase_if(batch.events, [&](const StoreEvent &event) {
        return event.entry.modRevision < watch->nextRevision;
    });
    for (const auto &event : batch.events) {
        watch->nextRevision = std::max(watch->nextRevision, event.entry.modRevision + 1);
    }
    const auto handler = watch->handler;
    handler(std::move(batch));
}

void StoreClient::reopenWatch(const std::shared_ptr<Watch> &watch)
{
    if (watch->exchange) {
        watch->exchange->cancel();
        watch->exchange.reset();
    }
    const std::weak_ptr<Watch> weak = watch;
    runAfter(backoff(++watch->failures), [this, weak] {
        if (const auto open = weak.lock()) {
            openWatch(open);
        }
    });
}

common::Endpoint StoreClient::endpoint() const
{
    return m_settings.endpoints.at(m_endpointIndex % m_settings.endpoints.size());
}

std::chrono::milliseconds StoreClient::backoff(std::uint32_t attempt)
{
    constexpr std::uint32_t maxExponent = 16;
    const auto exponent = std::min(attempt - 1, maxExponent);
    const auto limit = std::min(m_settings.minBackoff * (1U << exponent), m_settings.maxBackoff);
    // Jitter over the upper half of the range keeps instances from retrying simultaneously after an
    // outage.
    std::uniform_int_distribution<std::int64_t> jitter(limit.count() / 2, limit.count());
    return std::chrono::milliseconds(jitter(m_random));
}

void StoreClient::runAfter(std::chrono::milliseconds delay, std::function<void()> action)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, delay);
    m_timers.insert(timer);
    const std::weak_ptr<bool> alive = m_alive;
    timer->async_wait([this, alive, timer,
                       action = std::move(action)](const boost::system::error_code &error) {
        if (error || alive.expired()) {
            return;
        }
        m_timers.erase(timer);
        action();
    });
}

} // namespace banyanwall::process
