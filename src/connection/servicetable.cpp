#include "connection/servicetable.h"

#include "connection/flowdecision.h"
#include "connection/ownerchange.h"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace banyanwall::connection {

using common::BucketIndex;
using common::InstanceId;
using common::TimePoint;
using common::UpstreamId;
using version::BucketMap;

namespace {

/// Time from the first request to a former owner until this instance decides without its overrides.
/// Until then packets of the bucket are relayed to the former owner.
constexpr common::Duration FallbackTimeout = std::chrono::seconds(10);

UpstreamStatus statusOf(const version::RosterUpstream &upstream, const Outages &outages)
{
    if (upstream.state == version::UpstreamState::Withdrawn) {
        return UpstreamStatus::Withdrawn;
    }
    if (outages.lostUpstreams.contains(upstream.id)) {
        return UpstreamStatus::Lost;
    }
    if (outages.unreachableZones.contains(upstream.zone)) {
        return UpstreamStatus::Unreachable;
    }
    return upstream.state == version::UpstreamState::Draining ? UpstreamStatus::Draining
                                                              : UpstreamStatus::Active;
}

bool isUsable(UpstreamStatus status)
{
    return status == UpstreamStatus::Active || status == UpstreamStatus::Draining;
}

/// Time since which no packet of the bucket has been forwarded to the default upstream.
TimePoint withoutDefaultUseSince(const BucketRuntime &runtime, std::chrono::seconds idleLimit)
{
    const TimePoint lastDefaultUse { common::Duration(runtime.lastDefaultUse.load()) };
    if (runtime.source.load() == 0) {
        return lastDefaultUse;
    }
    // While this instance awaited overrides, the other owner decided and may have used the default.
    const TimePoint awaitingSince { common::Duration(runtime.sourceSetAt.load()) };
    return std::max(lastDefaultUse, awaitingSince + 2 * idleLimit);
}

} // namespace

ServiceTable::ServiceTable(common::ServiceId service)
    : m_service(service)
{ }

bool ServiceTable::applyRoster(const version::ServiceRoster &roster)
{
    if (m_roster && roster.version <= m_roster->version) {
        return false;
    }
    m_roster = roster;
    rebuildMap();
    return true;
}

bool ServiceTable::applySettled(const version::SettledTable &settled)
{
    if (m_settled && settled.revision <= m_settled->revision) {
        return false;
    }
    m_settled = settled;
    m_divertedBuckets.reset();
    if (m_roster) {
        rebuildMap();
    }
    return true;
}

void ServiceTable::rebuildMap()
{
    const auto former = m_map;
    if (former && m_settled && m_settled->defaults.empty()) {
        m_settled->defaults = former->settledTable().defaults;
    }
    m_map = std::make_shared<const BucketMap>(*m_roster, m_settled, former.get());
    if (m_settled) {
        m_settled->defaults = std::vector<UpstreamId>();
    }
    if (former && former->rosterVersion() != m_map->rosterVersion()) {
        recordFormerOpens(*former);
    }
    m_mapsByVersion[m_map->rosterVersion()] = m_map;
    setInForce(m_inForce);
}

bool ServiceTable::setInForce(common::RosterVersion version)
{
    const auto before = inForceMap();
    m_inForce = std::max(m_inForce, version);
    const auto next = m_mapsByVersion.upper_bound(m_inForce);
    if (next != m_mapsByVersion.begin()) {
        m_mapsByVersion.erase(m_mapsByVersion.begin(), std::prev(next));
    }
    return inForceMap() != before;
}

void ServiceTable::recordFormerOpens(const BucketMap &former)
{
    for (std::uint32_t index = 0; index < version::BucketCount; ++index) {
        const BucketIndex bucket(index);
        const auto entry = m_map->entry(bucket);
        const auto upstream = former.entry(bucket).openUpstream;
        if (!entry.transitional) {
            m_recentUpstreams.erase(bucket);
        } else if (upstream != entry.openUpstream && upstream != entry.defaultUpstream
                   && upstream != UpstreamId(0)) {
            m_recentUpstreams.addNewest(bucket, upstream);
        }
    }
}

