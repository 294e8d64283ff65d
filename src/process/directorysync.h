#pragma once

#include "common/endpoint.h"
#include "common/ids.h"
#include "common/time.h"
#include "directory.pb.h"
#include "process/fragmentassembler.h"
#include "process/memberpresence.h"
#include "version/directory.h"

#include <chrono>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace banyanwall::process {

/// Read all entries of the store.
struct ReadStore
{ };

/// Wait for changes after a revision.
struct WatchStore
{
    common::StoreRevision after;
    /// The store answers after this time when nothing changes.
    std::chrono::milliseconds wait {};
};

/// Write the entry of this instance, unless one exists.
struct RegisterMember
{
    version::MemberRecord member;
};

/// Remove the entry of another instance, unless it has changed since a revision.
struct RemoveMember
{
    version::MemberRecord member;
    common::StoreRevision revision;
};

struct SendDirectoryMessage
{
    common::Endpoint to;
    wire::proto::DirectoryMessage message;
};

/// The directory changed; packets are to be routed by the new entries.
struct DirectoryChanged
{
    std::vector<version::EntryKey> keys;
};

using SyncAction = std::variant<ReadStore, WatchStore, RegisterMember, RemoveMember,
                                SendDirectoryMessage, DirectoryChanged>;
using SyncActions = std::vector<SyncAction>;

/// The store's history does not reach back to the watched revision.
struct HistoryLost
{ };

/// The store gave no usable answer.
struct StoreFailure
{
    std::string reason;
};

/// Entries of the store.
struct StoreNews
{
    version::DirectoryDelta delta;
    /// Size of the answer that held them.
    std::size_t bytes = 0;
};

/// A part of a read has arrived, and the rest is under way.
struct StoreProgress
{ };

using StoreAnswer = std::variant<StoreNews, HistoryLost, StoreFailure, StoreProgress>;

/// Keeps the directory of an instance current at few calls to the store. In each availability zone
/// the highest ranked instance leads: it passes changes on and tells regularly how old its
/// knowledge is. The leader of the first zone watches the store, the others hear of changes from
/// it. Who is not told in time takes over, the better ranked ones first: an instance leads its
/// zone, a leader watches the store. Instances show themselves to their leader, which removes the
/// entries of those that are gone for good. Takes events with their time and returns actions; not
/// thread-safe.
class DirectorySync
{
public:
    struct Options
    {
        version::MemberRecord self;
        /// Peer endpoints of some instances, asked while the store does not answer.
        std::vector<common::Endpoint> seeds;
        std::uint32_t seed = 0;
    };

    DirectorySync(Options options, version::Directory &directory);

    /// Called every 100 ms or more often.
    [[nodiscard]] SyncActions onTick(common::TimePoint now);
    [[nodiscard]] SyncActions onStoreAnswer(const StoreAnswer &answer, common::TimePoint now);
    [[nodiscard]] SyncActions onRegistered(bool accepted, common::TimePoint now);
    [[nodiscard]] SyncActions onMessage(common::Endpoint from,
                                        const wire::proto::DirectoryMessage &message,
                                        common::TimePoint now);
    /// Other instances take over watching; this one goes on serving.
    [[nodiscard]] SyncActions onShutdown(common::TimePoint now);

    void setSeeds(std::vector<common::Endpoint> seeds) { m_options.seeds = std::move(seeds); }

    /// When the directory was last known to be the store's newest state.
    [[nodiscard]] common::TimePoint assuredAt() const { return m_assuredAt; }

    [[nodiscard]] bool isWatching() const { return m_isWatching; }

    [[nodiscard]] bool isLeading() const { return m_isLeading; }

    /// Members of the directory and instances that asked lately.
    [[nodiscard]] std::size_t memberCount() const { return m_members.size(); }

    /// The same instances.
    [[nodiscard]] std::vector<common::Endpoint> members() const;

    /// Other instances of the own zone.
    [[nodiscard]] const std::vector<common::Endpoint> &zonePeers() const { return m_zonePeers; }

private:
    struct Peer
    {
        common::ZoneId zone;
        std::uint32_t capacity = 0;
    };

    struct Heard
    {
        common::ZoneId zone;
        common::TimePoint at;
        common::StoreRevision revision;
    };

