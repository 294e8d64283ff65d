#pragma once

#include "common/endpoint.h"
#include "common/ids.h"
#include "common/time.h"
#include "directory.pb.h"
#include "process/fragmentassembler.h"
#include "process/memberliveness.h"
#include "version/directory.h"

#include <chrono>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace banyanwall::process {

/// Action: read all entries of the store.
struct ReadStore
{ };

/// Action: wait for changes after a position (long poll).
struct WatchStore
{
    version::StorePosition after;
    /// Time after which the store answers without changes.
    std::chrono::milliseconds wait {};
};

/// Action: write the entry of this instance, unless one exists.
struct RegisterMember
{
    version::MemberRecord member;
};

/// Action: remove the entry of another instance, unless it has changed since a position.
struct RemoveMember
{
    version::MemberRecord member;
    version::StorePosition position;
};

struct SendDirectoryMessage
{
    common::Endpoint to;
    wire::proto::DirectoryMessage message;
};

/// Action: route packets by the changed entries of the directory.
struct DirectoryChanged
{
    std::vector<version::EntryKey> keys;
};

/// The changes of a peer do not fit the known entries, so that all entries are fetched.
struct DeltaRefused
{
    version::StorePosition from;
    version::StorePosition to;
};

/// The directory has got to a later era of the store.
struct EraEntered
{
    common::StoreEra from;
    common::StoreEra to;
};

/// A message of a peer was not used, because it ends in a former era.
struct StaleEraRefused
{
    common::Endpoint from;
    common::StoreEra era;
};

using SyncAction =
        std::variant<ReadStore, WatchStore, RegisterMember, RemoveMember, SendDirectoryMessage,
                     DirectoryChanged, DeltaRefused, EraEntered, StaleEraRefused>;
using SyncActions = std::vector<SyncAction>;

/// The store no longer holds the changes since the watched revision, so that the watch cannot
/// continue. All entries have to be read again.
struct HistoryLost
{ };

/// The store has come back from an older copy since the call was sent. All entries have to be read
/// again.
struct EraBegan
{
    common::StoreEra era;
};

/// The call timed out, failed, or its answer could not be decoded.
struct StoreFailure
{
    std::string reason;
};

/// Entries that the store returned to a read or a watch.
struct StoreUpdate
{
    version::DirectoryDelta delta;
    /// Size of the store's answer.
    std::size_t bytes = 0;
};

/// One page of a read has arrived; the read goes on.
struct StoreProgress
{ };

using StoreAnswer = std::variant<StoreUpdate, HistoryLost, EraBegan, StoreFailure, StoreProgress>;

/// Replicates the store's directory to all instances with few calls to the store.
///
/// - The highest ranked instance of each availability zone leads the zone. The leader sends changes
///   to the instances of its zone, and a heartbeat every 300 ms with the revision of its directory
///   and the time since the store last confirmed it.
/// - The leader of the highest ranked zone watches the store. The leaders of the other zones fetch
///   changes from it.
/// - An instance that receives no heartbeats of a higher ranked leader, or only heartbeats with an
///   old confirmation, becomes leader. A leader whose zone is not the highest ranked one becomes
///   watcher in the same way. The timeouts grow with the number of higher ranked instances or
///   zones, so that the highest ranked ones take over first. Leaders name the instances that take
///   over first, because entries of the directory may be those of instances that have departed.
/// - When the store has come back from an older copy, in a new era, the watcher reads all entries,
///   and the other instances learn of the era from heartbeats and deltas. An instance whose entry
///   is missing in the copy registers again after a random part of the time for which known entries
///   are held (version::Directory).
/// - Each instance sends keep-alives to its leader, which removes the store entries of instances
///   that have departed.
///
/// Takes events with their time and returns actions; not thread-safe.
class DirectorySync
{
public:
    struct Options
    {
        version::MemberRecord self;
        /// Peer endpoints of some instances. The directory is fetched from them while the store
        /// does not answer.
        std::vector<common::Endpoint> seeds;
        /// Seed of the random number generator.
        std::uint32_t seed = 0;
    };

    DirectorySync(Options options, version::Directory &directory);

    /// Called every 100 ms or more often.
    [[nodiscard]] SyncActions onTick(common::TimePoint now);
    [[nodiscard]] SyncActions onStoreAnswer(const StoreAnswer &answer, common::TimePoint now);
    [[nodiscard]] SyncActions onRegistered(bool isAccepted, common::TimePoint now);
    [[nodiscard]] SyncActions onMessage(common::Endpoint from,
                                        const wire::proto::DirectoryMessage &message,
                                        common::TimePoint now);
    /// Gives up the roles of leader and watcher and notifies the other instances, which take over.
    /// The directory is still kept current.
    [[nodiscard]] SyncActions onShutdown(common::TimePoint now);