std::shared_ptr<const BucketMap> ServiceTable::inForceMap() const
{
    const auto oldest = m_mapsByVersion.begin();
    return oldest != m_mapsByVersion.end() && oldest->first <= m_inForce ? oldest->second : nullptr;
}

void ServiceTable::updateHandovers(BucketRuntime &runtime, BucketIndex bucket,
                                   const BucketOwners &after, const OwnershipView &ownership,
                                   TimePoint now) const
{
    const auto before = ownership.isJoining
            ? ownership.otherMembers->bucketOwners(m_service, bucket).value_or(BucketOwners {})
            : runtime.owners;
    const auto isLive = [&](InstanceId instance) {
        return ownership.liveMembers.contains(instance);
    };
    const auto change = ownerChange(ownership.self, before, after, isLive);
    const bool becomesOwner = isOwner(after, ownership.self) && !isOwner(before, ownership.self);
    const InstanceId source(runtime.source.load());
    if (becomesOwner && (change.source != source || source == InstanceId(0))) {
        setOverrideSource(runtime, change.source, now);
        runtime.fallback = change.fallback;
    } else if (source != InstanceId(0) && !isLive(source)) {
        const auto other = otherOwner(after, ownership.self);
        const bool isFallbackLive = runtime.fallback && isLive(*runtime.fallback);
        replaceDeadSource(runtime, isFallbackLive ? runtime.fallback : std::nullopt,
                          other && isOwner(before, *other) ? other : std::nullopt, now);
    }
    std::erase_if(runtime.pendingHandovers,
                  [&](const auto &pending) { return !isOwner(after, pending.receiver); });
    for (const auto receiver : change.receivers) {
        const auto known =
                std::ranges::find(runtime.pendingHandovers, receiver, &PendingHandover::receiver);
        if (known == runtime.pendingHandovers.end()) {
            runtime.pendingHandovers.push_back({ receiver, std::nullopt });
        }
    }
    if (isOwner(after, ownership.self)) {
        runtime.isCompleteFormerOwner = false;
    } else if (isOwner(runtime.owners, ownership.self)) {
        runtime.isCompleteFormerOwner = runtime.source.load() == 0;
    }
    if (after.first != runtime.owners.first) {
        // Until now another first owner decided, so the last use of the default is not known here.
        runtime.lastDefaultUse = now.time_since_epoch().count();
    }
    if (after.first != runtime.owners.first || after.second != runtime.owners.second) {
        runtime.ownersChangedAt = now.time_since_epoch().count();
    }
    runtime.owners = after;
    runtime.isHandoverToFirstPending =
            std::ranges::any_of(runtime.pendingHandovers, [&](const auto &pending) {
                return pending.receiver == after.first;
            });
}

void ServiceTable::restartHandovers(InstanceId self, TimePoint now)
{
    for (auto &[bucket, runtime] : m_runtimes) {
        if (isOwner(runtime->owners, self)) {
            setOverrideSource(*runtime, otherOwner(runtime->owners, self), now);
        }
    }
}

void ServiceTable::onMemberRestarted(InstanceId self, InstanceId member, TimePoint now)
{
    for (auto &[bucket, runtime] : m_runtimes) {
        if (!isOwner(runtime->owners, self) || !isOwner(runtime->owners, member)) {
            continue;
        }
        if (runtime->source.load() == member.value()) {
            setOverrideSource(*runtime, std::nullopt, now);
        }
        std::erase_if(runtime->pendingHandovers,
                      [&](const auto &pending) { return pending.receiver == member; });
        runtime->pendingHandovers.push_back({ member, std::nullopt });
        runtime->isHandoverToFirstPending =
                runtime->isHandoverToFirstPending || runtime->owners.first == member;
    }
}

