#pragma once

#include "common/ids.h"
#include "connection/ownerselector.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace banyanwall::connection {

/// Difference between two views of the members.
struct MemberChange
{
    /// New members, and members whose zone or leaving flag has changed.
    std::vector<Member> added;
    /// Former members that are gone or have changed.
    std::set<common::InstanceId> removed;
    /// All members of the later view.
    std::map<common::InstanceId, Member> members;
};

[[nodiscard]] MemberChange memberChange(const OwnerSelector &before, const OwnerSelector &after);

/// Owners of a bucket in the later view. Gives the result of OwnerSelector::bucketOwners without
/// hashing all members, unless one of the former owners is affected.
[[nodiscard]] BucketOwners ownersAfter(common::ServiceId service, common::BucketIndex bucket,
                                       const BucketOwners &former, const MemberChange &change,
                                       const OwnerSelector &after);

/// Consequences of a change of owners of one bucket for one instance.
struct OwnerChange
{
    /// Instance that holds the overrides when self has become an owner.
    std::optional<common::InstanceId> source;
    /// The other live former owner, which holds the same overrides.
    std::optional<common::InstanceId> fallback;
    /// New owners that self has to send its overrides to.
    std::vector<common::InstanceId> receivers;
};

[[nodiscard]] bool isOwner(const BucketOwners &owners, common::InstanceId instance);
/// The owner that is not the given instance.
[[nodiscard]] std::optional<common::InstanceId> otherOwner(const BucketOwners &owners,
                                                           common::InstanceId instance);

/// The sender of a handover is a former owner that stays owner, or else the first live former
/// owner. Without a live former owner the overrides are lost and nobody waits for them.
[[nodiscard]] OwnerChange ownerChange(common::InstanceId self, const BucketOwners &before,
                                      const BucketOwners &after,
                                      const std::function<bool(common::InstanceId)> &isLive);

} // namespace banyanwall::connection