    void decideDuties(common::TimePoint now);
    [[nodiscard]] bool isRegistered() const;
    [[nodiscard]] bool shouldLead(common::TimePoint now) const;
    [[nodiscard]] bool shouldWatch(common::TimePoint now) const;
    void callStore(common::TimePoint now, SyncActions &actions);
    void registerSelf(common::TimePoint now, SyncActions &actions);
    void removeMissing(common::TimePoint now, SyncActions &actions);
    /// Shows the leader of the own zone that this instance lives.
    void showPresence(common::Endpoint leader, common::TimePoint now, SyncActions &actions);
    [[nodiscard]] wire::proto::DirectoryMessage fetchMessage() const;
    void sendAssurances(common::TimePoint now, SyncActions &actions);
    void askPeers(common::TimePoint now, SyncActions &actions);
    void applyDelta(const version::DirectoryDelta &delta, common::TimePoint now,
                    SyncActions &actions);
    void pushChanges(common::StoreRevision since, common::TimePoint now, SyncActions &actions);
    void sendDelta(common::Endpoint to, common::StoreRevision since, common::TimePoint now,
                   SyncActions &actions);
    void fetchFrom(common::Endpoint peer, common::TimePoint now, SyncActions &actions);
    void onAssurance(common::Endpoint from, const wire::proto::DirectoryAssurance &assurance,
                     common::TimePoint now, SyncActions &actions);
    void onFetch(common::Endpoint from, const wire::proto::DirectoryFetch &fetch,
                 common::TimePoint now, SyncActions &actions);
    void onFragment(const wire::proto::DirectoryFragment &fragment, common::TimePoint now,
                    SyncActions &actions);
    /// Cuts changes into messages for a peer.
    [[nodiscard]] std::vector<wire::proto::DirectoryMessage>
    deltaMessages(common::StoreRevision since, common::TimePoint now);
    void updateMembers(common::TimePoint now);
    [[nodiscard]] wire::proto::DirectoryMessage assurance(common::TimePoint now,
                                                          bool leaving) const;
    void onNews(const StoreNews &news, common::TimePoint now, SyncActions &actions);
    [[nodiscard]] bool isBetter(common::Endpoint member) const;
    [[nodiscard]] bool isBetterZone(common::ZoneId zone) const;
    [[nodiscard]] std::vector<common::Endpoint> remoteLeaders(common::TimePoint now);

    Options m_options;
    version::Directory &m_directory;
    FragmentAssembler m_fragments;
    std::mt19937 m_random;

    common::TimePoint m_startedAt;
    common::TimePoint m_assuredAt;
    bool m_hasStarted = false;
    bool m_isLeaving = false;

    /// Other instances, by rank within the own zone and by zone elsewhere.
    std::map<common::Endpoint, Peer> m_members;
    std::vector<common::Endpoint> m_zonePeers;
    std::size_t m_ownRank = 0;
    /// Zones whose leaders watch before that of the own one.
    std::size_t m_zoneRank = 0;
    /// Instances that asked for changes and are not in the directory yet.
    std::map<common::Endpoint, Heard> m_askers;
    std::map<common::Endpoint, Heard> m_leaders;
    common::TimePoint m_betterHeardAt;
    common::TimePoint m_betterAssuredAt;
    /// The same for watching leaders of better zones.
    common::TimePoint m_remoteHeardAt;
    common::TimePoint m_remoteAssuredAt;

    /// Leaders looked for since the zone was last heard.
    std::map<common::ZoneId, std::size_t> m_remoteAttempts;

    bool m_isLeading = false;
    bool m_isWatching = false;
    bool m_isCalling = false;
    bool m_needsFullRead = true;
    std::chrono::milliseconds m_backoff {};
    common::TimePoint m_nextCall;
    bool m_isRegistering = false;
    std::chrono::milliseconds m_registerBackoff {};
    common::TimePoint m_nextRegister;
    /// When to read the store for the own entry and those of the others.
    std::optional<common::TimePoint> m_lookAt;
    common::TimePoint m_loadedAt;
    common::TimePoint m_nextAssurance;
    common::TimePoint m_nextRemoteAssurance;
    common::TimePoint m_nextAsk;
    common::TimePoint m_lastProgress;
    common::TimePoint m_nextFetch;
    MemberPresence m_presence;
    common::TimePoint m_nextPresence;
    common::TimePoint m_nextRemoval;
};

} // namespace banyanwall::process
