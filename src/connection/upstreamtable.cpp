#include "connection/upstreamtable.h"

#include "common/hash.h"

#include <algorithm>
#include <tuple>
#include <unordered_set>

namespace banyanwall::connection {

using common::FlowToken;
using common::TimePoint;
using common::UpstreamSerial;
using version::EntryKind;

namespace {

// No flow on the fabric lasts longer.
constexpr std::chrono::seconds MaxFlowLifetime { 60 };
// An upstream that restarted may have opened new flows before the first retransmission was seen.
// Older flows belong to the incarnation before the restart.
constexpr std::chrono::milliseconds MinOldFlowAge { 1'000 };
constexpr std::chrono::minutes MaxAssumedRestartAge { 10 };
// Instances drop reports that waited for longer.
constexpr std::chrono::milliseconds MaxReportDelay { 1'000 };
// Bounds the memory that reports of other instances can take; more than all upstreams of a zone.
constexpr std::size_t MaxAssumedRestarts = 4'096;

} // namespace

FlowToken tokenOf(UpstreamSerial serial)
{
    const auto token = static_cast<std::uint32_t>(common::mixBits(serial.value()));
    return FlowToken(token == 0 ? 1 : token);
}

bool AssumedRestart::isRefutedBy(TimePoint openSince) const
{
    return openSince + MinOldFlowAge <= silentSince;
}

bool AssumedRestart::isShownBy(TimePoint confirmedAt) const
{
    // Behind a path that failed, an upstream rarely restarts just before it responds again.
    const auto delay = isPathSuspected ? common::Duration {} : MaxRecordDelay;
    return respondedAt + delay < confirmedAt;
}

UpstreamTable::UpstreamTable(std::uint64_t instance)
    : m_instance(instance)
{ }

void UpstreamTable::update(const version::Directory &directory,
                           const std::vector<version::EntryKey> &changed, TimePoint now)
{
    for (const auto &key : changed) {
        const auto found = directory.entries().find(key);
        if (found == directory.entries().end()) {
            continue;
        }
        switch (key.kind) {
        case EntryKind::Upstream:
            updateUpstream(found->second, key, now);
            break;
        case EntryKind::Withdrawal:
            updateWithdrawal(found->second, common::ZoneId(static_cast<std::uint32_t>(key.id)),
                             now);
            break;
        case EntryKind::Rules:
            updateRules(directory);
            break;
        case EntryKind::Member:
            break;
        }
    }
}

void UpstreamTable::removeExpired(TimePoint now)
{
    // Reports may name upstreams that no directory ever holds.
    std::erase_if(m_assumedRestarts, [&](const auto &item) {
        return now - item.second.restart.respondedAt > MaxAssumedRestartAge;
    });
    std::erase_if(m_upstreams, [&](const auto &item) {
        const auto &upstream = *item.second;
        const bool isExpired = !upstream.isRegistered && now - upstream.removedAt > MaxFlowLifetime;
        if (isExpired) {
            m_tokens.erase(version::keyOf(upstream.record).id);
            removeFromGroup(upstream);
        }
        return isExpired;
    });
}

TrackedUpstream *UpstreamTable::find(FlowToken token)
{
    const auto found = m_upstreams.find(token);
    return found == m_upstreams.end() ? nullptr : found->second.get();
}

const UpstreamTable::Group &UpstreamTable::ofService(common::ServiceId service) const
{
    static const Group empty;
    const auto found = m_groups.find(service);
    return found == m_groups.end() ? empty : found->second;
}

bool UpstreamTable::isWithdrawn(common::ZoneId zone) const
{
    return m_withdrawnAt.contains(zone);
}

std::optional<TimePoint> UpstreamTable::withdrawnAt(common::ZoneId zone) const
{
    const auto found = m_withdrawnAt.find(zone);
    return found == m_withdrawnAt.end() ? std::nullopt : std::optional(found->second);
}

std::vector<common::ZoneId> UpstreamTable::usableZones() const
{
    std::vector<common::ZoneId> zones;
    for (const auto &[token, upstream] : m_upstreams) {
        const auto &record = upstream->record;
        const bool isUsable =
                upstream->isRegistered && !record.draining && !isWithdrawn(record.zone);
        if (isUsable && std::ranges::find(zones, record.zone) == zones.end()) {
            zones.push_back(record.zone);
        }
    }
    return zones;
}

std::vector<common::ZoneId> UpstreamTable::zonesToReport(TimePoint now)
{
    std::vector<common::ZoneId> zones;
    for (auto &[zone, health] : m_zoneHealth) {
        if (health.takeDueReport(now)) {
            zones.push_back(zone);
        }
    }
    return zones;
}

ZoneHealth &UpstreamTable::zoneHealth(common::ZoneId zone)
{
    const auto [health, isNew] = m_zoneHealth.try_emplace(zone);
    if (isNew) {
        health->second.setHasPeers(m_hasPeers);
    }
    return health->second;
}

void UpstreamTable::setHasPeers(bool hasPeers)
{
    m_hasPeers = hasPeers;
    for (auto &[zone, health] : m_zoneHealth) {
        health.setHasPeers(hasPeers);
    }
}

void UpstreamTable::recordResponse(common::ZoneId zone, TimePoint now)
{
    for (auto &[other, health] : m_zoneHealth) {
        if (other != zone) {
            health.onOtherZoneResponse();
        }
    }
    zoneHealth(zone).onResponse(now);
}

bool UpstreamTable::assumeRestart(const AssumedRestart &restart)
{
    const auto known = m_assumedRestarts.find(restart.upstream);
    if (known == m_assumedRestarts.end()) {
        if (m_assumedRestarts.size() >= MaxAssumedRestarts) {
            return false;
        }
    } else if (restart.silentSince <= known->second.restart.respondedAt + MaxReportDelay) {
        // Another instance saw the same restart. Reports hold ages, so that the times that follow
        // from them are late by the time that the report took.
        return false;
    }
    m_assumedRestarts[restart.upstream] = { restart };
    if (auto *upstream = find(tokenOf(restart.upstream));
        upstream != nullptr && upstream->record.serial == restart.upstream) {
        updateAssumedCold(*upstream);
    }
    return true;
}

void UpstreamTable::onResponse(const TrackedUpstream &upstream, TimePoint openSince)
{
    const auto known = m_assumedRestarts.find(upstream.record.serial);
    if (known == m_assumedRestarts.end() || !known->second.restart.isRefutedBy(openSince)) {
        return;
    }
    known->second.isRefuted = true;
    if (auto *tracked = find(upstream.token)) {
        updateAssumedCold(*tracked);
    }
}

void UpstreamTable::confirmRecords(TimePoint confirmedAt)
{
    std::erase_if(m_assumedRestarts, [&](const auto &item) {
        const bool isConfirmed = item.second.restart.isShownBy(confirmedAt);
        if (auto *upstream = find(tokenOf(item.first)); isConfirmed && upstream != nullptr) {
            upstream->assumedColdUntil = {};
        }
        return isConfirmed;
    });
}

std::vector<AssumedRestart> UpstreamTable::assumedRestarts(TimePoint now)
{
    std::vector<AssumedRestart> restarts;
    for (const auto &[serial, state] : m_assumedRestarts) {
        const auto *upstream = find(tokenOf(serial));
        if (upstream != nullptr && now < upstream->assumedColdUntil) {
            restarts.push_back(state.restart);
        }
    }
    return restarts;
}

void UpstreamTable::updateAssumedCold(TrackedUpstream &upstream)
{
    const auto known = m_assumedRestarts.find(upstream.record.serial);
    const auto *rules = serviceRules(upstream.record.service);
    const bool isAssumed =
            known != m_assumedRestarts.end() && !known->second.isRefuted && rules != nullptr;
    upstream.assumedColdUntil =
            isAssumed ? known->second.restart.respondedAt + rules->coldPeriod : TimePoint();
}

std::vector<UpstreamSerial> UpstreamTable::setOutliers(const std::vector<FlowToken> &outliers)
{
    const std::unordered_set<FlowToken> marked(outliers.begin(), outliers.end());
    std::vector<UpstreamSerial> added;
    for (auto &[token, upstream] : m_upstreams) {
        const bool isOutlier = marked.contains(token);
        if (isOutlier && !upstream->isOutlier) {
            added.push_back(upstream->record.serial);
        }
        upstream->isOutlier = isOutlier;
    }
    return added;
}

void UpstreamTable::expediteProbes(common::ZoneId zone, TimePoint now)
{
    for (auto &[token, upstream] : m_upstreams) {
        if (upstream->record.zone == zone) {
            upstream->health.expediteProbe(now);
        }
    }
}

const version::ServiceRecord *UpstreamTable::serviceRules(common::ServiceId service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : &found->second;
}

UpstreamHealth UpstreamTable::makeHealth(UpstreamSerial serial) const
{
    const auto hash = common::hashPair(m_instance, serial.value());
    return UpstreamHealth(static_cast<double>(hash) / static_cast<double>(UINT64_MAX));
}

void UpstreamTable::updateUpstream(const version::Directory::Entry &entry,
                                   const version::EntryKey &key, TimePoint now)
{
    const auto *record = std::get_if<version::UpstreamRecord>(&entry.value);
    if (record == nullptr) {
        removeUpstream(key, now);
        return;
    }
    auto *known = find(tokenOf(record->serial));
    if (known == nullptr) {
        addUpstream(*record, now);
        return;
    }
    if (isDuplicate(*known, *record)) {
        return;
    }
    m_tokens.erase(version::keyOf(known->record).id);
    m_tokens[key.id] = known->token;
    const bool isNewIncarnation = record->incarnation != known->record.incarnation;
    if (record->service != known->record.service) {
        removeFromGroup(*known);
        m_groups[record->service].push_back(known);
    }
    known->record = *record;
    known->isRegistered = true;
    known->coldUntil = std::max(known->coldUntil, coldUntilOf(*record, now));
    if (isNewIncarnation) {
        known->responseTime = {};
        known->health = makeHealth(record->serial);
    }
}

void UpstreamTable::removeUpstream(const version::EntryKey &key, TimePoint now)
{
    const auto token = m_tokens.find(key.id);
    auto *known = token == m_tokens.end() ? nullptr : find(token->second);
    if (known != nullptr) {
        known->isRegistered = false;
        known->removedAt = now;
    }
}

bool UpstreamTable::isDuplicate(const TrackedUpstream &known, const version::UpstreamRecord &record)
{
    if (known.record.serial != record.serial) {
        // The upstream that was added first keeps the token; the other one gets no flows.
        ++m_tokenCollisions;
        return true;
    }
    // All instances have to agree on one entry, in whatever order they learn of both.
    // The entry of a former start is older, whenever it was created.
    const auto rank = [](const version::UpstreamRecord &upstream) {
        return std::tuple(UINT64_MAX - upstream.incarnation.value(), upstream.createdAt,
                          upstream.entry);
    };
    const bool isOtherEntry = known.record.entry != record.entry;
    if (!isOtherEntry || (known.isRegistered && rank(record) < rank(known.record))) {
        return false;
    }
    ++m_duplicateEntries;
    return true;
}

void UpstreamTable::addUpstream(const version::UpstreamRecord &record, TimePoint now)
{
    auto upstream = std::make_unique<TrackedUpstream>();
    upstream->record = record;
    upstream->token = tokenOf(record.serial);
    upstream->coldUntil = coldUntilOf(record, now);
    upstream->health = makeHealth(record.serial);
    updateAssumedCold(*upstream);
    m_tokens[version::keyOf(record).id] = upstream->token;
    m_groups[record.service].push_back(upstream.get());
    m_upstreams.emplace(upstream->token, std::move(upstream));
}

void UpstreamTable::updateWithdrawal(const version::Directory::Entry &entry, common::ZoneId zone,
                                     TimePoint now)
{
    if (std::holds_alternative<version::WithdrawalRecord>(entry.value)) {
        m_withdrawnAt.try_emplace(zone, now);
        return;
    }
    // The withdrawal itself may be unknown here, when both changes arrived at the same time.
    m_withdrawnAt.erase(zone);
    m_returnedAt[zone] = now;
    for (auto &[token, upstream] : m_upstreams) {
        upstream->coldUntil = std::max(upstream->coldUntil, coldAfterReturnUntil(upstream->record));
    }
}

TimePoint UpstreamTable::coldUntilOf(const version::UpstreamRecord &record, TimePoint now) const
{
    return std::max(now + record.coldFor, coldAfterReturnUntil(record));
}

TimePoint UpstreamTable::coldAfterReturnUntil(const version::UpstreamRecord &record) const
{
    const auto returnedAt = m_returnedAt.find(record.zone);
    const auto *rules = serviceRules(record.service);
    const bool isKnown = returnedAt != m_returnedAt.end() && rules != nullptr;
    return isKnown ? returnedAt->second + rules->coldPeriod : TimePoint();
}

void UpstreamTable::updateRules(const version::Directory &directory)
{
    m_services.clear();
    if (const auto *rules = directory.rules()) {
        for (const auto &service : rules->services) {
            m_services.emplace(service.service, service);
        }
    }
    for (const auto &[serial, state] : m_assumedRestarts) {
        if (auto *upstream = find(tokenOf(serial))) {
            updateAssumedCold(*upstream);
        }
    }
}

void UpstreamTable::removeFromGroup(const TrackedUpstream &upstream)
{
    std::erase(m_groups[upstream.record.service], &upstream);
}

} // namespace banyanwall::connection
