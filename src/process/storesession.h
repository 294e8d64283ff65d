#pragma once

#include "process/storeclient.h"
#include "request/leaseguard.h"
#include "version/documents.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <string>

namespace banyanwall::process {

/// Registers this instance in the store under a lease, renews the lease, and watches the store
/// while setWatching(true) is in effect. Runs on the control thread; no call blocks.
class StoreSession
{
public:
    /// Called for each entry that a watch event or replace() reports; deletions are not reported.
    using EntryHandler = std::function<void(const StoreEntry &)>;
    /// Called with all entries of a read, or with std::nullopt when the read failed.
    using ReadHandler = std::function<void(const std::optional<std::vector<StoreEntry>> &)>;

    static constexpr std::chrono::seconds LeaseSeconds { 10 };
    /// Leaves time for a second renewal attempt before the lease expires.
    static constexpr std::chrono::milliseconds RenewInterval { 3'000 };
    static constexpr std::chrono::milliseconds RetryInterval { 1'000 };
    /// The store counts as unreachable when it has sent no response for this long.
    static constexpr std::chrono::milliseconds UnreachableAfter { 5'000 };

    StoreSession(boost::asio::io_context &context, StoreClient &client, request::LeaseGuard &guard,
                 version::InstanceRecord record, ReadHandler onRead, EntryHandler onEntry);

    /// Reads all entries once, then registers the instance and renews its lease.
    void start();
    void stop();
    /// Writes the record again with the given leaving flag.
    void setLeaving(bool leaving);
    /// Revokes the lease, which deletes the record. done is called also when that fails.
    void revoke(const std::function<void()> &done);
    void setWatching(bool watching);
    /// Writes value to key if the current value satisfies isExpected; current is empty when the key
    /// does not exist. done gets true when value was written.
    void replace(const std::string &key, const std::string &value,
                 std::function<bool(const std::string &current)> isExpected,
                 std::function<void(bool)> done);

    /// The first read has ended, successfully or not.
    [[nodiscard]] bool hasRead() const { return m_hasRead; }

    [[nodiscard]] bool isReachable() const;

private:
    void readAll();
    void openWatch();
    void grantLease();
    void registerRecord(std::int64_t expectedRevision);
    void renewLease();
    void schedule(std::chrono::milliseconds delay, void (StoreSession::*step)());

    StoreClient &m_client;
    request::LeaseGuard &m_guard;
    version::InstanceRecord m_record;
    ReadHandler m_onRead;
    EntryHandler m_onEntry;
    boost::asio::steady_timer m_leaseTimer;
    boost::asio::steady_timer m_readTimer;
    std::int64_t m_leaseId = 0;
    /// Mod revision of the own record; 0 before it is known.
    std::int64_t m_recordRevision = 0;
    /// Newest store revision that was read or watched; 0 before the first successful read.
    std::int64_t m_storeRevision = 0;
    bool m_isRegistered = false;
    bool m_hasRead = false;
    bool m_isWatching = false;
    bool m_isStopped = false;
    std::optional<StoreClient::WatchId> m_watch;
};

} // namespace banyanwall::process
