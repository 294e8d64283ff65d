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
using common::StoreRevision;
using common::TimePoint;
using std::chrono::milliseconds;
using wire::proto::DirectoryMessage;

namespace {

// A connection that went silent shows at the latest after this time and the answer's latency, well
// before the 3 s in which a change has to be in force.
constexpr milliseconds WatchWait { 900 };
// Changes that come within this time cost one call.
constexpr milliseconds ChangeBatch { 250 };
// Large answers in quick succession would fill a link of 10 Mbit/s and the processor of a small
// instance; 3 s are left to put a change in force.
constexpr std::size_t NewsBytesPerSecond = 200'000;
constexpr milliseconds LongestBatch { 1'300 };
constexpr milliseconds AssuranceInterval { 300 };
// Leaders that do not watch only show that they are there.
constexpr milliseconds IdleRemoteInterval { 600 };
// Three missed assurances: the leading instance is gone.
constexpr milliseconds LeaderSilence { 900 };
// A watch that waits is renewed within WatchWait, and its news are told twice on their way; older
// knowledge means that the watch fails.
constexpr milliseconds LeaderStaleness { 1'800 };
// Instances of worse rank follow one after another, so that an outage of the store does not make
// all of them call it.
constexpr milliseconds SilenceStep { 150 };
constexpr milliseconds StalenessStep { 250 };
constexpr milliseconds ZoneStep { 200 };
// Pause after a call that failed, doubled each time.
constexpr milliseconds FirstBackoff { 200 };
constexpr milliseconds LongestBackoff { 2'000 };
// Knowledge older than this makes an instance ask its peers; leaders' news are younger.
constexpr milliseconds AskAge { 2'000 };
constexpr milliseconds AskInterval { 500 };
constexpr std::size_t AskedPeers = 3;
// A fetch and its answer take a few milliseconds; the next one is for lost datagrams.
constexpr milliseconds FetchInterval { 150 };
// The store answers a starting instance in milliseconds; after this time peers are asked, too.
constexpr milliseconds StoreGrace { 400 };
// By then the instances of a fleet that starts have written their entries, and a leader would have
// passed this one on.
constexpr milliseconds LookDelay { 600 };
// Longer than writing the own entry takes while the store takes writes.
constexpr std::chrono::seconds RegistrationTime { 3 };
constexpr std::chrono::seconds AskerMemory { 10 };
constexpr unsigned PortBits = 16;
// Above, changes reach an instance through another one: a leader of 130 sends 12 messages a change
// and each that passes them on 10 more.
constexpr std::size_t LargestDirectGroup = 15;
// One message of an instance a minute: 2 a second reach the leader of 130.
constexpr milliseconds PresenceInterval { 60'000 };
// The store and the fleet need not hurry to remove entries.
constexpr milliseconds RemovalInterval { 5'000 };
// Two intervals of a leader that does not watch.
constexpr milliseconds LeaderMemory { 1'500 };

milliseconds nextBackoff(milliseconds backoff)
{
    return std::clamp(backoff * 2, FirstBackoff, LongestBackoff);
}

std::uint64_t packed(Endpoint endpoint)
{
    return (std::uint64_t { endpoint.address } << PortBits) | endpoint.port;
}

Endpoint unpacked(std::uint64_t number)
{
    return { static_cast<std::uint32_t>(number >> PortBits), static_cast<std::uint16_t>(number) };
}

/// Orders the instances of a zone for duties: by capacity, then the same way at all instances.
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
        m_betterHeardAt = now;
        m_betterAssuredAt = now;
        m_remoteHeardAt = now;
        m_remoteAssuredAt = now;
        // Instances that start together show themselves at different times.
        m_nextPresence = now + milliseconds(m_random() % PresenceInterval.count());
    }
    decideDuties(now);
    callStore(now, actions);
    registerSelf(now, actions);
    removeMissing(now, actions);
    sendAssurances(now, actions);
    askPeers(now, actions);
    return actions;
}

SyncActions DirectorySync::onStoreAnswer(const StoreAnswer &answer, TimePoint now)
{
    SyncActions actions;
    if (std::holds_alternative<StoreProgress>(answer)) {
        m_lastProgress = now;
        return actions;
    }
    m_isCalling = false;
    std::visit(Overloaded {
                       [&](const StoreNews &news) { onNews(news, now, actions); },
                       [&](const HistoryLost & /*none*/) {
                           m_needsFullRead = true;
                           m_nextCall = now;
                       },
                       [&](const StoreFailure & /*failure*/) {
                           m_backoff = nextBackoff(m_backoff);
                           // Instances that fail together come back at different times.
                           const auto jitter =
                                   m_random() % static_cast<std::uint32_t>(m_backoff.count() / 2);
                           m_nextCall = now + m_backoff / 2 + milliseconds(jitter);
                       },
                       [](const StoreProgress & /*none*/) {},
               },
               answer);
    decideDuties(now);
    callStore(now, actions);
    return actions;
}

void DirectorySync::onNews(const StoreNews &news, TimePoint now, SyncActions &actions)
{
    m_backoff = {};
    m_needsFullRead = false;
    const auto revision = m_directory.revision();
    const milliseconds transfer(news.bytes * 1'000 / NewsBytesPerSecond);
    const bool hasChanges = news.delta.to > revision;
    m_nextCall =
            now + (hasChanges ? std::clamp(transfer, ChangeBatch, LongestBatch) : milliseconds());
    // A stale answer is no proof that the directory is current.
    if (news.delta.to >= revision) {
        m_assuredAt = now;
    }
    applyDelta(news.delta, now, actions);
}

SyncActions DirectorySync::onRegistered(bool accepted, TimePoint now)
{
    m_isRegistering = false;
    if (accepted) {
        m_lookAt = now + LookDelay;
    }
    m_registerBackoff = accepted ? milliseconds(LongestBackoff) : nextBackoff(m_registerBackoff);
    m_nextRegister = now + m_registerBackoff;
    return {};
}

SyncActions DirectorySync::onMessage(Endpoint from, const DirectoryMessage &message, TimePoint now)
{
    SyncActions actions;
    m_presence.onHeard(from, now);
    switch (message.body_case()) {
    case DirectoryMessage::kAssurance:
        onAssurance(from, message.assurance(), now, actions);
        break;
    case DirectoryMessage::kFetch:
        onFetch(from, message.fetch(), now, actions);
        break;
    case DirectoryMessage::kFragment:
        onFragment(message.fragment(), now, actions);
        break;
    case DirectoryMessage::kSilence:
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
        auto told = m_zonePeers;
        std::ranges::copy(remoteLeaders(now), std::back_inserter(told));
        std::ranges::for_each(told, [&](Endpoint peer) {
            actions.push_back(SendDirectoryMessage { peer, assurance(now, true) });
        });
    }
    return actions;
}

void DirectorySync::decideDuties(TimePoint now)
{
    const bool wasLeading = m_isLeading;
    m_isLeading = m_directory.isLoaded() && shouldLead(now);
    if (m_isLeading && !wasLeading) {
        m_presence.restart(now);
        m_nextRemoval = now + RemovalInterval;
    }
    m_isWatching = m_isLeading && shouldWatch(now);
}

bool DirectorySync::shouldWatch(TimePoint now) const
{
    const auto steps = static_cast<int>(m_zoneRank) - 1;
    return m_zoneRank == 0 || now - m_remoteHeardAt > LeaderSilence + steps * ZoneStep
            || now - m_remoteAssuredAt > LeaderStaleness + steps * ZoneStep;
}

bool DirectorySync::shouldLead(TimePoint now) const
{
    // Before its own entry is known it does not know the others of a fleet that starts, either.
    const bool isKnown = isRegistered() || now - m_loadedAt > RegistrationTime;
    if (m_isLeaving || !isKnown) {
        return false;
    }
    if (m_ownRank == 0) {
        return true;
    }
    const auto step = static_cast<int>(m_ownRank) - 1;
    return now - m_betterHeardAt > LeaderSilence + step * SilenceStep
            || now - m_betterAssuredAt > LeaderStaleness + step * StalenessStep;
}

void DirectorySync::callStore(TimePoint now, SyncActions &actions)
{
    const bool looksForItself = m_lookAt && now >= *m_lookAt && !isRegistered();
    const bool isWanted = !m_directory.isLoaded() || m_isWatching || looksForItself;
    if (m_isCalling || !isWanted || now < m_nextCall) {
        return;
    }
    m_isCalling = true;
    m_lookAt.reset();
    if (m_needsFullRead || !m_directory.isLoaded() || looksForItself) {
        actions.push_back(ReadStore {});
    } else {
        actions.push_back(WatchStore { m_directory.revision(), WatchWait });
    }
}

void DirectorySync::registerSelf(TimePoint now, SyncActions &actions)
{
    if (!m_directory.isLoaded() || m_isRegistering || m_isLeaving || now < m_nextRegister) {
        return;
    }
    if (!isRegistered()) {
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

void DirectorySync::removeMissing(TimePoint now, SyncActions &actions)
{
    if (!m_isLeading || now < m_nextRemoval) {
        return;
    }
    m_nextRemoval = now + RemovalInterval;
    const auto missing = m_presence.missing(m_zonePeers, now);
    if (!missing) {
        return;
    }
    const auto entry =
            m_directory.entries().find(version::keyOf(version::MemberRecord { *missing, {} }));
    if (entry == m_directory.entries().end()) {
        return;
    }
    if (const auto *member = std::get_if<version::MemberRecord>(&entry->second.value)) {
        actions.push_back(RemoveMember { *member, entry->second.revision });
    }
}

void DirectorySync::showPresence(Endpoint leader, TimePoint now, SyncActions &actions)
{
    if (now >= m_nextPresence) {
        m_nextPresence = now + PresenceInterval;
        actions.push_back(SendDirectoryMessage { leader, fetchMessage() });
    }
}

void DirectorySync::sendAssurances(TimePoint now, SyncActions &actions)
{
    if (!m_isLeading) {
        return;
    }
    if (now >= m_nextAssurance) {
        m_nextAssurance = now + AssuranceInterval;
        std::ranges::for_each(m_zonePeers, [&](Endpoint peer) {
            actions.push_back(SendDirectoryMessage { peer, assurance(now, false) });
        });
    }
    if (now >= m_nextRemoteAssurance) {
        m_nextRemoteAssurance = now + (m_isWatching ? AssuranceInterval : IdleRemoteInterval);
        std::ranges::for_each(remoteLeaders(now), [&](Endpoint peer) {
            actions.push_back(SendDirectoryMessage { peer, assurance(now, false) });
        });
    }
}

void DirectorySync::askPeers(TimePoint now, SyncActions &actions)
{
    const bool isStale = m_directory.isLoaded()
            ? now - m_assuredAt > AskAge
            : now - std::max(m_startedAt, m_lastProgress) > StoreGrace;
    if (!isStale || now < m_nextAsk) {
        return;
    }
    m_nextAsk = now + AskInterval;
    std::vector<Endpoint> peers(m_zonePeers);
    std::ranges::copy_if(m_options.seeds, std::back_inserter(peers), [&](Endpoint seed) {
        return seed != m_options.self.endpoint && std::ranges::find(peers, seed) == peers.end();
    });
    std::ranges::shuffle(peers, m_random);
    const auto message = fetchMessage();
    // A whole directory in answer fills a narrow link; several would hold each other up.
    const auto asked = m_directory.isLoaded() ? AskedPeers : 1;
    peers.resize(std::min(peers.size(), asked));
    for (const auto peer : peers) {
        actions.push_back(SendDirectoryMessage { peer, message });
    }
}

void DirectorySync::applyDelta(const version::DirectoryDelta &delta, TimePoint now,
                               SyncActions &actions)
{
    const auto before = m_directory.revision();
    auto changed = m_directory.apply(delta, now);
    if (before == StoreRevision() && m_directory.isLoaded()) {
        m_loadedAt = now;
    }
    if (!changed.empty()) {
        updateMembers(now);
        actions.push_back(DirectoryChanged { std::move(changed) });
    }
    if (m_isLeading && before != StoreRevision() && m_directory.revision() > before) {
        pushChanges(before, now, actions);
        // Leaders of other zones fetch what is new to them.
        m_nextRemoteAssurance = now;
        sendAssurances(now, actions);
    }
}

void DirectorySync::pushChanges(StoreRevision since, TimePoint now, SyncActions &actions)
{
    const auto messages = deltaMessages(since, now);
    auto peers = m_zonePeers;
    // Each time others pass the changes on, so that one that is gone holds up nobody for long.
    std::ranges::shuffle(peers, m_random);
    const auto groupSize = peers.size() <= LargestDirectGroup
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

std::vector<DirectoryMessage> DirectorySync::deltaMessages(StoreRevision since, TimePoint now)
{
    const auto bytes = wire::encodeDelta(m_directory.changesSince(since, now));
    return cutIntoFragments(bytes, static_cast<std::uint32_t>(m_random()));
}

void DirectorySync::sendDelta(Endpoint to, StoreRevision since, TimePoint now, SyncActions &actions)
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
    message.mutable_fetch()->set_since_revision(m_directory.revision().value());
    message.mutable_fetch()->set_zone(m_options.self.zone.value());
    return message;
}

void DirectorySync::onAssurance(Endpoint from, const wire::proto::DirectoryAssurance &assurance,
                                TimePoint now, SyncActions &actions)
{
    const StoreRevision revision(assurance.revision());
    const auto confirmedAt = now - milliseconds(assurance.age_ms());
    if (assurance.leaving()) {
        m_leaders.erase(from);
        const bool isOwnZone = common::ZoneId(assurance.zone()) == m_options.self.zone;
        auto &heardAt = isOwnZone ? m_betterHeardAt : m_remoteHeardAt;
        heardAt = std::min(heardAt, now - LeaderSilence);
        return;
    }
    const common::ZoneId zone(assurance.zone());
    if (assurance.leading()) {
        m_leaders[from] = { zone, now, revision };
        if (zone == m_options.self.zone && isBetter(from)) {
            m_betterHeardAt = now;
            m_betterAssuredAt = std::max(m_betterAssuredAt, confirmedAt);
            showPresence(from, now, actions);
        }
    }
    if (assurance.watching() && isBetterZone(zone)) {
        m_remoteHeardAt = now;
        m_remoteAssuredAt = std::max(m_remoteAssuredAt, confirmedAt);
    }
    if (revision > m_directory.revision()) {
        fetchFrom(from, now, actions);
    } else if (m_directory.isLoaded() && revision == m_directory.revision()) {
        m_assuredAt = std::max(m_assuredAt, confirmedAt);
    }
}

void DirectorySync::onFetch(Endpoint from, const wire::proto::DirectoryFetch &fetch, TimePoint now,
                            SyncActions &actions)
{
    if (!m_directory.isLoaded()) {
        return;
    }
    const StoreRevision since(fetch.since_revision());
    if (!m_members.contains(from)) {
        m_askers[from] = { common::ZoneId(fetch.zone()), now, since };
        updateMembers(now);
    }
    if (since < m_directory.revision()) {
        sendDelta(from, since, now, actions);
    }
    actions.push_back(SendDirectoryMessage { from, assurance(now, false) });
}

void DirectorySync::onFragment(const wire::proto::DirectoryFragment &fragment, TimePoint now,
                               SyncActions &actions)
{
    DirectoryMessage forwarded;
    *forwarded.mutable_fragment() = fragment;
    forwarded.mutable_fragment()->clear_forward_to();
    for (const auto number : fragment.forward_to()) {
        // Only instances of the fleet, whoever asks.
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
    if (common::isOk(delta)) {
        applyDelta(common::valueOf(delta), now, actions);
    }
}

void DirectorySync::updateMembers(TimePoint now)
{
    const auto isOld = [&](const auto &item) { return now - item.second.at > AskerMemory; };
    std::erase_if(m_askers, isOld);
    std::erase_if(m_leaders, isOld);
    m_members.clear();
    for (const auto &member : m_directory.members()) {
        m_members[member.endpoint] = { member.zone, member.capacity };
    }
    for (const auto &[endpoint, heard] : m_askers) {
        m_members.try_emplace(endpoint, Peer { heard.zone });
    }
    m_members.erase(m_options.self.endpoint);
    m_zonePeers.clear();
    for (const auto &[endpoint, peer] : m_members) {
        if (peer.zone == m_options.self.zone) {
            m_zonePeers.push_back(endpoint);
        }
    }
    m_ownRank = static_cast<std::size_t>(
            std::ranges::count_if(m_zonePeers, [&](Endpoint peer) { return isBetter(peer); }));
    std::set<common::ZoneId> betterZones;
    for (const auto &[endpoint, peer] : m_members) {
        if (isBetterZone(peer.zone)) {
            betterZones.insert(peer.zone);
        }
    }
    m_zoneRank = betterZones.size();
}

std::vector<Endpoint> DirectorySync::members() const
{
    std::vector<Endpoint> members;
    std::ranges::transform(m_members, std::back_inserter(members),
                           [](const auto &item) { return item.first; });
    return members;
}

DirectoryMessage DirectorySync::assurance(TimePoint now, bool leaving) const
{
    DirectoryMessage message;
    auto &body = *message.mutable_assurance();
    body.set_revision(m_directory.revision().value());
    const auto age = std::chrono::duration_cast<milliseconds>(now - m_assuredAt).count();
    body.set_age_ms(static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, UINT32_MAX)));
    body.set_zone(m_options.self.zone.value());
    body.set_leaving(leaving);
    body.set_leading(m_isLeading);
    body.set_watching(m_isWatching);
    return message;
}

bool DirectorySync::isBetterZone(common::ZoneId zone) const
{
    return common::mixBits(zone.value()) > common::mixBits(m_options.self.zone.value());
}

bool DirectorySync::isBetter(Endpoint member) const
{
    const auto &self = m_options.self;
    const auto found = m_members.find(member);
    const auto capacity = found == m_members.end() ? 0 : found->second.capacity;
    return rankOf(member, self.zone, capacity) > rankOf(self.endpoint, self.zone, self.capacity);
}

std::vector<Endpoint> DirectorySync::remoteLeaders(TimePoint now)
{
    std::vector<Endpoint> leaders;
    std::set<common::ZoneId> heardZones;
    for (const auto &[endpoint, heard] : m_leaders) {
        if (heard.zone != m_options.self.zone && now - heard.at < LeaderMemory) {
            leaders.push_back(endpoint);
            heardZones.insert(heard.zone);
            m_remoteAttempts.erase(heard.zone);
        }
    }
    // Where no leader was heard, the best member of the zone and the others by rank are tried in
    // turn.
    std::map<common::ZoneId, std::vector<Endpoint>> unheard;
    for (const auto &[endpoint, peer] : m_members) {
        if (peer.zone != m_options.self.zone && !heardZones.contains(peer.zone)) {
            unheard[peer.zone].push_back(endpoint);
        }
    }
    for (auto &[zone, members] : unheard) {
        std::ranges::sort(members, std::greater {}, [&, zone = zone](Endpoint member) {
            return rankOf(member, zone, m_members.at(member).capacity);
        });
        const auto attempt = m_remoteAttempts[zone]++;
        const auto rank = attempt % 2 == 0 ? 0 : (attempt + 1) / 2;
        leaders.push_back(members[rank % members.size()]);
    }
    return leaders;
}

} // namespace banyanwall::process
