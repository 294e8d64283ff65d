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

/// An instance that runs for less than this has nothing that others lack.
constexpr common::Duration JoinGrace = std::chrono::seconds(5);

/// A flow whose candidates were tried is forgotten after this time.
constexpr common::Duration CandidateMemory = std::chrono::seconds(10);
/// Most flows in search of their upstream at a time; further ones are lost.
constexpr std::size_t MaxSearches = 65'536;

/// Threads keep the snapshots of the last routers that they used, so that the packet path shares
/// nothing but a counter that changes seldom.
constexpr std::size_t ThreadCacheSize = 32;

/// Immutable state of the packet path.
struct RouterSnapshot
{
    boost::unordered_flat_map<std::uint32_t, std::shared_ptr<const ServiceView>> services;
    std::shared_ptr<const OwnerSelector> members;
    bool stale = false;
};

/// Search for the upstream of a flow that has lost its override.
struct Search
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
        selectOwners();
        publish();
    }

    const RouterSnapshot &snapshot();
    void observe(TimePoint now);
    void selectOwners();
    /// Without changed outages, services without buckets in transition stay as they are.
    void updateOwners(bool outagesChanged = false);
    void restartHandovers();
    void rebuild(ServiceTable &table, bool membersChanged = false);
    void publish();
    ServiceTable &table(ServiceId service);

    bool isYoung() const { return youngSince && clock - *youngSince < JoinGrace; }

    const InstanceId self;
    const common::ZoneId selfZone;
    const std::uint64_t number = nextRouterNumber.fetch_add(1);

    /// Protects all control state below.
    std::mutex mutex;
    TimePoint clock;
    std::optional<TimePoint> youngSince;
    std::shared_ptr<const OwnerSelector> allMembers;
    std::set<InstanceId> suspected;
    bool stale = false;
    OwnershipView ownership;
    Outages outages;
    std::map<ServiceId, ServiceTable> tables;
    RouterSnapshot working;
    std::unordered_map<std::uint64_t, Search> searches;

    OverrideStore overrides;
    LateRecords lateRecords;

    /// Protects published; taken once for each thread and change.
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

void FlowRouter::State::observe(TimePoint now)
{
    clock = std::max(clock, now);
    ownership.young = isYoung();
}

void FlowRouter::State::selectOwners()
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
    ownership.others = selectMembers(*ownership.members,
                                     [this](const Member &member) { return member.id != self; });
    ownership.live.clear();
    std::ranges::transform(ownership.members->members(),
                           std::inserter(ownership.live, ownership.live.end()), &Member::id);
    working.members = ownership.members;
}

void FlowRouter::State::updateOwners(bool outagesChanged)
{
    selectOwners();
    for (auto &[service, table] : tables) {
        if (outagesChanged || (table.view() && table.view()->hasRoutes())) {
            rebuild(table, true);
        }
    }
    publish();
}

void FlowRouter::State::rebuild(ServiceTable &table, bool membersChanged)
{
    if (table.roster()) {
        table.buildView(ownership, outages, membersChanged, clock);
        working.services[table.roster()->service.value()] = table.view();
    }
}

void FlowRouter::State::restartHandovers()
{
    youngSince = clock;
    ownership.young = true;
    for (auto &[service, table] : tables) {
        table.restartHandovers(self, clock);
    }
}

void FlowRouter::State::publish()
{
    working.stale = stale;
    auto next = std::make_shared<const RouterSnapshot>(working);
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
    if (!state.youngSince) {
        state.youngSince = now;
    }
    state.observe(now);
    state.allMembers = std::move(members);
    state.updateOwners();
}

void FlowRouter::applyRoster(const version::ServiceRoster &roster, TimePoint now)
{
    auto &state = *m_state;
    const std::scoped_lock lock(state.mutex);
    state.observe(now);
    auto &table = state.table(roster.service);
    if (table.applyRoster(roster)) {
        state.rebuild(table);
        state.publish();
    }
}

void FlowRouter::applySettled(ServiceId service, const version::SettledTable &settled,
                              TimePoint now)
{
    auto &state = *m_state;
    const std::scoped_lock lock(state.mutex);
    state.observe(now);
    auto &table = state.table(service);
    if (table.applySettled(settled)) {
        state.rebuild(table);
        state.publish();
    }
}

