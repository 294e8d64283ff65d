#include "process/storesession.h"

#include "process/logging.h"

namespace banyanwall::process {

namespace {

common::TimePoint monotonicNow()
{
    return std::chrono::time_point_cast<common::Duration>(std::chrono::steady_clock::now());
}

std::string recordKey(const version::InstanceRecord &record)
{
    return std::string(version::InstanceKeyPrefix) + record.name;
}

void logFailure(std::string_view event, const common::Error &error)
{
    LogEvent(LogLevel::Warning, event).with("code", error.code).with("problem", error.message);
}

} // namespace

StoreSession::StoreSession(boost::asio::io_context &context, StoreClient &client,
                           request::LeaseGuard &guard, version::InstanceRecord record,
                           ReadHandler onRead, EntryHandler onEntry)
    : m_client(client)
    , m_guard(guard)
    , m_record(std::move(record))
    , m_onRead(std::move(onRead))
    , m_onEntry(std::move(onEntry))
    , m_leaseTimer(context)
    , m_readTimer(context)
{ }

void StoreSession::start()
{
    // The entries are read before the registration: the fabric sends packets to registered
    // instances, and an instance needs the catalogue to handle them.
    readAll();
}

void StoreSession::stop()
{
    m_isStopped = true;
    m_leaseTimer.cancel();
    m_readTimer.cancel();
    setWatching(false);
}

void StoreSession::schedule(std::chrono::milliseconds delay, void (StoreSession::*step)())
{
    auto &timer = step == &StoreSession::readAll ? m_readTimer : m_leaseTimer;
    timer.expires_after(delay);
    timer.async_wait([this, step](const boost::system::error_code &error) {
        if (!error && !m_isStopped) {
            (this->*step)();
        }
    });
}

void StoreSession::readAll()
{
    m_client.range("", [this](const common::Result<StoreRange> &result) {
        m_hasRead = true;
        if (!common::isOk(result)) {
            logFailure("store_read_failed", common::errorOf(result));
            schedule(RetryInterval, &StoreSession::readAll);
            m_onRead(std::nullopt);
            return;
        }
        const auto &range = common::valueOf(result);
        m_storeRevision = range.revision;
        m_onRead(range.entries);
        if (m_leaseId == 0) {
            grantLease();
        }
        if (m_isWatching) {
            openWatch();
        }
    });
}

void StoreSession::setWatching(bool watching)
{
    if (m_isWatching == watching) {
        return;
    }
    m_isWatching = watching;
    if (!watching && m_watch) {
        m_client.cancelWatch(*m_watch);
        m_watch.reset();
    } else if (watching && m_storeRevision > 0) {
        // The watch starts after the last known revision, so that changes since then are reported,
        // unless they are compacted.
        openWatch();
    }
}

void StoreSession::openWatch()
{
    if (m_watch) {
        m_client.cancelWatch(*m_watch);
    }
    m_watch = m_client.watch("", m_storeRevision + 1,
                             [this](const common::Result<WatchBatch> &result) {
                                 if (!common::isOk(result)) {
                                     logFailure("store_watch_ended", common::errorOf(result));
                                     m_watch.reset();
                                     schedule(RetryInterval, &StoreSession::readAll);
                                     return;
                                 }
                                 const auto &batch = common::valueOf(result);
                                 m_storeRevision = std::max(m_storeRevision, batch.revision);
                                 for (const auto &event : batch.events) {
                                     if (!event.deleted) {
                                         m_onEntry(event.entry);
                                     }
                                 }
                             });
}

void StoreSession::grantLease()
{
    const auto sentAt = monotonicNow();
    m_client.grantLease(LeaseSeconds, [this, sentAt](const common::Result<std::int64_t> &result) {
        if (!common::isOk(result)) {
            m_guard.setStoreReachable(false);
            schedule(RetryInterval, &StoreSession::grantLease);
            return;
        }
        m_leaseId = common::valueOf(result);
        m_guard.onRenewed(sentAt);
        registerRecord(m_recordRevision);
        schedule(RenewInterval, &StoreSession::renewLease);
    });
}

void StoreSession::registerRecord(std::int64_t expectedRevision)
{
    m_client.compareAndPut(
            recordKey(m_record), expectedRevision, version::formatInstanceRecord(m_record),
            m_leaseId, [this](const common::Result<PutOutcome> &result) {
                if (!common::isOk(result)) {
                    logFailure("registration_failed", common::errorOf(result));
                    m_isRegistered = false;
                    return;
                }
                const auto &outcome = common::valueOf(result);
                if (outcome.applied) {
                    m_recordRevision = outcome.modRevision;
                    m_isRegistered = true;
                    LogEvent(LogLevel::Info, "registered").with("leaving", m_record.leaving);
                    return;
                }
                // The record was written by a former process of this name or by an earlier
                // registration of this one.
                m_recordRevision = outcome.current ? outcome.current->modRevision : 0;
                registerRecord(m_recordRevision);
            });
}

void StoreSession::renewLease()
{
    const auto sentAt = monotonicNow();
    m_client.keepAlive(m_leaseId,
                       [this, sentAt](const common::Result<std::chrono::seconds> &result) {
                           if (common::isOk(result)) {
                               m_guard.onRenewed(sentAt);
                               if (!m_isRegistered) {
                                   registerRecord(m_recordRevision);
                               }
                               schedule(RenewInterval, &StoreSession::renewLease);
                               return;
                           }
                           if (common::errorOf(result).code == "lease_expired") {
                               LogEvent(LogLevel::Warning, "lease_lost").with("lease", m_leaseId);
                               m_guard.onLost();
                               grantLease();
                               return;
                           }
                           logFailure("lease_renewal_failed", common::errorOf(result));
                           m_guard.setStoreReachable(false);
                           schedule(RetryInterval, &StoreSession::renewLease);
                       });
}

void StoreSession::setLeaving(bool leaving)
{
    m_record.leaving = leaving;
    if (m_leaseId != 0) {
        registerRecord(m_recordRevision);
    }
}

void StoreSession::revoke(const std::function<void()> &done)
{
    m_isStopped = true;
    m_leaseTimer.cancel();
    if (m_leaseId == 0) {
        done();
        return;
    }
    m_client.revokeLease(m_leaseId, [done](const common::Result<std::monostate> &) { done(); });
}

void StoreSession::replace(const std::string &key, const std::string &value,
                           std::function<bool(const std::string &)> isExpected,
                           std::function<void(bool)> done)
{
    m_client.get(key,
                 [this, key, value, isExpected = std::move(isExpected),
                  done = std::move(done)](const common::Result<StoreRange> &result) {
                     if (!common::isOk(result)) {
                         done(false);
                         return;
                     }
                     const auto &entries = common::valueOf(result).entries;
                     if (!entries.empty()) {
                         m_onEntry(entries.front());
                     }
                     if (!isExpected(entries.empty() ? std::string() : entries.front().value)) {
                         done(false);
                         return;
                     }
                     m_client.compareAndPut(
                             key, entries.empty() ? 0 : entries.front().modRevision, value, 0,
                             [done](const common::Result<PutOutcome> &put) {
                                 done(common::isOk(put) && common::valueOf(put).applied);
                             });
                 });
}

bool StoreSession::isReachable() const
{
    const auto lastResponse = m_client.lastResponse();
    return lastResponse && std::chrono::steady_clock::now() - *lastResponse < UnreachableAfter;
}

} // namespace banyanwall::process
