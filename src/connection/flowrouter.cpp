#include "connection/flowrouter.h"

#include "connection/flowdecision.h"
#include "connection/ownerchange.h"
#include "connection/servicetable.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <mutex>
#include <ranges>
#include <unordered_map>

#include <boost/unordered/unordered_flat_map.hpp>

namespace banyanwall::connection {

using common::InstanceId;
using common::ServiceId;
using common::TimePoint;
using common::UpstreamId;

namespace {

/// An instance that joined within this period holds no overrides that other members lack.
constexpr common::Duration JoiningPeriod = std::chrono::seconds(5);

/// Time from the start of a search until it is removed.
constexpr common::Duration SearchRetention = std::chrono::seconds(10);
/// Maximum number of flows whose upstream is searched for at a time; further flows are lost.
constexpr std::size_t MaxSearches = 65'536;

/// Number of router snapshots that each thread caches. With the cache, the only shared state that
/// the packet path reads of a router is a counter that changes seldom.
constexpr std::size_t ThreadCacheSize = 32;

/// Immutable state that the packet path reads.
struct RouterSnapshot
{
    boost::unordered_flat_map<std::uint32_t, std::shared_ptr<const ServiceView>> services;
    std::shared_ptr<const OwnerSelector> members;
    bool stale = false;
};

/// Search for the upstream of a flow whose override is lost.
struct UpstreamSearch
{
    std::vector<UpstreamId> rejected;
    TimePoint started;
};

std::atomic<std::uint64_t> nextRouterNumber { 1 };

std::shared_ptr<const OwnerSelector> selectMembers(const OwnerSelector &members,
                                                   const std::function<bool(const Member &)> &keep)
{
    std::vector<Member> kept;
    std::ranges::copy_if(members.members(), std::back_inserter(kept), keep);
    return std::make_shared<const OwnerSelector>(std::move(kept));
}

} // namespace

struct FlowRouter::State
{
    State(InstanceId instance, common::ZoneId zone)
        : self(instance)
        , selfZone(zone)
    {
        ownership.self = instance;
        allMembers = std::make_shared<const OwnerSelector>(
                std::vector<Member> { { instance, zone, false } });
        selectEligibleMembers();
        publish();
    }

    const RouterSnapshot &snapshot();
    void advanceTime(TimePoint now);
    /// Selects the members that may be owners: this instance and those that are neither suspected
    /// nor in an unreachable zone.
    void selectEligibleMembers();
    /// Services without routed buckets keep their view unless the outages have changed.
    void updateOwners(bool outagesChanged = false);
    void restartHandovers();
    void rebuildView(ServiceTable &table, bool membersChanged = false);
    void publish();
    ServiceTable &table(ServiceId service);

    bool isWithinJoiningPeriod() const
    {
        return joiningSince && latestTime - *joiningSince < JoiningPeriod;
    }

    const InstanceId self;
    const common::ZoneId selfZone;
    const std::uint64_t number = nextRouterNumber.fetch_add(1);

    /// Protects all control state below.
    std::mutex mutex;
    TimePoint latestTime;
    std::optional<TimePoint> joiningSince;
    std::shared_ptr<const OwnerSelector> allMembers;
    std::set<InstanceId> suspected;
    bool stale = false;
    OwnershipView ownership;
    Outages outages;
    std::map<ServiceId, ServiceTable> tables;
    RouterSnapshot nextSnapshot;
    std::unordered_map<std::uint64_t, UpstreamSearch> searches;

    OverrideStore overrides;
    DeferredBatches deferredBatches;