void ServiceTable::removeRedundantOverrides(OverrideStore &overrides)
{
    if (!m_map || m_acknowledged < m_map->settledRevision()
        || m_map->settledRevision() == common::SettledRevision(0)) {
        return;
    }
    for (const auto &[bucket, runtime] : m_runtimes) {
        const auto entry = m_map->entry(bucket);
        // While a newer roster is being rolled out, records that name the default keep late
        // duplicates of an open from being decided again by that roster.
        if (!entry.transitional || m_mapsByVersion.size() == 1) {
            overrides.eraseUpstream({ m_service, bucket }, entry.defaultUpstream);
        }
    }
    std::erase_if(m_runtimes, [this](const auto &item) {
        return !m_map->entry(item.first).transitional && !m_divertedBuckets[item.first.value()];
    });
}

void ServiceTable::setAcknowledged(common::SettledRevision revision)
{
    m_acknowledged = std::max(m_acknowledged, revision);
}

void ServiceTable::buildView(const OwnershipView &ownership, const Outages &outages,
                             bool membersChanged, TimePoint now)
{
    auto known = statuses(outages);
    const auto routed = routedBuckets(known);
    std::vector<BucketRoute> routes;
    routes.reserve(routed.count());
    ServiceView::Runtimes runtimes;
    for (std::uint32_t index = 0; index < version::BucketCount; ++index) {
        if (!routed[index]) {
            continue;
        }
        auto [owners, runtime] = routeBucket(BucketIndex(index), ownership, membersChanged, now);
        BucketRoute route { owners.first, owners.second.value_or(InstanceId(0)),
                            static_cast<std::uint16_t>(index) };
        if (runtime) {
            route.runtime = static_cast<std::uint16_t>(runtimes.size());
            runtimes.push_back(std::move(runtime));
        }
        routes.push_back(route);
    }
    m_view = std::make_shared<const ServiceView>(m_map, inForceMap(), std::move(routes),
                                                 std::move(runtimes), std::move(known),
                                                 m_roster->idleLimit);
}

std::bitset<version::BucketCount> ServiceTable::routedBuckets(const ServiceView::Statuses &statuses)
{
    for (std::uint32_t index = 0; index < version::BucketCount; ++index) {
        const auto entry = m_map->entry(BucketIndex(index));
        const auto status = statuses.find(entry.defaultUpstream);
        if (!entry.transitional && (status == statuses.end() || !isUsable(status->second))) {
            m_divertedBuckets.set(index);
        }
    }
    return m_map->transitional() | m_divertedBuckets;
}

std::pair<BucketOwners, std::shared_ptr<BucketRuntime>>
ServiceTable::routeBucket(BucketIndex bucket, const OwnershipView &ownership, bool membersChanged,
                          TimePoint now)
{
    const auto *former = m_view ? m_view->route(bucket) : nullptr;
    const bool needsUpdate = membersChanged || former == nullptr;
    auto after = former == nullptr
            ? ownership.members->bucketOwners(m_service, bucket).value_or(BucketOwners {})
            : former->owners();
    if (former != nullptr && membersChanged) {
        after = ownersAfter(m_service, bucket, after, ownership.change, *ownership.members);
    }
    auto known = m_runtimes.find(bucket);
    if (known == m_runtimes.end()) {
        if (!isOwner(after, ownership.self)) {
            return { after, nullptr };
        }
        known = m_runtimes.emplace(bucket, std::make_shared<BucketRuntime>()).first;
        known->second->lastDefaultUse = now.time_since_epoch().count();
        known->second->owners = former == nullptr ? after : former->owners();
        updateHandovers(*known->second, bucket, after, ownership, now);
    } else if (needsUpdate) {
        updateHandovers(*known->second, bucket, after, ownership, now);
    }
    return { after, known->second };
}

ServiceView::Statuses ServiceTable::statuses(const Outages &outages) const
{
    ServiceView::Statuses known;
    for (const auto &upstream : m_roster->upstreams) {
        known.emplace(upstream.id, statusOf(upstream, outages));
    }
    return known;
}

