#pragma once

#include "common/result.h"
#include "process/directorysync.h"
#include "version/directory.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <vector>

namespace banyanwall::benchmarks {

/// Simulates the store and the instances of several zones in one process and in simulated time, to
/// test and measure the replication of the directory (process::DirectorySync). A store call takes
/// 4 ms and a message between instances 1 ms unless a fault is set.
class SyncFleet
{
public:
    using Endpoint = common::Endpoint;

    static constexpr common::Duration Step = std::chrono::milliseconds(10);

    SyncFleet(int zones, int instancesPerZone)
    {
        for (int zone = 0; zone < zones; ++zone) {
            for (int index = 0; index < instancesPerZone; ++index) {
                start(memberAt(zone, index));
            }
        }
    }

    static version::MemberRecord memberAt(int zone, int index)
    {
        return { { 0x0a000000U + static_cast<std::uint32_t>(zone) * 256
                           + static_cast<std::uint32_t>(index) + 1,
                   7720 },
                 common::ZoneId(static_cast<std::uint32_t>(zone) + 1) };
    }

    /// Starts an instance with an empty directory.
    void start(const version::MemberRecord &member)
    {
        auto &instance = m_instances[member.endpoint];
        instance = std::make_unique<Instance>(member, seeds());
        instance->pendingCalls.clear();
    }

    void kill(Endpoint endpoint) { m_instances.erase(endpoint); }

    /// Writes the directory entry of an upstream to the store, or removes it.
    void changeUpstream(std::uint64_t serial, bool isRegistered)
    {
        const auto record = upstreamRecord(serial);
        write({ version::keyOf(record),
                {},
                isRegistered ? version::DirectoryValue(record)
                             : version::DirectoryValue(version::RemovedRecord {}) });
    }

    /// The upstream begins to drain.
    void drainUpstream(std::uint64_t serial)
    {
        auto record = upstreamRecord(serial);
        record.draining = true;
        write({ version::keyOf(record), {}, record });
    }

    /// Withdraws a zone, or returns it.
    void changeWithdrawal(common::ZoneId zone, bool isWithdrawn)
    {
        const version::WithdrawalRecord record { zone };
        write({ version::keyOf(record),
                {},
                isWithdrawn ? version::DirectoryValue(record)
                            : version::DirectoryValue(version::RemovedRecord {}) });
    }

    /// The process of an instance exits and starts again with an empty directory.
    void restart(Endpoint endpoint)
    {
        auto &instance = m_instances.at(endpoint);
        instance = std::make_unique<Instance>(instance->member, seeds());
    }

    /// The processes of all instances exit and start again with empty directories.
    void restartAll()
    {
        for (auto &[endpoint, instance] : m_instances) {
            instance = std::make_unique<Instance>(instance->member, seeds());
        }
    }

    /// Writes the next version of the contract to the store. All its routes lead to one service.
    void changeRules(common::ServiceId service = common::ServiceId(1))
    {
        ++m_rulesVersion;
        version::RulesRecord rules { .version = m_rulesVersion };
        for (std::uint16_t port = 1; port <= routes; ++port) {
            rules.routes.push_back({ { 0xc6120001, port }, { { service, 1 } }, true });
        }
        write({ version::keyOf(rules), {}, rules });
    }

    /// The store comes back from a copy of this age, in a new era. Operators and upstreams write
    /// again within rewriteTime what it lacks; instances have to register themselves again.
    void restoreStore(common::Duration age)
    {
        const auto lost = std::ranges::partition_point(
                m_history, [&](const auto &write) { return write.at <= m_now - age; });
        std::map<version::EntryKey, Rewrite> rewrites;
        std::for_each(lost, m_history.end(), [&](const auto &write) {
            if (write.change.key.kind != version::EntryKind::Member) {
                rewrites[write.change.key] = { m_now + nextRewriteDelay(), write.change };
            }
        });
        // What was lost before and not written again yet is newer.
        m_rewrites.merge(rewrites);
        m_history.erase(lost, m_history.end());
        m_store.clear();
        for (const auto &write : m_history) {
            m_store[write.change.key] = write.change;
        }
        m_revision = m_history.empty() ? 0 : m_history.back().change.position.revision.value();
        ++m_era;
    }

    /// Whether all that a restored store lacked was written again.
    [[nodiscard]] bool isRewritten() const { return m_rewrites.empty(); }