    /// Protects published; each thread locks it once after each change.
    std::mutex publishMutex;
    std::shared_ptr<const RouterSnapshot> published;
    std::atomic<std::uint64_t> generation = 0;
};

const RouterSnapshot &FlowRouter::State::snapshot()
{
    struct Cached
    {
        std::uint64_t router = 0;
        std::uint64_t generation = 0;
        std::shared_ptr<const RouterSnapshot> snapshot;
    };

    thread_local std::array<Cached, ThreadCacheSize> cache;
    auto &cached = cache.at(number % ThreadCacheSize);
    if (cached.router != number
        || cached.generation != generation.load(std::memory_order_acquire)) {
        const std::scoped_lock lock(publishMutex);
        cached = { number, generation.load(std::memory_order_relaxed), published };
    }
    return *cached.snapshot;
}

void FlowRouter::State::advanceTime(TimePoint now)
{
    latestTime = std::max(latestTime, now);
    ownership.isJoining = isWithinJoiningPeriod();
}

void FlowRouter::State::selectEligibleMembers()
{
    const auto former = ownership.members;
    ownership.members = selectMembers(*allMembers, [this](const Member &member) {
        return member.id == self
                || (!outages.unreachableZones.contains(member.zone)
                    && !suspected.contains(member.id));
    });
    if (former) {
        ownership.change = memberChange(*former, *ownership.members);
    }
    ownership.otherMembers = selectMembers(
            *ownership.members, [this](const Member &member) { return member.id != self; });
    ownership.liveMembers.clear();
    std::ranges::transform(ownership.members->members(),
                           std::inserter(ownership.liveMembers, ownership.liveMembers.end()),
                           &Member::id);
    nextSnapshot.members = ownership.members;
}

void FlowRouter::State::updateOwners(bool outagesChanged)
{
    selectEligibleMembers();
    for (auto &[service, table] : tables) {
        if (outagesChanged || (table.view() && table.view()->hasRoutes())) {
            rebuildView(table, true);
        }
    }
    publish();
}

void FlowRouter::State::rebuildView(ServiceTable &table, bool membersChanged)
{
    if (table.roster()) {
        table.buildView(ownership, outages, membersChanged, latestTime);
        nextSnapshot.services[table.roster()->service.value()] = table.view();
    }
}

void FlowRouter::State::restartHandovers()
{
    joiningSince = latestTime;
    ownership.isJoining = true;
    for (auto &[service, table] : tables) {
        table.restartHandovers(self, latestTime);
    }
}

void FlowRouter::State::publish()
{
    nextSnapshot.stale = stale;
    auto next = std::make_shared<const RouterSnapshot>(nextSnapshot);
    const std::scoped_lock lock(publishMutex);
    published = std::move(next);
    generation.fetch_add(1, std::memory_order_release);
}

ServiceTable &FlowRouter::State::table(ServiceId service)
{
    return tables.try_emplace(service, service).first->second;
}

FlowRouter::FlowRouter(InstanceId self, common::ZoneId zone)
    : m_state(std::make_unique<State>(self, zone))
{ }

FlowRouter::~FlowRouter() = default;

void FlowRouter::setMembers(std::shared_ptr<const OwnerSelector> members, TimePoint now)
{
    auto &state = *m_state;
    const std::scoped_lock lock(state.mutex);
    if (!state.joiningSince) {
        state.joiningSince = now;
    }
    state.advanceTime(now);
    state.allMembers = std::move(members);
    state.updateOwners();
}

void FlowRouter::applyRoster(const version::ServiceRoster &roster, TimePoint now)
{
    auto &state = *m_state;
    const std::scoped_lock lock(state.mutex);
    state.advanceTime(now);
    auto &table = state.table(roster.service);
    if (table.applyRoster(roster)) {
        state.rebuildView(table);
        state.publish();
    }
}

void FlowRouter::applySettled(ServiceId service, const version::SettledTable &settled,
                              TimePoint now)
{
    auto &state = *m_state;
    const std::scoped_lock lock(state.mutex);
    state.advanceTime(now);
    auto &table = state.table(service);
    if (table.applySettled(settled)) {
        state.rebuildView(table);
        state.publish();
    }
}

void FlowRouter::setInForce(ServiceId service, common::RosterVersion version)
{
    auto &state = *m_state;
    const std::scoped_lock lock(state.mutex);
    auto &table = state.table(service);
    if (table.setInForce(version)) {
        state.rebuildView(table);
        state.publish();
    }
}

void FlowRouter::setSettledAcknowledged(ServiceId service, common::SettledRevision revision)
{
    auto &state = *m_state;
    const std::scoped_lock lock(state.mutex);
    auto &table = state.table(service);
    table.setAcknowledged(revision);
    table.removeRedundantOverrides(state.overrides);
}

void FlowRouter::setStale(bool stale)
{
    auto &state = *m_state;
    const std::scoped_lock lock(state.mutex);
    if (state.stale == stale) {
        return;
    }
    state.stale = stale;
    state.publish();
}

void FlowRouter::setUnreachableZones(std::vector<common::ZoneId> zones)
{
    auto &state = *m_state;
    const std::scoped_lock lock(state.mutex);
    std::set<common::ZoneId> unreachable(zones.begin(), zones.end());
    if (unreachable != state.outages.unreachableZones) {
        state.outages.unreachableZones = std::move(unreachable);
        state.updateOwners(true);
    }
}

void FlowRouter::setSuspected(std::vector<InstanceId> members)
{
    auto &state = *m_state;
    const std::scoped_lock lock(state.mutex);
    std::set<InstanceId> suspected(members.begin(), members.end());
    if (suspected != state.suspected) {
        state.suspected = std::move(suspected);
        state.updateOwners();
    }
}

void FlowRouter::onRejoined(TimePoint now)
{
    auto &state = *m_state;
    const std::scoped_lock lock(state.mutex);
    state.advanceTime(now);
    state.restartHandovers();
}

void FlowRouter::onMemberRestarted(InstanceId member, TimePoint now)
{
    auto &state = *m_state;
    const std::scoped_lock lock(state.mutex);
    state.advanceTime(now);
    for (auto &[service, table] : state.tables) {
        table.onMemberRestarted(state.self, member, state.latestTime);
    }
}

void FlowRouter::setUpstreamLost(UpstreamId upstream, bool lost)
{
    auto &state = *m_state;
    const std::scoped_lock lock(state.mutex);
    if (state.outages.lostUpstreams.contains(upstream) == lost) {
        return;
    }
    if (lost) {
        state.outages.lostUpstreams.insert(upstream);
    } else {
        state.outages.lostUpstreams.erase(upstream);
    }
    for (auto &[service, table] : state.tables) {
        if (table.roster()
            && std::ranges::find(table.roster()->upstreams, upstream, &version::RosterUpstream::id)
                    != table.roster()->upstreams.end()) {
            state.rebuildView(table);
        }
    }
    state.publish();
}

RouteDecision FlowRouter::route(const RoutedPacket &packet, TimePoint now)
{
    const auto &snapshot = m_state->snapshot();
    const auto found = snapshot.services.find(packet.service.value());
    if (found == snapshot.services.end()) {
        return RejectPacket { common::Reason::UnknownService };
    }
    const auto &view = *found->second;
    const auto bucket = version::BucketMap::bucketOf(packet.flow);
    if (!snapshot.stale && !packet.record) {
        const auto directUpstream = view.directUpstream(bucket);
        if (directUpstream != UpstreamId(0)) {
            return ForwardToUpstream { directUpstream };
        }
    }
    const auto *route = view.route(bucket);
    const auto owners = route != nullptr ? std::optional(route->owners())
                                         : snapshot.members->bucketOwners(packet.service, bucket);
    const RoutingContext context { m_state->self, snapshot.stale,     *snapshot.members,
                                   view,          m_state->overrides, m_state->deferredBatches };
    return FlowDecision(context, packet, owners, now).decide();
}

std::optional<UpstreamId> FlowRouter::nextCandidate(ServiceId service, common::FlowKey flow,
                                                    UpstreamId rejectedBy, TimePoint now)
{
    auto &state = *m_state;
    const std::scoped_lock lock(state.mutex);
    const auto found = state.tables.find(service);
    const auto bucket = version::BucketMap::bucketOf(flow);
    if (found == state.tables.end() || !found->second.map()) {
        return std::nullopt;
    }
    const auto &table = found->second;
    const auto *runtime = table.runtime(bucket);
    if (runtime == nullptr || !table.map()->entry(bucket).transitional
        || !isOwner(runtime->owners, state.self)) {
        return std::nullopt;
    }
    std::erase_if(state.searches,
                  [&](const auto &entry) { return now - entry.second.started > SearchRetention; });
    if (state.searches.size() >= MaxSearches) {
        return std::nullopt;
    }
    auto &search =
            state.searches.try_emplace(flow.value(), UpstreamSearch { {}, now }).first->second;
    search.rejected.push_back(rejectedBy);
    const auto &view = table.view();
    auto candidates = table.searchCandidates(bucket);
    // Opens go to the alternative upstream while the regular one cannot be used.
    if (const auto alternative = view->alternativeUpstream(flow)) {
        candidates.push_back(*alternative);
    }
    const auto next = std::ranges::find_if(candidates, [&](UpstreamId candidate) {
        const auto status = view->status(candidate);
        return (status == UpstreamStatus::Active || status == UpstreamStatus::Draining)
                && std::ranges::find(search.rejected, candidate) == search.rejected.end();
    });
    if (next == candidates.end()) {
        state.overrides.erase({ service, bucket }, flow);
        return std::nullopt;
    }
    state.overrides.assign({ service, bucket }, { flow, *next }, now, false);
    return *next;
}

std::vector<IdleBucketReport> FlowRouter::idleBuckets(TimePoint now)
{
    auto &state = *m_state;
    const std::scoped_lock lock(state.mutex);
    state.advanceTime(now);
    std::vector<IdleBucketReport> reports;
    for (auto &[service, table] : state.tables) {
        if (!table.roster()) {
            continue;
        }
        state.overrides.expire(service, table.roster()->idleLimit, now);
        table.removeRedundantOverrides(state.overrides);
        auto report = table.idleReport(state.self, state.overrides, now);
        if (!report.buckets.empty() || !report.clean.empty()) {
            reports.push_back(std::move(report));
        }
    }
    return reports;
}

std::vector<OverrideBatch> FlowRouter::takeHandovers(std::size_t maxRecords, TimePoint now)
{
    auto &state = *m_state;
    const std::scoped_lock lock(state.mutex);
    state.advanceTime(now);
    auto batches = state.deferredBatches.take(maxRecords);
    maxRecords -= batches.size();
    for (auto &[service, table] : state.tables) {
        table.takeHandovers(state.overrides, maxRecords, now, batches);
    }
    return batches;
}

void FlowRouter::acceptHandover(const OverrideBatch &batch, TimePoint now)
{
    auto &state = *m_state;
    const std::scoped_lock lock(state.mutex);
    state.advanceTime(now);
    const auto found = state.tables.find(batch.service);
    if (found != state.tables.end()) {
        found->second.acceptHandover(batch, state.overrides, now);
    }
}

std::vector<HandoverRequest> FlowRouter::takeHandoverRequests(std::size_t maxRequests,
                                                              TimePoint now)
{
    auto &state = *m_state;
    const std::scoped_lock lock(state.mutex);
    state.advanceTime(now);
    std::vector<HandoverRequest> requests;
    for (auto &[service, table] : state.tables) {
        table.takeHandoverRequests(state.self, state.overrides, maxRequests, now, requests);
    }
    return requests;
}

void FlowRouter::acceptHandoverRequest(InstanceId sender, const HandoverRequest &request,
                                       TimePoint now)
{
    auto &state = *m_state;
    const std::scoped_lock lock(state.mutex);
    state.advanceTime(now);
    const auto found = state.tables.find(request.service);
    if (found != state.tables.end()
        && found->second.acceptHandoverRequest(state.self, sender, request, state.overrides, now)) {
        state.deferredBatches.push({ sender,
                                     request.service,
                                     request.bucket,
                                     {},
                                     true,
                                     found->second.recentOpenUpstreams(request.bucket) });
    }
}

std::size_t FlowRouter::overrideCount() const
{
    return m_state->overrides.size();
}

std::size_t FlowRouter::overrideBytes() const
{
    return m_state->overrides.allocatedBytes();
}

std::shared_ptr<const version::BucketMap> FlowRouter::map(ServiceId service) const
{
    const std::scoped_lock lock(m_state->mutex);
    const auto found = m_state->tables.find(service);
    return found == m_state->tables.end() ? nullptr : found->second.map();
}

} // namespace banyanwall::connection