IdleBucketReport ServiceTable::idleReport(InstanceId self, const OverrideStore &overrides,
                                          TimePoint now) const
{
    IdleBucketReport report;
    if (!m_map || m_mapsByVersion.size() != 1 || !inForceMap()) {
        return report;
    }
    report.service = m_service;
    report.revision = m_map->settledRevision();
    report.rosterVersion = m_map->rosterVersion();
    for (const auto &[bucket, runtime] : m_runtimes) {
        const auto entry = m_map->entry(bucket);
        if (!entry.transitional || runtime->owners.first != self
            || !hasAllOverrides(*runtime, m_roster->idleLimit, now)) {
            continue;
        }
        if (now - withoutDefaultUseSince(*runtime, m_roster->idleLimit) > m_roster->idleLimit) {
            report.buckets.push_back(bucket);
        }
        if (!overrides.hasOtherUpstream({ m_service, bucket }, entry.openUpstream)) {
            report.clean.push_back(bucket);
        }
    }
    return report;
}

void ServiceTable::takeHandovers(const OverrideStore &overrides, std::size_t &budget, TimePoint now,
                                 std::vector<OverrideBatch> &batches)
{
    for (auto &[bucket, runtime] : m_runtimes) {
        if (budget == 0) {
            return;
        }
        const InstanceId source(runtime->source.load());
        // Two instances that await each other's handover exchange the overrides that they hold.
        const bool isMutual =
                std::ranges::find(runtime->pendingHandovers, source, &PendingHandover::receiver)
                != runtime->pendingHandovers.end();
        if (!runtime->pendingHandovers.empty()
            && (isMutual || hasAllOverrides(*runtime, m_roster->idleLimit, now))) {
            appendBatches(bucket, *runtime, overrides, budget, batches);
        }
    }
}

void ServiceTable::appendBatches(BucketIndex bucket, BucketRuntime &runtime,
                                 const OverrideStore &overrides, std::size_t &budget,
                                 std::vector<OverrideBatch> &batches) const
{
    for (auto &pending : runtime.pendingHandovers) {
        if (budget == 0) {
            break;
        }
        const auto records = overrides.list({ m_service, bucket }, pending.cursor, budget);
        OverrideBatch batch {
            pending.receiver, m_service, bucket, {}, records.size() < budget, {}
        };
        if (batch.complete) {
            batch.recentUpstreams = recentOpenUpstreams(bucket);
        }
        std::ranges::transform(records, std::back_inserter(batch.records), [](const auto &record) {
            return OverrideBatch::Record { record.flow, record.upstream };
        });
        if (!records.empty()) {
            pending.cursor = records.back().flow;
        }
        // An empty batch is a message too, so it counts as one record.
        budget -= std::min(budget, std::max<std::size_t>(records.size(), 1));
        batches.push_back(std::move(batch));
    }
    const auto isSent = [&](const PendingHandover &pending) {
        return std::ranges::any_of(batches, [&](const auto &batch) {
            return batch.complete && batch.receiver == pending.receiver && batch.bucket == bucket
                    && batch.service == m_service;
        });
    };
    std::erase_if(runtime.pendingHandovers, isSent);
    runtime.isHandoverToFirstPending =
            std::ranges::any_of(runtime.pendingHandovers, [&](const auto &pending) {
                return pending.receiver == runtime.owners.first;
            });
}

void ServiceTable::acceptHandover(const OverrideBatch &batch, OverrideStore &overrides,
                                  TimePoint now)
{
    const auto found = m_runtimes.find(batch.bucket);
    const bool isAwaiting = found != m_runtimes.end() && found->second->source.load() != 0;
    for (const auto &record : batch.records) {
        if (isAwaiting) {
            // The next packet of the flow refreshes the record of the other owner, which may be
            // about to expire.
            overrides.assign({ m_service, batch.bucket }, { record.flow, record.upstream }, now,
                             false);
        } else {
            overrides.insert({ m_service, batch.bucket }, { record.flow, record.upstream }, now);
        }
    }
    for (const auto upstream : batch.recentUpstreams) {
        const auto entry = m_map ? m_map->entry(batch.bucket) : version::BucketEntry {};
        if (entry.transitional && upstream != entry.openUpstream
            && upstream != entry.defaultUpstream) {
            m_recentUpstreams.addOldest(batch.bucket, upstream);
        }
    }
    if (isAwaiting && batch.complete) {
        found->second->source = 0;
        found->second->lastDefaultUse = now.time_since_epoch().count();
    }
}

