#include "connection/ownerchange.h"

#include <algorithm>
#include <iterator>

namespace banyanwall::connection {

using common::InstanceId;

namespace {

std::vector<InstanceId> listOf(const BucketOwners &owners)
{
    std::vector<InstanceId> list;
    for (const auto owner : { owners.first, owners.second.value_or(InstanceId(0)) }) {
        if (owner != InstanceId(0)) {
            list.push_back(owner);
        }
    }
    return list;
}

bool hasSameZoneAndLeaving(const Member &left, const Member &right)
{
    return left.zone == right.zone && left.leaving == right.leaving;
}

std::map<InstanceId, Member> byId(const OwnerSelector &selector)
{
    std::map<InstanceId, Member> members;
    std::ranges::for_each(selector.members(),
                          [&](const auto &member) { members.emplace(member.id, member); });
    return members;
}

/// True when the owners are unchanged members of two zones and neither is leaving. They are then
/// the highest-ranked ones, and only a new or changed member can displace them.
bool areUnaffected(const BucketOwners &owners, const MemberChange &change)
{
    if (!owners.second) {
        return false;
    }
    const auto first = change.members.find(owners.first);
    const auto second = change.members.find(*owners.second);
    return first != change.members.end() && second != change.members.end()
            && !change.removed.contains(owners.first) && !change.removed.contains(*owners.second)
            && !first->second.leaving && !second->second.leaving
            && first->second.zone != second->second.zone;
}

} // namespace

MemberChange memberChange(const OwnerSelector &before, const OwnerSelector &after)
{
    const auto former = byId(before);
    MemberChange change { {}, {}, byId(after) };
    for (const auto &[id, member] : change.members) {
        const auto known = former.find(id);
        if (known == former.end() || !hasSameZoneAndLeaving(known->second, member)) {
            change.added.push_back(member);
        }
    }
    for (const auto &[id, member] : former) {
        const auto known = change.members.find(id);
        if (known == change.members.end() || !hasSameZoneAndLeaving(known->second, member)) {
            change.removed.insert(id);
        }
    }
    return change;
}

BucketOwners ownersAfter(common::ServiceId service, common::BucketIndex bucket,
                         const BucketOwners &former, const MemberChange &change,
                         const OwnerSelector &after)
{
    if (!areUnaffected(former, change)) {
        return after.bucketOwners(service, bucket).value_or(BucketOwners {});
    }
    if (change.added.empty()) {
        return former;
    }
    std::vector<Member> candidates { change.members.at(former.first),
                                     change.members.at(*former.second) };
    std::ranges::copy(change.added, std::back_inserter(candidates));
    return *OwnerSelector(std::move(candidates)).bucketOwners(service, bucket);
}

bool isOwner(const BucketOwners &owners, InstanceId instance)
{
    return owners.first == instance || owners.second == instance;
}

std::optional<InstanceId> otherOwner(const BucketOwners &owners, InstanceId instance)
{
    return owners.first == instance ? owners.second : std::optional(owners.first);
}

OwnerChange ownerChange(InstanceId self, const BucketOwners &before, const BucketOwners &after,
                        const std::function<bool(InstanceId)> &isLive)
{
    const auto former = listOf(before);
    const auto owners = listOf(after);
    auto sender = std::ranges::find_if(
            former, [&](InstanceId owner) { return isLive(owner) && isOwner(after, owner); });
    if (sender == former.end()) {
        sender = std::ranges::find_if(former, isLive);
    }
    OwnerChange change;
    if (sender == former.end()) {
        return change;
    }
    if (*sender == self) {
        std::ranges::copy_if(owners, std::back_inserter(change.receivers),
                             [&](InstanceId owner) { return !isOwner(before, owner); });
    } else if (isOwner(after, self) && !isOwner(before, self)) {
        change.source = *sender;
        const auto other = otherOwner(before, *sender);
        change.fallback = other && isLive(*other) ? other : std::nullopt;
    }
    return change;
}

} // namespace banyanwall::connection
