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

} // namespace

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
    }
    return change;
}

} // namespace banyanwall::connection