    void setSeeds(std::vector<common::Endpoint> seeds) { m_options.seeds = std::move(seeds); }

    /// Time when the store last confirmed the directory as current.
    [[nodiscard]] common::TimePoint confirmedAt() const { return m_confirmedAt; }

    /// Last time when this instance or, as far as it knows, another one of its zone got a message
    /// from another zone or an answer of the store.
    [[nodiscard]] common::TimePoint outsideContactAt() const { return m_outsideContactAt; }

    /// Whether the leader of the zone reported in its last heartbeat that it is isolated.
    [[nodiscard]] bool isLeaderIsolated() const { return m_isLeaderIsolated; }

    /// Sets whether this instance is isolated, which its heartbeats report.
    void setIsolated(bool isIsolated) { m_isIsolated = isIsolated; }

    [[nodiscard]] bool isWatching() const { return m_isWatching; }

    [[nodiscard]] bool isLeading() const { return m_isLeading; }

    /// Number of other instances: members of the directory, and instances that are not in it yet
    /// and have sent a fetch within the last 10 s.
    [[nodiscard]] std::size_t memberCount() const { return m_members.size(); }

    /// Peer endpoints of the instances that memberCount() counts.
    [[nodiscard]] std::vector<common::Endpoint> members() const;

    /// Leaders of other zones that have sent a heartbeat recently.
    [[nodiscard]] std::vector<common::Endpoint> knownOtherLeaders(common::TimePoint now) const;

    /// Other instances of the own zone.
    [[nodiscard]] const std::vector<common::Endpoint> &zonePeers() const { return m_zonePeers; }

private:
    struct Peer
    {
        common::ZoneId zone;
        std::uint32_t capacity = 0;
    };

    struct LastMessage
    {
        common::ZoneId zone;
        common::TimePoint receivedAt;
    };

    void updateRoles(common::TimePoint now);
    [[nodiscard]] bool isRegistered() const;
    [[nodiscard]] bool shouldLead(common::TimePoint now) const;
    /// Whether the leader that this instance follows has named it as a successor.
    [[nodiscard]] bool isSuccessor() const;
    /// Number of instances that take over before this one when the leader falls silent.
    [[nodiscard]] int successionOrder() const;
    /// Instances of the own zone that have sent a message recently, in the order of their rank.
    [[nodiscard]] std::vector<common::Endpoint> successors(common::TimePoint now) const;
    /// Adds the successors and the leaders of other zones to a heartbeat to the own zone, when they
    /// have changed or were not sent for a while.
    void addSuccession(wire::proto::DirectoryMessage &heartbeat, common::TimePoint now);
    /// Heartbeat of the leader that this instance follows.
    void onLeaderHeartbeat(common::Endpoint leader,
                           const wire::proto::DirectoryAssurance &heartbeat, common::TimePoint now);
    [[nodiscard]] bool shouldWatch(common::TimePoint now) const;
    void callStore(common::TimePoint now, SyncActions &actions);
    void registerSelf(common::TimePoint now, SyncActions &actions);
    void removeMissingMember(common::TimePoint now, SyncActions &actions);
    /// Sends a fetch, which counts as keep-alive, once per keep-alive interval.
    void sendKeepAlive(common::Endpoint leader, common::TimePoint now, SyncActions &actions);
    [[nodiscard]] wire::proto::DirectoryMessage fetchMessage() const;
    void sendHeartbeats(common::TimePoint now, SyncActions &actions);
    void fetchFromRandomPeers(common::TimePoint now, SyncActions &actions);
    /// Moves an instance that the leader has named as running to the front, every second time.
    void preferRunning(std::vector<common::Endpoint> &peers);
    void applyDelta(const version::DirectoryDelta &delta, common::TimePoint now,
                    SyncActions &actions);
    void releaseHeld(common::TimePoint now, SyncActions &actions);
    /// A message of a peer that does not know the era yet: asks the peer for what it has, from
    /// which the peer learns of the era and fetches it.
    void onStaleEra(common::Endpoint from, common::StoreEra era, common::TimePoint now,
                    SyncActions &actions);
    void pushChanges(version::StorePosition since, common::TimePoint now, SyncActions &actions);
    void sendDelta(common::Endpoint to, version::StorePosition since, common::TimePoint now,
                   SyncActions &actions);
    void fetchFrom(common::Endpoint peer, common::TimePoint now, SyncActions &actions);
    void onHeartbeat(common::Endpoint from, const wire::proto::DirectoryAssurance &heartbeat,
                     common::TimePoint now, SyncActions &actions);
    void onFetch(common::Endpoint from, const wire::proto::DirectoryFetch &fetch,
                 common::TimePoint now, SyncActions &actions);
    void onFragment(common::Endpoint from, const wire::proto::DirectoryFragment &fragment,
                    common::TimePoint now, SyncActions &actions);
    /// Changes since a position, cut into messages that fit into a datagram.
    [[nodiscard]] std::vector<wire::proto::DirectoryMessage>
    deltaMessages(version::StorePosition since, common::TimePoint now);
    void updateMembers(common::TimePoint now);
    [[nodiscard]] wire::proto::DirectoryMessage heartbeatMessage(common::TimePoint now,
                                                                 bool isLeaving) const;
    void onStoreUpdate(const StoreUpdate &update, common::TimePoint now, SyncActions &actions);
    /// A heartbeat of an instance of the own zone shows whether the zone is in contact with others.
    void recordZoneContact(const wire::proto::DirectoryAssurance &heartbeat, common::TimePoint now);
    [[nodiscard]] bool isHigherRanked(common::Endpoint member) const;
    [[nodiscard]] bool isHigherRankedZone(common::ZoneId zone) const;
    [[nodiscard]] std::vector<common::Endpoint> otherZoneLeaders(common::TimePoint now);