void FlowRouter::setInForce(ServiceId service, common::RosterVersion version)
{
    auto &state = *m_state;
    const std::scoped_lock lock(state.mutex);
    auto &table = state.table(service);
    if (table.setInForce(version)) {
        state.rebuild(table);
        state.publish();
    }
}

void FlowRouter::setSettledAcknowledged(ServiceId service, common::SettledRevision revision)
{
    auto &state = *m_state;
    const std::scoped_lock lock(state.mutex);
    auto &table = state.table(service);
    table.setAcknowledged(revision);
    table.dropNeedless(state.overrides);
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
    state.observe(now);
    state.restartHandovers();
}

void FlowRouter::onMemberRestarted(InstanceId member, TimePoint now)
{
    auto &state = *m_state;
    const std::scoped_lock lock(state.mutex);
    state.observe(now);
    for (auto &[service, table] : state.tables) {
        table.onMemberRestarted(state.self, member, state.clock);
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
            state.rebuild(table);
        }
    }
    state.publish();
}

RouteDecision FlowRouter::route(const FlowPacket &packet, TimePoint now)
{
    const auto &snapshot = m_state->snapshot();
    const auto found = snapshot.services.find(packet.service.value());
    if (found == snapshot.services.end()) {
        return RejectPacket { common::Reason::UnknownService };
    }
    const auto &view = *found->second;
    const auto bucket = version::BucketMap::bucketOf(packet.flow);
    if (!snapshot.stale && !packet.record) {
        const auto direct = view.direct(bucket);
        if (direct != UpstreamId(0)) {
            return ForwardToUpstream { direct };
        }
    }
    const auto *route = view.route(bucket);
    const auto owners = route != nullptr ? std::optional(route->owners())
                                         : snapshot.members->bucketOwners(packet.service, bucket);
    const RoutingContext context { m_state->self, snapshot.stale,     *snapshot.members,
                                   view,          m_state->overrides, m_state->lateRecords };
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
                  [&](const auto &entry) { return now - entry.second.started > CandidateMemory; });
    if (state.searches.size() >= MaxSearches) {
        return std::nullopt;
    }
    auto &search = state.searches.try_emplace(flow.value(), Search { {}, now }).first->second;
    search.rejected.push_back(rejectedBy);
    const auto &view = table.view();
    auto recent = table.recentUpstreams(bucket);
    // Chosen by opens while the regular upstream could not be used.
    if (const auto alternative = view->alternative(flow)) {
        recent.push_back(*alternative);
    }
    const auto next = std::ranges::find_if(recent, [&](UpstreamId candidate) {
        const auto status = view->status(candidate);
        return (status == UpstreamStatus::Active || status == UpstreamStatus::Draining)
                && std::ranges::find(search.rejected, candidate) == search.rejected.end();
    });
    if (next == recent.end()) {
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
    state.observe(now);
    std::vector<IdleBucketReport> reports;
    for (auto &[service, table] : state.tables) {
        if (!table.roster()) {
            continue;
        }
        state.overrides.expire(service, table.roster()->idleLimit, now);
        table.dropNeedless(state.overrides);
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
    state.observe(now);
    auto batches = state.lateRecords.take(maxRecords);
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
    state.observe(now);
    const auto found = state.tables.find(batch.service);
    if (found != state.tables.end()) {
        found->second.acceptHandover(batch, state.overrides, now);
    }
}

std::vector<OverrideRequest> FlowRouter::takeRequests(std::size_t maxRequests, TimePoint now)
{
    auto &state = *m_state;
    const std::scoped_lock lock(state.mutex);
    state.observe(now);
    std::vector<OverrideRequest> requests;
    for (auto &[service, table] : state.tables) {
        table.takeRequests(state.self, state.overrides, maxRequests, now, requests);
    }
    return requests;
}

void FlowRouter::acceptRequest(InstanceId sender, const OverrideRequest &request, TimePoint now)
{
    auto &state = *m_state;
    const std::scoped_lock lock(state.mutex);
    state.observe(now);
    const auto found = state.tables.find(request.service);
    if (found != state.tables.end()
        && found->second.acceptRequest(state.self, sender, request, state.overrides, now)) {
        state.lateRecords.push({ sender,
                                 request.service,
                                 request.bucket,
                                 {},
                                 true,
                                 found->second.openedUpstreams(request.bucket) });
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
