#pragma once

#include "process/storeclient.h"
#include "request/leaseguard.h"
#include "version/documents.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <string>

namespace banyanwall::process {

/// Registration of this instance in the store under its lease, and the watch. Runs on the control
/// thread; nothing waits for the store.
class StoreSession
{
public:
    /// Called for each entry that is read or watched; deletions are not reported.
    using EntryHandler = std::function<void(const StoreEntry &)>;
    /// Called with all entries of one read.
    using ReadHandler = std::function<void(const std::vector<StoreEntry> &)>;

    static constexpr std::chrono::seconds LeaseSeconds { 10 };
    /// Leaves time for a second attempt before the lease ends.
    static constexpr std::chrono::milliseconds RenewInterval { 3'000 };
    static constexpr std::chrono::milliseconds RetryInterval { 1'000 };
    /// The store counts as unreachable when it has not answered for this long.
    static constexpr std::chrono::milliseconds UnreachableAfter { 5'000 };

    StoreSession(boost::asio::io_context &context, StoreClient &client, request::LeaseGuard &guard,
                 version::InstanceRecord record, ReadHandler onRead, EntryHandler onEntry);

    /// Reads everything once, then registers and renews the lease.
    void start();
    void stop();
    /// Rewrites the record.
    void setLeaving(bool leaving);
    /// Ends the lease, which deletes the record.
    void revoke(const std::function<void()> &done);
    void setWatching(bool watching);
    /// Writes key when the value there satisfies isExpected. done gets true when value was written.
    void replace(const std::string &key, const std::string &value,
                 std::function<bool(const std::string &current)> isExpected,
                 std::function<void(bool)> done);

    /// The first read has ended, successfully or not.
    [[nodiscard]] bool hasRead() const { return m_hasRead; }

    [[nodiscard]] bool isReachable() const;

private:
    void readAll();
    void openWatch();
    void grant();
    void registerRecord(std::int64_t expectedRevision);
    void renew();
    void schedule(std::chrono::milliseconds delay, void (StoreSession::*step)());

    StoreClient &m_client;
    request::LeaseGuard &m_guard;
    version::InstanceRecord m_record;
    ReadHandler m_onRead;
    EntryHandler m_onEntry;
    boost::asio::steady_timer m_leaseTimer;
    boost::asio::steady_timer m_readTimer;
    std::int64_t m_lease = 0;
    std::int64_t m_recordRevision = 0;
    std::int64_t m_revision = 0;
    bool m_registered = false;
    bool m_hasRead = false;
    bool m_watching = false;
    bool m_stopped = false;
    std::optional<StoreClient::WatchId> m_watch;
};

} // namespace banyanwall::process
