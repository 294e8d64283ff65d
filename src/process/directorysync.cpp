#include "process/directorysync.h"

#include "common/hash.h"
#include "wire/directorycodec.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <ranges>
#include <set>
#include <span>

namespace banyanwall::process {

using common::Endpoint;
using common::Overloaded;
using common::TimePoint;
using std::chrono::milliseconds;
using version::StorePosition;
using wire::proto::DirectoryMessage;

namespace {

// A broken connection to the store is detected after this time plus the latency of an answer, well
// before the 3 s within which a change has to be in force.
constexpr milliseconds WatchWait { 900 };
// Pause after an answer with changes; further changes within this time cost one call.
constexpr milliseconds MinBatchInterval { 250 };
// Rate limit for answers of the store: large answers in quick succession would saturate a link of
// 10 Mbit/s and the processor of a small instance. A change has to be in force within 3 s, which
// bounds the pause.
constexpr std::size_t UpdateBytesPerSecond = 200'000;
constexpr milliseconds MaxBatchInterval { 1'300 };
constexpr milliseconds HeartbeatInterval { 300 };
// Interval at which a leader that does not watch sends heartbeats to the leaders of other zones.
// These heartbeats only show that the leader is running.
constexpr milliseconds NonWatcherHeartbeatInterval { 600 };
// Three missed heartbeats: the leader has failed.
constexpr milliseconds LeaderTimeout { 900 };
// The store confirms the directory at least every 900 ms (WatchWait), and two heartbeats pass the
// confirmation on: from the watcher to the leader, and from the leader to the instance. An older
// confirmation means that the watch fails.
constexpr milliseconds LeaderConfirmationTimeout { 1'800 };
// Added to the timeouts for each rank, so that lower ranked instances take over one after another.
// Otherwise all of them would call the store during an outage.
constexpr milliseconds LeaderTimeoutStep { 150 };
constexpr milliseconds ConfirmationTimeoutStep { 250 };
constexpr milliseconds ZoneRankTimeoutStep { 200 };
// A leader names this many successors, and repeats it at this interval.
constexpr std::size_t MaxSuccessors = 4;
constexpr milliseconds SuccessionInterval { 3'000 };
// Instances that are not among the successors take over this many steps after them, and up to
// UnlistedSpread steps later, each at its own.
constexpr std::size_t UnlistedSteps = 4;
constexpr std::size_t UnlistedSpread = 8;
// A new leader hears of the instances of its zone after this time, spread over a few milliseconds
// for each of them.
constexpr milliseconds FirstKeepAliveDelay { 300 };
constexpr std::uint32_t KeepAliveSpreadMsPerPeer = 4;
// Pause after a failed call, doubled with each further failure.
constexpr milliseconds MinBackoff { 200 };
constexpr milliseconds MaxBackoff { 2'000 };
// An instance whose last confirmation is older fetches from random peers. Heartbeats of a working
// leader report younger confirmations.
constexpr milliseconds MaxConfirmationAge { 2'000 };
constexpr milliseconds RandomFetchInterval { 500 };
constexpr std::size_t RandomFetchPeers = 3;
// A fetch and its answer take a few milliseconds; the next fetch makes up for lost datagrams.
constexpr milliseconds FetchInterval { 150 };
// The store answers a starting instance within milliseconds. Without an answer or a page of it for
// this long, the instance also fetches from peers.
constexpr milliseconds InitialReadTimeout { 400 };
// From writing the own entry to the check whether it has arrived. Within this time a leader sends
// the entry to this instance, and all instances of a starting fleet write their entries.
constexpr milliseconds OwnEntryCheckDelay { 600 };
// Writing the own entry takes less time as long as the store accepts writes.
constexpr std::chrono::seconds RegistrationTimeout { 3 };
// Time after the last message of a leader, or of an instance that sent a fetch and is not in the
// directory, until the peer is removed.
constexpr std::chrono::seconds PeerRetention { 10 };
// Instances whose entries a restored store lacks register again within this time. It ends before
// the entries would be dropped from the directories.
constexpr milliseconds RegistrationSpread = version::Directory::HoldPeriod * 3 / 4;
constexpr unsigned PortBits = 16;
// In larger zones the leader sends changes to some instances only, which forward them: with 130
// instances the leader sends 12 messages per change, and each forwarding instance 10.
constexpr std::size_t MaxDirectRecipients = 15;
// With 130 instances in a zone, its leader receives about 2 keep-alives per second.
constexpr milliseconds KeepAliveInterval { 60'000 };
// Removals are not urgent; one entry per interval limits the load on the store and the fleet.
constexpr milliseconds RemovalInterval { 5'000 };
// One in this many attempts to find the leader of a zone goes to the one that was named.
constexpr std::size_t NamedLeaderTurn = 4;
// Two heartbeat intervals of a leader that does not watch (1,200 ms) and a margin.
constexpr milliseconds OtherZoneLeaderTimeout { 1'500 };

StorePosition positionOf(std::uint64_t era, std::uint64_t revision)
{
    return { common::StoreEra(era), common::StoreRevision(revision) };
}

milliseconds nextBackoff(milliseconds backoff)
{
    return std::clamp(backoff * 2, MinBackoff, MaxBackoff);
}

std::uint64_t packed(Endpoint endpoint)
{
    return (std::uint64_t { endpoint.address } << PortBits) | endpoint.port;
}

Endpoint unpacked(std::uint64_t number)
{
    return { static_cast<std::uint32_t>(number >> PortBits), static_cast<std::uint16_t>(number) };
}

/// Rank of an instance of a zone for the roles, a higher value first: by capacity, then by a hash
/// of endpoint and zone, which gives the same order at all instances.
std::pair<std::uint32_t, std::uint64_t> rankOf(Endpoint member, common::ZoneId zone,
                                               std::uint32_t capacity)
{
    return { capacity, common::hashPair(packed(member), zone.value()) };
}

} // namespace

DirectorySync::DirectorySync(Options options, version::Directory &directory)
    : m_options(std::move(options))
    , m_directory(directory)
    , m_random(m_options.seed)
{ }

SyncActions DirectorySync::onTick(TimePoint now)
{
    SyncActions actions;
    if (!m_hasStarted) {
        m_hasStarted = true;
        m_startedAt = now;
        m_higherRankedLeaderSeenAt = now;
        m_higherRankedLeaderConfirmedAt = now;
        m_higherRankedWatcherSeenAt = now;
        m_higherRankedWatcherConfirmedAt = now;
        // Instances that start together send their keep-alives at different times.
        m_nextKeepAlive = now + milliseconds(m_random() % KeepAliveInterval.count());
    }
    releaseHeld(now, actions);
    updateRoles(now);
    callStore(now, actions);
    registerSelf(now, actions);
    removeMissingMember(now, actions);
    sendHeartbeats(now, actions);
    fetchFromRandomPeers(now, actions);
    return actions;
}

SyncActions DirectorySync::onStoreAnswer(const StoreAnswer &answer, TimePoint now)
{
    SyncActions actions;
    if (!std::holds_alternative<StoreFailure>(answer)) {
        m_outsideContactAt = now;
    }
    if (std::holds_alternative<StoreProgress>(answer)) {
        m_lastReadProgress = now;
        return actions;
    }
    m_isStoreCallPending = false;
    std::visit(Overloaded {
                       [&](const StoreUpdate &update) { onStoreUpdate(update, now, actions); },
                       [&](const HistoryLost & /*none*/) {
                           m_needsFullRead = true;
                           m_nextStoreCall = now;
                       },
                       [&](const EraBegan & /*era*/) {
                           m_needsFullRead = true;
                           m_nextStoreCall = now;
                       },
                       [&](const StoreFailure & /*failure*/) {
                           m_backoff = nextBackoff(m_backoff);
                           // Jitter: instances whose calls fail together retry at different times.
                           const auto jitter =
                                   m_random() % static_cast<std::uint32_t>(m_backoff.count() / 2);
                           m_nextStoreCall = now + m_backoff / 2 + milliseconds(jitter);
                       },
                       [](const StoreProgress & /*none*/) {},
               },
               answer);
    updateRoles(now);
    callStore(now, actions);
    return actions;
}

void DirectorySync::onStoreUpdate(const StoreUpdate &update, TimePoint now, SyncActions &actions)
{
    m_backoff = {};
    m_needsFullRead = false;
    const auto position = m_directory.position();
    const milliseconds transfer(update.bytes * 1'000 / UpdateBytesPerSecond);
    const bool hasChanges = update.delta.to > position;
    m_nextStoreCall = now
            + (hasChanges ? std::clamp(transfer, MinBatchInterval, MaxBatchInterval)
                          : milliseconds());
    // An answer with an older position does not confirm that the directory is current.
    if (update.delta.to >= position) {
        m_confirmedAt = now;
    }
    applyDelta(update.delta, now, actions);
}

SyncActions DirectorySync::onRegistered(bool isAccepted, TimePoint now)
{
    m_isRegistering = false;
    if (isAccepted) {
        m_ownEntryCheckAt = now + OwnEntryCheckDelay;
    }
    m_registerBackoff = isAccepted ? milliseconds(MaxBackoff) : nextBackoff(m_registerBackoff);
    m_nextRegister = now + m_registerBackoff;
    return {};
}

SyncActions DirectorySync::onMessage(Endpoint from, const DirectoryMessage &message, TimePoint now)
{
    SyncActions actions;
    m_liveness.onMessageReceived(from, now);
    if (const auto sender = m_members.find(from);
        sender != m_members.end() && sender->second.zone != m_options.self.zone) {
        m_outsideContactAt = now;
    }
    switch (message.body_case()) {
    case DirectoryMessage::kAssurance:
        onHeartbeat(from, message.assurance(), now, actions);
        break;
    case DirectoryMessage::kFetch:
        onFetch(from, message.fetch(), now, actions);
        break;
    case DirectoryMessage::kFragment:
        onFragment(from, message.fragment(), now, actions);
        break;
    case DirectoryMessage::kSilence:
    case DirectoryMessage::kLoad:
    case DirectoryMessage::BODY_NOT_SET:
        break;
    }
    return actions;
}

SyncActions DirectorySync::onShutdown(TimePoint now)
{
    SyncActions actions;
    m_isLeaving = true;
    if (m_isLeading) {
        auto recipients = m_zonePeers;
        std::ranges::copy(otherZoneLeaders(now), std::back_inserter(recipients));
        std::ranges::for_each(recipients, [&](Endpoint peer) {
            actions.push_back(SendDirectoryMessage { peer, heartbeatMessage(now, true) });
        });
    }
    return actions;
}

void DirectorySync::updateRoles(TimePoint now)
{
    const bool wasLeading = m_isLeading;
    m_isLeading = m_directory.isLoaded() && shouldLead(now);
    if (m_isLeading && !wasLeading) {
        m_liveness.restart(now);
        m_nextRemoval = now + RemovalInterval;
    }
    m_isWatching = m_isLeading && shouldWatch(now);
}

bool DirectorySync::shouldWatch(TimePoint now) const
{
    const auto steps = static_cast<int>(m_zoneRank) - 1;
    return m_zoneRank == 0
            || now - m_higherRankedWatcherSeenAt > LeaderTimeout + steps * ZoneRankTimeoutStep
            || now - m_higherRankedWatcherConfirmedAt
            > LeaderConfirmationTimeout + steps * ZoneRankTimeoutStep;
}

bool DirectorySync::shouldLead(TimePoint now) const
{
    // In a starting fleet, the directory lacks other instances as long as it lacks the own entry.
    const bool hasReliableMembers = isRegistered() || now - m_loadedAt > RegistrationTimeout;
    if (m_isLeaving || !hasReliableMembers) {
        return false;
    }
    if (m_ownRank == 0) {
        return true;
    }
    const auto order = successionOrder();
    // An unconfirmed directory may be due to an outage of the store, in which the instances that
    // the leader has not named must not take over all at once.
    const auto unconfirmedOrder = isSuccessor() ? order : static_cast<int>(m_ownRank) - 1;
    return now - m_higherRankedLeaderSeenAt > LeaderTimeout + order * LeaderTimeoutStep
            || now - m_higherRankedLeaderConfirmedAt
            > LeaderConfirmationTimeout + unconfirmedOrder * ConfirmationTimeoutStep;
}

bool DirectorySync::isSuccessor() const
{
    return std::ranges::find(m_successors, m_options.self.endpoint) != m_successors.end();
}

int DirectorySync::successionOrder() const
{
    const auto position = std::ranges::find(m_successors, m_options.self.endpoint);
    auto order = static_cast<std::size_t>(position - m_successors.begin());
    if (position == m_successors.end()) {
        const auto spread = common::mixBits(packed(m_options.self.endpoint)) % UnlistedSpread;
        order += UnlistedSteps + spread;
    }
    return static_cast<int>(std::min(m_ownRank - 1, order));
}

std::vector<Endpoint> DirectorySync::successors(TimePoint now) const
{
    std::vector<Endpoint> heardOf;
    std::ranges::copy_if(m_zonePeers, std::back_inserter(heardOf),
                         [&](Endpoint peer) { return m_liveness.isHeardOf(peer, now); });
    const auto rank = [&](Endpoint peer) {
        return rankOf(peer, m_options.self.zone, m_members.at(peer).capacity);
    };
    const auto count = std::min(heardOf.size(), MaxSuccessors);
    const auto end = heardOf.begin() + static_cast<std::ptrdiff_t>(count);
    std::ranges::partial_sort(heardOf, end, std::greater {}, rank);
    heardOf.erase(end, heardOf.end());
    return heardOf;
}

void DirectorySync::addSuccession(DirectoryMessage &heartbeat, TimePoint now)
{
    auto successors = this->successors(now);
    auto otherLeaders = knownOtherLeaders(now);
    const bool hasChanged = successors != m_toldSuccessors || otherLeaders != m_toldOtherLeaders;
    if (!hasChanged && now < m_nextSuccession) {
        return;
    }
    m_nextSuccession = now + SuccessionInterval;
    m_toldSuccessors = std::move(successors);
    m_toldOtherLeaders = std::move(otherLeaders);
    auto &body = *heartbeat.mutable_assurance();
    std::ranges::for_each(m_toldSuccessors,
                          [&](Endpoint peer) { body.add_successors(packed(peer)); });
    std::ranges::for_each(m_toldOtherLeaders,
                          [&](Endpoint leader) { body.add_other_leaders(packed(leader)); });
}

void DirectorySync::onLeaderHeartbeat(Endpoint leader,
                                      const wire::proto::DirectoryAssurance &heartbeat,
                                      TimePoint now)
{
    const auto unpackAll = [](const auto &numbers) {
        std::vector<Endpoint> endpoints;
        std::ranges::transform(numbers, std::back_inserter(endpoints), unpacked);
        return endpoints;
    };
    if (heartbeat.successors_size() > 0) {
        m_successors = unpackAll(heartbeat.successors());
    }
    if (heartbeat.other_leaders_size() > 0) {
        m_otherLeaders = unpackAll(heartbeat.other_leaders());
    }
    if (leader != m_leader) {
        m_leader = leader;
        const auto peers = static_cast<std::uint32_t>(m_zonePeers.size());
        const auto spread = common::mixBits(packed(m_options.self.endpoint))
                % (peers * KeepAliveSpreadMsPerPeer + 1);
        m_nextKeepAlive =
                std::min(m_nextKeepAlive, now + FirstKeepAliveDelay + milliseconds(spread));
    }
}

void DirectorySync::callStore(TimePoint now, SyncActions &actions)
{
    const bool isOwnEntryCheckDue =
            m_ownEntryCheckAt && now >= *m_ownEntryCheckAt && !isRegistered();
    const bool isCallNeeded = !m_directory.isLoaded() || m_isWatching || isOwnEntryCheckDue;
    if (m_isStoreCallPending || !isCallNeeded || now < m_nextStoreCall) {
        return;
    }
    m_isStoreCallPending = true;
    m_ownEntryCheckAt.reset();
    if (m_needsFullRead || !m_directory.isLoaded() || isOwnEntryCheckDue) {
        actions.push_back(ReadStore {});
    } else {
        actions.push_back(WatchStore { m_directory.position(), WatchWait });
    }
}

void DirectorySync::registerSelf(TimePoint now, SyncActions &actions)
{
    if (!m_directory.isLoaded() || m_isRegistering || m_isLeaving || now < m_nextRegister) {
        return;
    }
    const bool lacksEntry = !isRegistered() || m_directory.isHeld(version::keyOf(m_options.self));
    if (lacksEntry) {
        m_isRegistering = true;
        actions.push_back(RegisterMember { m_options.self });
    }
}

bool DirectorySync::isRegistered() const
{
    const auto found = m_directory.entries().find(version::keyOf(m_options.self));
    return found != m_directory.entries().end()
            && found->second.value == version::DirectoryValue(m_options.self);
}

void DirectorySync::removeMissingMember(TimePoint now, SyncActions &actions)
{
    // The revision of a held entry is one of a former era.
    if (!m_isLeading || now < m_nextRemoval || m_directory.isHolding()) {
        return;
    }
    m_nextRemoval = now + RemovalInterval;
    const auto missing = m_liveness.missing(m_zonePeers, now);
    if (!missing) {
        return;
    }
    const auto entry =
            m_directory.entries().find(version::keyOf(version::MemberRecord { *missing, {} }));
    if (entry == m_directory.entries().end()) {
        return;
    }
    if (const auto *member = std::get_if<version::MemberRecord>(&entry->second.value)) {
        actions.push_back(RemoveMember { *member, entry->second.position });
    }
}

void DirectorySync::sendKeepAlive(Endpoint leader, TimePoint now, SyncActions &actions)
{
    if (now >= m_nextKeepAlive) {
        m_nextKeepAlive = now + KeepAliveInterval;
        actions.push_back(SendDirectoryMessage { leader, fetchMessage() });
    }
}

void DirectorySync::sendHeartbeats(TimePoint now, SyncActions &actions)
{
    if (!m_isLeading) {
        return;
    }
    if (now >= m_nextHeartbeat) {
        m_nextHeartbeat = now + HeartbeatInterval;
        auto heartbeat = heartbeatMessage(now, false);
        addSuccession(heartbeat, now);
        std::ranges::for_each(m_zonePeers, [&](Endpoint peer) {
            actions.push_back(SendDirectoryMessage { peer, heartbeat });
        });
    }
    if (now >= m_nextOtherZoneHeartbeat) {
        m_nextOtherZoneHeartbeat =
                now + (m_isWatching ? HeartbeatInterval : NonWatcherHeartbeatInterval);
        std::ranges::for_each(otherZoneLeaders(now), [&](Endpoint peer) {
            actions.push_back(SendDirectoryMessage { peer, heartbeatMessage(now, false) });
        });
    }
}

void DirectorySync::fetchFromRandomPeers(TimePoint now, SyncActions &actions)
{
    const bool isStale = m_directory.isLoaded()
            ? now - m_confirmedAt > MaxConfirmationAge
            : now - std::max(m_startedAt, m_lastReadProgress) > InitialReadTimeout;
    if (!isStale || now < m_nextRandomFetch) {
        return;
    }
    m_nextRandomFetch = now + RandomFetchInterval;
    std::vector<Endpoint> peers(m_zonePeers);
    std::ranges::copy_if(m_options.seeds, std::back_inserter(peers), [&](Endpoint seed) {
        return seed != m_options.self.endpoint && std::ranges::find(peers, seed) == peers.end();
    });
    std::ranges::shuffle(peers, m_random);
    preferRunning(peers);
    const auto message = fetchMessage();
    // While this instance needs all entries, a peer answers with the whole directory. Several such
    // answers at once would saturate a narrow link and delay each other.
    const bool needsAllEntries = !m_directory.isLoaded() || m_directory.needsAllEntries();
    const auto peerCount = needsAllEntries ? 1 : RandomFetchPeers;
    peers.resize(std::min(peers.size(), peerCount));
    for (const auto peer : peers) {
        actions.push_back(SendDirectoryMessage { peer, message });
    }
}

void DirectorySync::preferRunning(std::vector<Endpoint> &peers)
{
    // The known instances may have failed together, so that every second fetch goes to any peer.
    m_isTurnOfAnyPeer = !m_isTurnOfAnyPeer;
    const auto known = std::ranges::find_if(peers, [&](Endpoint peer) {
        return peer == m_leader || std::ranges::find(m_successors, peer) != m_successors.end();
    });
    if (!m_isTurnOfAnyPeer && known != peers.end()) {
        std::iter_swap(peers.begin(), known);
    }
}

void DirectorySync::applyDelta(const version::DirectoryDelta &delta, TimePoint now,
                               SyncActions &actions)
{
    const auto before = m_directory.position();
    const bool neededAllEntries = m_directory.needsAllEntries();
    auto changed = m_directory.apply(delta, now);
    const auto &after = m_directory.position();
    if (m_directory.needsAllEntries() && !neededAllEntries) {
        actions.push_back(DeltaRefused { delta.from, delta.to });
    }
    if (before == StorePosition() && m_directory.isLoaded()) {
        m_loadedAt = now;
    }
    if (before != StorePosition() && after.era > before.era) {
        m_nextRegister = now + milliseconds(m_random() % RegistrationSpread.count());
        actions.push_back(EraEntered { before.era, after.era });
    }
    if (!changed.empty()) {
        updateMembers(now);
        actions.push_back(DirectoryChanged { std::move(changed) });
    }
    if (m_isLeading && before != StorePosition() && after > before) {
        pushChanges(before, now, actions);
        // On a heartbeat with a newer position, the leaders of other zones fetch the changes.
        m_nextOtherZoneHeartbeat = now;
        sendHeartbeats(now, actions);
    }
}

void DirectorySync::releaseHeld(TimePoint now, SyncActions &actions)
{
    auto changed = m_directory.releaseHeld(now);
    if (!changed.empty()) {
        updateMembers(now);
        actions.push_back(DirectoryChanged { std::move(changed) });
    }
}

void DirectorySync::onStaleEra(Endpoint from, common::StoreEra era, TimePoint now,
                               SyncActions &actions)
{
    actions.push_back(StaleEraRefused { from, era });
    fetchFrom(from, now, actions);
}

void DirectorySync::pushChanges(StorePosition since, TimePoint now, SyncActions &actions)
{
    const auto messages = deltaMessages(since, now);
    auto peers = m_zonePeers;
    // The forwarding instances differ from change to change, so that a failed one does not delay
    // the same instances again and again.
    std::ranges::shuffle(peers, m_random);
    const auto groupSize = peers.size() <= MaxDirectRecipients
            ? std::size_t { 1 }
            : static_cast<std::size_t>(std::sqrt(peers.size()));
    for (std::size_t first = 0; first < peers.size(); first += groupSize) {
        const auto group =
                std::span(peers).subspan(first, std::min(groupSize, peers.size() - first));
        for (auto message : messages) {
            for (const auto peer : group.subspan(1)) {
                message.mutable_fragment()->add_forward_to(packed(peer));
            }
            actions.push_back(SendDirectoryMessage { group.front(), std::move(message) });
        }
    }
}

std::vector<DirectoryMessage> DirectorySync::deltaMessages(StorePosition since, TimePoint now)
{
    const auto bytes = wire::encodeDelta(m_directory.changesSince(since, now));
    return cutIntoFragments(bytes, static_cast<std::uint32_t>(m_random()));
}

void DirectorySync::sendDelta(Endpoint to, StorePosition since, TimePoint now, SyncActions &actions)
{
    for (auto &message : deltaMessages(since, now)) {
        actions.push_back(SendDirectoryMessage { to, std::move(message) });
    }
}

void DirectorySync::fetchFrom(Endpoint peer, TimePoint now, SyncActions &actions)
{
    if (now < m_nextFetch) {
        return;
    }
    m_nextFetch = now + FetchInterval;
    actions.push_back(SendDirectoryMessage { peer, fetchMessage() });
}

DirectoryMessage DirectorySync::fetchMessage() const
{
    DirectoryMessage message;
    const auto since = m_directory.needsAllEntries() ? StorePosition() : m_directory.position();
    message.mutable_fetch()->set_since_revision(since.revision.value());
    message.mutable_fetch()->set_since_era(since.era.value());
    message.mutable_fetch()->set_zone(m_options.self.zone.value());
    return message;
}

void DirectorySync::onHeartbeat(Endpoint from, const wire::proto::DirectoryAssurance &heartbeat,
                                TimePoint now, SyncActions &actions)
{
    recordZoneContact(heartbeat, now);
    const auto position = positionOf(heartbeat.era(), heartbeat.revision());
    // The store has not confirmed what it held in a former era.
    const bool isOfFormerEra = position.era < m_directory.position().era;
    const auto leaderConfirmedAt =
            isOfFormerEra ? TimePoint() : now - milliseconds(heartbeat.age_ms());
    if (heartbeat.leaving()) {
        m_leaders.erase(from);
        const bool isOwnZone = common::ZoneId(heartbeat.zone()) == m_options.self.zone;
        auto &seenAt = isOwnZone ? m_higherRankedLeaderSeenAt : m_higherRankedWatcherSeenAt;
        seenAt = std::min(seenAt, now - LeaderTimeout);
        return;
    }
    const common::ZoneId zone(heartbeat.zone());
    if (heartbeat.leading()) {
        m_leaders[from] = { zone, now };
        if (zone == m_options.self.zone && isHigherRanked(from)) {
            m_higherRankedLeaderSeenAt = now;
            m_higherRankedLeaderConfirmedAt =
                    std::max(m_higherRankedLeaderConfirmedAt, leaderConfirmedAt);
            onLeaderHeartbeat(from, heartbeat, now);
            sendKeepAlive(from, now, actions);
        }
    }
    if (heartbeat.watching() && isHigherRankedZone(zone)) {
        m_higherRankedWatcherSeenAt = now;
        m_higherRankedWatcherConfirmedAt =
                std::max(m_higherRankedWatcherConfirmedAt, leaderConfirmedAt);
    }
    if (position > m_directory.position()) {
        fetchFrom(from, now, actions);
    } else if (isOfFormerEra) {
        onStaleEra(from, position.era, now, actions);
    } else if (m_directory.isLoaded() && position == m_directory.position()) {
        m_confirmedAt = std::max(m_confirmedAt, leaderConfirmedAt);
    }
}

void DirectorySync::recordZoneContact(const wire::proto::DirectoryAssurance &heartbeat,
                                      TimePoint now)
{
    if (common::ZoneId(heartbeat.zone()) != m_options.self.zone) {
        return;
    }
    m_outsideContactAt =
            std::max(m_outsideContactAt, now - milliseconds(heartbeat.outside_age_ms()));
    if (heartbeat.leading()) {
        m_isLeaderIsolated = heartbeat.isolated();
    }
}

void DirectorySync::onFetch(Endpoint from, const wire::proto::DirectoryFetch &fetch, TimePoint now,
                            SyncActions &actions)
{
    if (!m_directory.isLoaded()) {
        return;
    }
    const auto since = positionOf(fetch.since_era(), fetch.since_revision());
    if (!m_members.contains(from)) {
        m_requesters[from] = { common::ZoneId(fetch.zone()), now };
        updateMembers(now);
    }
    if (since < m_directory.position()) {
        sendDelta(from, since, now, actions);
    } else if (since.era > m_directory.position().era) {
        fetchFrom(from, now, actions);
    }
    actions.push_back(SendDirectoryMessage { from, heartbeatMessage(now, false) });
}

void DirectorySync::onFragment(Endpoint from, const wire::proto::DirectoryFragment &fragment,
                               TimePoint now, SyncActions &actions)
{
    DirectoryMessage forwarded;
    *forwarded.mutable_fragment() = fragment;
    forwarded.mutable_fragment()->clear_forward_to();
    for (const auto number : fragment.forward_to()) {
        // The endpoints come from the network: forward to known instances only.
        const auto peer = unpacked(number);
        if (m_members.contains(peer)) {
            actions.push_back(SendDirectoryMessage { peer, forwarded });
        }
    }
    const auto bytes = m_fragments.add(fragment, now);
    if (!bytes) {
        return;
    }
    const auto delta = wire::decodeDelta(*bytes);
    if (!common::isOk(delta)) {
        return;
    }
    const auto era = common::valueOf(delta).to.era;
    if (era < m_directory.position().era) {
        actions.push_back(StaleEraRefused { from, era });
        return;
    }
    applyDelta(common::valueOf(delta), now, actions);
}

void DirectorySync::updateMembers(TimePoint now)
{
    const auto isExpired = [&](const auto &item) {
        return now - item.second.receivedAt > PeerRetention;
    };
    std::erase_if(m_requesters, isExpired);
    std::erase_if(m_leaders, isExpired);
    m_members.clear();
    for (const auto &member : m_directory.members()) {
        m_members[member.endpoint] = { member.zone, member.capacity };
    }
    for (const auto &[endpoint, lastMessage] : m_requesters) {
        m_members.try_emplace(endpoint, Peer { lastMessage.zone });
    }
    m_members.erase(m_options.self.endpoint);
    m_zonePeers.clear();
    for (const auto &[endpoint, peer] : m_members) {
        if (peer.zone == m_options.self.zone) {
            m_zonePeers.push_back(endpoint);
        }
    }
    m_ownRank = static_cast<std::size_t>(std::ranges::count_if(
            m_zonePeers, [&](Endpoint peer) { return isHigherRanked(peer); }));
    std::set<common::ZoneId> higherRankedZones;
    for (const auto &[endpoint, peer] : m_members) {
        if (isHigherRankedZone(peer.zone)) {
            higherRankedZones.insert(peer.zone);
        }
    }
    m_zoneRank = higherRankedZones.size();
}

std::vector<Endpoint> DirectorySync::members() const
{
    std::vector<Endpoint> members;
    std::ranges::transform(m_members, std::back_inserter(members),
                           [](const auto &item) { return item.first; });
    return members;
}

DirectoryMessage DirectorySync::heartbeatMessage(TimePoint now, bool isLeaving) const
{
    DirectoryMessage message;
    auto &body = *message.mutable_assurance();
    body.set_revision(m_directory.position().revision.value());
    body.set_era(m_directory.position().era.value());
    const auto ageInMs = [&](TimePoint time) {
        const auto age = std::chrono::duration_cast<milliseconds>(now - time).count();
        return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, UINT32_MAX));
    };
    body.set_age_ms(ageInMs(m_confirmedAt));
    body.set_outside_age_ms(ageInMs(m_outsideContactAt));
    body.set_isolated(m_isIsolated);
    body.set_zone(m_options.self.zone.value());
    body.set_leaving(isLeaving);
    body.set_leading(m_isLeading);
    body.set_watching(m_isWatching);
    return message;
}

bool DirectorySync::isHigherRankedZone(common::ZoneId zone) const
{
    return common::mixBits(zone.value()) > common::mixBits(m_options.self.zone.value());
}

bool DirectorySync::isHigherRanked(Endpoint member) const
{
    const auto &self = m_options.self;
    const auto found = m_members.find(member);
    const auto capacity = found == m_members.end() ? 0 : found->second.capacity;
    return rankOf(member, self.zone, capacity) > rankOf(self.endpoint, self.zone, self.capacity);
}

std::vector<Endpoint> DirectorySync::knownOtherLeaders(TimePoint now) const
{
    std::vector<Endpoint> leaders;
    for (const auto &[endpoint, lastMessage] : m_leaders) {
        if (lastMessage.zone != m_options.self.zone
            && now - lastMessage.receivedAt < OtherZoneLeaderTimeout) {
            leaders.push_back(endpoint);
        }
    }
    return leaders;
}

std::vector<Endpoint> DirectorySync::otherZoneLeaders(TimePoint now)
{
    auto leaders = knownOtherLeaders(now);
    std::set<common::ZoneId> zonesWithLeader;
    for (const auto leader : leaders) {
        const auto zone = m_leaders.at(leader).zone;
        zonesWithLeader.insert(zone);
        m_leaderSearchAttempts.erase(zone);
    }
    // In a zone without a known leader, the highest ranked member is tried on every other attempt,
    // and the other members by rank in between; at first, and now and then, the one that the former
    // leader of the own zone has named.
    std::map<common::ZoneId, std::vector<Endpoint>> zonesWithoutLeader;
    for (const auto &[endpoint, peer] : m_members) {
        if (peer.zone != m_options.self.zone && !zonesWithLeader.contains(peer.zone)) {
            zonesWithoutLeader[peer.zone].push_back(endpoint);
        }
    }
    for (auto &[zone, members] : zonesWithoutLeader) {
        std::ranges::sort(members, std::greater {}, [&, zone = zone](Endpoint member) {
            return rankOf(member, zone, m_members.at(member).capacity);
        });
        const auto attempt = m_leaderSearchAttempts[zone]++;
        const auto named = std::ranges::find_first_of(members, m_otherLeaders);
        if (attempt % NamedLeaderTurn == 0 && named != members.end()) {
            leaders.push_back(*named);
            continue;
        }
        const auto rank = attempt % 2 == 0 ? 0 : (attempt + 1) / 2;
        leaders.push_back(members[rank % members.size()]);
    }
    return leaders;
}

} // namespace banyanwall::process