    Options m_options;
    version::Directory &m_directory;
    FragmentAssembler m_fragments;
    std::mt19937 m_random;

    common::TimePoint m_startedAt;
    common::TimePoint m_confirmedAt;
    common::TimePoint m_outsideContactAt;
    bool m_isLeaderIsolated = false;
    bool m_isIsolated = false;
    bool m_hasStarted = false;
    bool m_isLeaving = false;

    /// The instances that memberCount() counts.
    std::map<common::Endpoint, Peer> m_members;
    std::vector<common::Endpoint> m_zonePeers;
    /// Number of higher ranked instances in the own zone; 0 makes this instance the leader.
    std::size_t m_ownRank = 0;
    /// Number of higher ranked zones; 0 makes the leader of the own zone the watcher.
    std::size_t m_zoneRank = 0;
    /// Instances that sent a fetch and are not in the directory yet.
    std::map<common::Endpoint, LastMessage> m_requesters;
    std::map<common::Endpoint, LastMessage> m_leaders;
    /// Last heartbeat of a higher ranked leader of the own zone, and the last confirmation by the
    /// store that such a heartbeat reported.
    common::TimePoint m_higherRankedLeaderSeenAt;
    common::TimePoint m_higherRankedLeaderConfirmedAt;
    /// Last heartbeat of a watching leader of a higher ranked zone, and the last confirmation by
    /// the store that such a heartbeat reported.
    common::TimePoint m_higherRankedWatcherSeenAt;
    common::TimePoint m_higherRankedWatcherConfirmedAt;

    /// The leader that this instance follows, and what it last said about its succession. The
    /// entries of the directory do not show which instances still run.
    common::Endpoint m_leader;
    std::vector<common::Endpoint> m_successors;
    std::vector<common::Endpoint> m_otherLeaders;
    /// What this instance last told its zone as leader.
    std::vector<common::Endpoint> m_toldSuccessors;
    std::vector<common::Endpoint> m_toldOtherLeaders;
    common::TimePoint m_nextSuccession;
    bool m_isTurnOfAnyPeer = false;

    /// Heartbeats sent in search of the leader of each other zone, since it was last known.
    std::map<common::ZoneId, std::size_t> m_leaderSearchAttempts;

    bool m_isLeading = false;
    bool m_isWatching = false;
    bool m_isStoreCallPending = false;
    bool m_needsFullRead = true;
    std::chrono::milliseconds m_backoff {};
    common::TimePoint m_nextStoreCall;
    bool m_isRegistering = false;
    std::chrono::milliseconds m_registerBackoff {};
    common::TimePoint m_nextRegister;
    /// When to read the store after the own entry was written. Skipped if the entry has arrived
    /// from a leader by then.
    std::optional<common::TimePoint> m_ownEntryCheckAt;
    common::TimePoint m_loadedAt;
    common::TimePoint m_nextHeartbeat;
    common::TimePoint m_nextOtherZoneHeartbeat;
    common::TimePoint m_nextRandomFetch;
    common::TimePoint m_lastReadProgress;
    common::TimePoint m_nextFetch;
    MemberLiveness m_liveness;
    common::TimePoint m_nextKeepAlive;
    common::TimePoint m_nextRemoval;
};

} // namespace banyanwall::process