void ServiceTable::takeHandoverRequests(InstanceId self, const OverrideStore &overrides,
                                        std::size_t maxRequests, TimePoint now,
                                        std::vector<HandoverRequest> &requests)
{
    for (auto &[bucket, runtime] : m_runtimes) {
        if (requests.size() >= maxRequests) {
            return;
        }
        const InstanceId source(runtime->source.load());
        if (source == InstanceId(0) || !isOwner(runtime->owners, self)
            || now - runtime->lastRequest < HandoverRetryInterval) {
            continue;
        }
        const TimePoint since { common::Duration(runtime->sourceSetAt.load()) };
        if (runtime->awaitsFallback && now - since > FallbackTimeout) {
            setOverrideSource(*runtime, std::nullopt, now);
            runtime->lastDefaultUse = now.time_since_epoch().count();
            continue;
        }
        runtime->lastRequest = now;
        const auto digest = overrides.digest({ m_service, bucket });
        requests.push_back({ source, m_service, bucket, digest.count, digest.hash });
        const auto other = otherOwner(runtime->owners, self);
        if (other && *other != source) {
            requests.push_back({ *other, m_service, bucket, digest.count, digest.hash });
        }
    }
}

bool ServiceTable::acceptHandoverRequest(InstanceId self, InstanceId sender,
                                         const HandoverRequest &request,
                                         const OverrideStore &overrides, TimePoint now)
{
    const auto found = m_runtimes.find(request.bucket);
    if (found == m_runtimes.end()) {
        // A settled bucket has no overrides to hand over.
        return m_view && m_view->route(request.bucket) == nullptr;
    }
    auto &runtime = *found->second;
    const bool mayHoldOverrides =
            isOwner(runtime.owners, self) || runtime.isCompleteFormerOwner.load();
    const bool isMutual = runtime.source.load() == sender.value();
    if (!mayHoldOverrides || !(isMutual || hasAllOverrides(runtime, m_roster->idleLimit, now))) {
        return false;
    }
    if (overrides.digest({ m_service, request.bucket })
        == OverrideStore::Digest { request.count, request.hash }) {
        return true;
    }
    const auto known =
            std::ranges::find(runtime.pendingHandovers, sender, &PendingHandover::receiver);
    if (known == runtime.pendingHandovers.end()) {
        runtime.pendingHandovers.push_back({ sender, std::nullopt });
        runtime.isHandoverToFirstPending =
                runtime.isHandoverToFirstPending || runtime.owners.first == sender;
    }
    return false;
}

std::vector<UpstreamId> ServiceTable::searchCandidates(BucketIndex bucket) const
{
    const auto entry = m_map->entry(bucket);
    std::vector<UpstreamId> candidates { entry.openUpstream, entry.defaultUpstream };
    std::ranges::copy(m_recentUpstreams.of(bucket), std::back_inserter(candidates));
    return candidates;
}

std::vector<UpstreamId> ServiceTable::recentOpenUpstreams(BucketIndex bucket) const
{
    auto openUpstreams = m_map ? searchCandidates(bucket) : std::vector<UpstreamId>();
    std::erase_if(openUpstreams, [&](UpstreamId upstream) {
        return upstream == m_map->entry(bucket).defaultUpstream || upstream == UpstreamId(0);
    });
    return openUpstreams;
}

const BucketRuntime *ServiceTable::runtime(BucketIndex bucket) const
{
    const auto found = m_runtimes.find(bucket);
    return found == m_runtimes.end() ? nullptr : found->second.get();
}

} // namespace banyanwall::connection