    /// Value of an upstream's entry at an instance; nullptr when there is none.
    [[nodiscard]] const version::UpstreamRecord *upstreamAt(Endpoint endpoint,
                                                            std::uint64_t serial) const
    {
        const auto &entries = m_instances.at(endpoint)->directory.entries();
        const auto found = entries.find(version::keyOf(upstreamRecord(serial)));
        return found == entries.end() ? nullptr
                                      : std::get_if<version::UpstreamRecord>(&found->second.value);
    }

    [[nodiscard]] common::StoreEra eraAt(Endpoint endpoint) const
    {
        return m_instances.at(endpoint)->directory.position().era;
    }

    [[nodiscard]] common::StoreEra era() const { return common::StoreEra(m_era); }

    /// Simulates this time in steps of 10 ms.
    void run(common::Duration time)
    {
        const auto end = m_now + time;
        while (m_now < end) {
            m_now += Step;
            step();
        }
    }

    [[nodiscard]] common::TimePoint now() const { return m_now; }

    /// Calls of all instances to the store.
    [[nodiscard]] std::uint64_t calls() const { return m_calls; }

    /// Messages between instances, including lost ones.
    [[nodiscard]] std::uint64_t messages() const { return m_messages; }

    /// Bytes of all messages between instances, without network headers.
    [[nodiscard]] std::uint64_t bytes() const { return m_bytes; }

    void resetSentBytes() { m_sentBytes.clear(); }

    /// Bytes sent by the instance that has sent most since the last reset.
    [[nodiscard]] std::uint64_t busiestBytes() const
    {
        std::uint64_t most = 0;
        for (const auto &[endpoint, sent] : m_sentBytes) {
            most = std::max(most, sent);
        }
        return most;
    }

    [[nodiscard]] std::size_t size() const { return m_instances.size(); }

    [[nodiscard]] std::uint64_t rulesVersion() const { return m_rulesVersion; }

    /// Whether the store has an entry of this instance.
    [[nodiscard]] bool isRegistered(const version::MemberRecord &member) const
    {
        const auto entry = m_store.find(version::keyOf(member));
        return entry != m_store.end()
                && std::holds_alternative<version::MemberRecord>(entry->second.value);
    }

    /// Number of instances that have an entry in the store.
    [[nodiscard]] std::size_t registered() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(m_store, [](const auto &item) {
            return std::holds_alternative<version::MemberRecord>(item.second.value);
        }));
    }

    [[nodiscard]] std::vector<Endpoint> watchers() const
    {
        std::vector<Endpoint> watchers;
        for (const auto &[endpoint, instance] : m_instances) {
            if (instance->sync.isWatching()) {
                watchers.push_back(endpoint);
            }
        }
        return watchers;
    }

    [[nodiscard]] std::vector<Endpoint> leaders() const
    {
        std::vector<Endpoint> leaders;
        for (const auto &[endpoint, instance] : m_instances) {
            if (instance->sync.isLeading()) {
                leaders.push_back(endpoint);
            }
        }
        return leaders;
    }

    /// Contract version that an instance routes by; 0 when it has none.
    [[nodiscard]] std::uint64_t versionAt(Endpoint endpoint) const
    {
        const auto *rules = m_instances.at(endpoint)->directory.rules();
        return rules == nullptr ? 0 : rules->version;
    }

    /// Longest time since an instance, as far as it knows, had contact with other zones or the
    /// store.
    [[nodiscard]] common::Duration longestOutsideContactAge() const
    {
        common::Duration longest {};
        for (const auto &[endpoint, instance] : m_instances) {
            longest = std::max(longest, m_now - instance->sync.outsideContactAt());
        }
        return longest;
    }

    /// Time since an instance, as far as it knows, had contact with other zones or the store.
    [[nodiscard]] common::Duration outsideContactAge(Endpoint endpoint) const
    {
        return m_now - m_instances.at(endpoint)->sync.outsideContactAt();
    }

    /// Sets whether an instance is isolated.
    void setIsolated(Endpoint endpoint, bool isIsolated)
    {
        m_instances.at(endpoint)->sync.setIsolated(isIsolated);
    }

    /// Number of instances of a zone whose leader reports that it is isolated.
    [[nodiscard]] std::size_t countIsolatedLeaders(common::ZoneId zone) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(m_instances, [&](const auto &item) {
            return item.second->member.zone == zone && item.second->sync.isLeaderIsolated();
        }));
    }

    [[nodiscard]] std::vector<Endpoint> endpoints() const
    {
        std::vector<Endpoint> endpoints;
        for (const auto &[endpoint, instance] : m_instances) {
            endpoints.push_back(endpoint);
        }
        return endpoints;
    }

    /// Messages that instances did not use because they ended in a former era.
    [[nodiscard]] std::uint64_t staleEraMessages() const { return m_staleEraMessages; }

    /// Number of instances that do not route by the newest contract.
    [[nodiscard]] std::size_t outdated() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(endpoints(), [&](Endpoint endpoint) {
            return versionAt(endpoint) != m_rulesVersion;
        }));
    }

    /// Number of instances whose directory does not hold the same entries as the store.
    [[nodiscard]] std::size_t diverging() const
    {
        const auto expected = presentEntries(m_store);
        return static_cast<std::size_t>(std::ranges::count_if(m_instances, [&](const auto &item) {
            return presentEntries(item.second->directory.entries()) != expected;
        }));
    }

    /// Whether an instance has ever gone back to an older contract without a restart.
    [[nodiscard]] bool hasReverted() const { return m_hasReverted; }

    /// Largest number of registrations that the store has accepted within 100 ms.
    [[nodiscard]] std::size_t busiestRegistrations() const
    {
        std::size_t most = 0;
        std::ranges::for_each(m_registrations,
                              [&](const auto &item) { most = std::max(most, item.second); });
        return most;
    }

    void resetRegistrations() { m_registrations.clear(); }

    /// Time within which operators and upstreams write again what a restored store lacks.
    common::Duration rewriteTime = std::chrono::seconds(2);
    /// Number of routes of each contract that changeRules() writes.
    std::uint16_t routes = 0;

    // Faults
    /// Store calls of these instances time out.
    std::set<Endpoint> cutFromStore;
    /// Store calls of these instances fail at once with status 503.
    std::set<Endpoint> refusedByStore;
    /// All store calls time out.
    bool storeIsDown = false;
    /// Size of each answer of the store in bytes.
    std::size_t answerBytes = 1'000;
    common::Duration storeLatency = std::chrono::milliseconds(4);
    /// Time of a read of all entries at every second instance, as over a slow link.
    common::Duration slowReadLatency = std::chrono::milliseconds(4);
    /// The store has compacted its history: watches from the known revisions are refused.
    bool historyIsLost = false;
    /// Watches receive no events until they time out.
    bool watchesReceiveNoEvents = false;
    /// Messages between these two zones are lost.
    std::set<std::pair<common::ZoneId, common::ZoneId>> cutZones;
    /// One message in this many is lost; 0 for none.
    std::uint32_t messageLoss = 0;

private:
    /// A store call that has not been answered yet.
    struct PendingCall
    {
        version::StorePosition after;
        common::TimePoint waitDeadline;
        common::TimePoint earliestAnswer;
        bool isRead = false;
        bool isLost = false;
        bool isRefused = false;
    };

    struct Instance
    {
        Instance(const version::MemberRecord &self, std::vector<Endpoint> seeds)
            : member(self)
            , sync({ .self = self, .seeds = std::move(seeds), .seed = self.endpoint.address },
                   directory)
        { }

        version::MemberRecord member;
        version::Directory directory;
        process::DirectorySync sync;
        std::vector<PendingCall> pendingCalls;
        std::uint64_t lastVersion = 0;
        common::TimePoint nextTick;
    };

    struct Message
    {
        common::TimePoint at;
        Endpoint from;
        Endpoint to;
        wire::proto::DirectoryMessage content;

        bool operator>(const Message &other) const { return at > other.at; }
    };

    [[nodiscard]] std::vector<Endpoint> seeds() const
    {
        return { memberAt(0, 0).endpoint, memberAt(1, 0).endpoint };
    }

    static version::UpstreamRecord upstreamRecord(std::uint64_t serial)
    {
        return { .serial = common::UpstreamSerial(serial),
                 .endpoint = { 0x0a800000U + static_cast<std::uint32_t>(serial), 8080 },
                 .slots = 3 };
    }

    /// A write that was lost is written again at a time that differs from entry to entry.
    common::Duration nextRewriteDelay()
    {
        m_rewriteStep = (m_rewriteStep + 7) % 10;
        return rewriteTime * m_rewriteStep / 10;
    }

    void write(version::DirectoryChange change)
    {
        change.position = { common::StoreEra(m_era), common::StoreRevision(++m_revision) };
        m_rewrites.erase(change.key);
        m_store[change.key] = change;
        m_history.push_back({ std::move(change), m_now });
    }

    void rewriteDue()
    {
        std::vector<version::DirectoryChange> due;
        for (const auto &[key, rewrite] : m_rewrites) {
            if (rewrite.at <= m_now) {
                due.push_back(rewrite.change);
            }
        }
        std::ranges::for_each(due, [&](const auto &change) { write(change); });
    }

    /// A change as an answer of the store returns it.
    [[nodiscard]] version::DirectoryChange answered(version::DirectoryChange change) const
    {
        change.position.era = common::StoreEra(m_era);
        return change;
    }

    [[nodiscard]] version::StorePosition position() const
    {
        return { common::StoreEra(m_era), common::StoreRevision(m_revision) };
    }

    /// Entries of a directory or of the store that were not removed.
    template<typename Entries>
    [[nodiscard]] static std::map<version::EntryKey, version::DirectoryValue>
    presentEntries(const Entries &entries)
    {
        std::map<version::EntryKey, version::DirectoryValue> present;
        for (const auto &[key, entry] : entries) {
            if (!std::holds_alternative<version::RemovedRecord>(entry.value)) {
                present.emplace(key, entry.value);
            }
        }
        return present;
    }

    /// Answer to a read: all present entries.
    [[nodiscard]] version::DirectoryDelta allEntries() const
    {
        version::DirectoryDelta delta { {}, position(), true };
        for (const auto &[key, change] : m_store) {
            if (!std::holds_alternative<version::RemovedRecord>(change.value)) {
                delta.changes.push_back(answered(change));
            }
        }
        return delta;
    }

    /// Answer to a watch: each change after a position, in their order.
    [[nodiscard]] version::DirectoryDelta changesAfter(version::StorePosition after) const
    {
        version::DirectoryDelta delta { .from = after, .to = position(), .holdsEachChange = true };
        const auto first = std::ranges::partition_point(m_history, [&](const auto &write) {
            return write.change.position.revision <= after.revision;
        });
        std::transform(first, m_history.end(), std::back_inserter(delta.changes),
                       [&](const auto &write) { return answered(write.change); });
        return delta;
    }

    void step()
    {
        rewriteDue();
        while (!m_inFlight.empty() && m_inFlight.top().at <= m_now) {
            const auto message = m_inFlight.top();
            m_inFlight.pop();
            const auto receiver = m_instances.find(message.to);
            if (receiver != m_instances.end()) {
                auto &instance = *receiver->second;
                perform(instance, instance.sync.onMessage(message.from, message.content, m_now));
            }
        }
        for (auto &[endpoint, instance] : m_instances) {
            answerCalls(*instance);
            if (m_now >= instance->nextTick) {
                instance->nextTick = m_now + std::chrono::milliseconds(100);
                perform(*instance, instance->sync.onTick(m_now));
            }
            checkVersion(*instance);
        }
    }

    void answerCalls(Instance &instance)
    {
        const auto pendingCalls = std::exchange(instance.pendingCalls, {});
        for (const auto &call : pendingCalls) {
            if (!tryAnswer(instance, call)) {
                instance.pendingCalls.push_back(call);
            }
        }
    }

    bool tryAnswer(Instance &instance, const PendingCall &call)
    {
        if (call.isRefused) {
            perform(instance,
                    instance.sync.onStoreAnswer(process::StoreFailure { "status 503" }, m_now));
            return true;
        }
        const bool isCut = call.isLost || cutFromStore.contains(instance.member.endpoint);
        const auto timeout = std::chrono::milliseconds(700);
        if (isCut) {
            if (m_now < call.waitDeadline + timeout) {
                return false;
            }
            perform(instance,
                    instance.sync.onStoreAnswer(process::StoreFailure { "timeout" }, m_now));
            return true;
        }
        if (m_now < call.earliestAnswer) {
            return false;
        }
        if (!call.isRead && historyIsLost) {
            perform(instance, instance.sync.onStoreAnswer(process::HistoryLost {}, m_now));
            return true;
        }
        if (!call.isRead && call.after.era != era()) {
            perform(instance, instance.sync.onStoreAnswer(process::EraBegan { era() }, m_now));
            return true;
        }
        const bool hasUpdate = m_revision > call.after.revision.value() && !watchesReceiveNoEvents;
        if (!call.isRead && !hasUpdate && m_now < call.waitDeadline) {
            return false;
        }
        auto delta = watchesReceiveNoEvents && !call.isRead
                ? version::DirectoryDelta { call.after, call.after, false }
                : call.isRead ? allEntries()
                              : changesAfter(call.after);
        perform(instance,
                instance.sync.onStoreAnswer(process::StoreUpdate { std::move(delta), answerBytes },
                                            m_now));
        return true;
    }

    void call(Instance &instance, bool isRead, version::StorePosition after, common::Duration wait)
    {
        ++m_calls;
        const bool isSlow = isRead && instance.member.endpoint.address % 2 == 0;
        instance.pendingCalls.push_back(
                { .after = after,
                  .waitDeadline = m_now + wait,
                  .earliestAnswer = m_now + (isSlow ? slowReadLatency : storeLatency),
                  .isRead = isRead,
                  .isLost = storeIsDown,
                  .isRefused = refusedByStore.contains(instance.member.endpoint) });
    }

    void perform(Instance &instance, const process::SyncActions &actions)
    {
        for (const auto &action : actions) {
            std::visit(common::Overloaded {
                               [&](const process::ReadStore &) { call(instance, true, {}, {}); },
                               [&](const process::WatchStore &watch) {
                                   call(instance, false, watch.after, watch.wait);
                               },
                               [&](const process::RegisterMember &registration) {
                                   registerMember(instance, registration.member);
                               },
                               [&](const process::RemoveMember &removal) {
                                   removeMember(instance, removal);
                               },
                               [&](const process::SendDirectoryMessage &send) {
                                   deliver(instance, send);
                               },
                               [](const process::DirectoryChanged &) {},
                               [](const process::DeltaRefused &) {},
                               [](const process::EraEntered &) {},
                               [&](const process::StaleEraRefused &) { ++m_staleEraMessages; },
                       },
                       action);
        }
    }

    void registerMember(Instance &instance, const version::MemberRecord &member)
    {
        ++m_calls;
        const bool isReachable = !storeIsDown && !cutFromStore.contains(member.endpoint)
                && !refusedByStore.contains(member.endpoint);
        if (isReachable && !isRegistered(member)) {
            write({ version::keyOf(member), {}, member });
            ++m_registrations[m_now.time_since_epoch() / std::chrono::milliseconds(100)];
        }
        perform(instance, instance.sync.onRegistered(isReachable, m_now));
    }

    void removeMember(const Instance &instance, const process::RemoveMember &removal)
    {
        ++m_calls;
        const auto key = version::keyOf(removal.member);
        const auto entry = m_store.find(key);
        const bool isReachable = !storeIsDown && !cutFromStore.contains(instance.member.endpoint)
                && !refusedByStore.contains(instance.member.endpoint);
        if (isReachable && entry != m_store.end()
            && entry->second.position.revision == removal.position.revision) {
            write({ key, {}, version::RemovedRecord {} });
        }
    }

    void deliver(const Instance &from, const process::SendDirectoryMessage &send)
    {
        ++m_messages;
        m_bytes += send.message.ByteSizeLong();
        m_sentBytes[from.member.endpoint] += send.message.ByteSizeLong();
        const auto to = m_instances.find(send.to);
        if (to == m_instances.end()) {
            return;
        }
        const auto zones = std::minmax(from.member.zone, to->second->member.zone);
        const bool isLost = messageLoss > 0 && m_messages % messageLoss == 0;
        if (isLost || cutZones.contains({ zones.first, zones.second })) {
            return;
        }
        m_inFlight.push({ m_now + std::chrono::milliseconds(1), from.member.endpoint, send.to,
                          send.message });
    }

    void checkVersion(Instance &instance)
    {
        const auto *rules = instance.directory.rules();
        const auto version = rules == nullptr ? 0 : rules->version;
        m_hasReverted = m_hasReverted || version < instance.lastVersion;
        instance.lastVersion = version;
    }

    common::TimePoint m_now { std::chrono::seconds(100) };
    std::map<Endpoint, std::unique_ptr<Instance>> m_instances;
    /// Last change of each entry, including removals.
    std::map<version::EntryKey, version::DirectoryChange> m_store;

    struct Write
    {
        version::DirectoryChange change;
        common::TimePoint at;
    };

    /// All changes in their order.
    std::vector<Write> m_history;

    struct Rewrite
    {
        common::TimePoint at;
        version::DirectoryChange change;
    };

    /// Changes that a restored store lacks and that will be written again.
    std::map<version::EntryKey, Rewrite> m_rewrites;
    int m_rewriteStep = 0;
    std::uint64_t m_era = 1;
    std::uint64_t m_staleEraMessages = 0;
    std::map<std::int64_t, std::size_t> m_registrations;
    std::priority_queue<Message, std::vector<Message>, std::greater<>> m_inFlight;
    std::uint64_t m_revision = 0;
    std::uint64_t m_rulesVersion = 0;
    std::uint64_t m_calls = 0;
    std::uint64_t m_messages = 0;
    std::uint64_t m_bytes = 0;
    std::map<Endpoint, std::uint64_t> m_sentBytes;
    bool m_hasReverted = false;
};

} // namespace banyanwall::benchmarks
