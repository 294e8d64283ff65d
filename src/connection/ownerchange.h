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
    /// Former members that have departed or changed.
    std::set<common::InstanceId> removed;
    /// All members of the later view.
    std::map<common::InstanceId, Member> members;
};

[[nodiscard]] MemberChange memberChange(const OwnerSelector &before, const OwnerSelector &after);

/// Owners of a bucket in the later view. Equal to the result of OwnerSelector::bucketOwners, but
/// all members are hashed only when a former owner has departed, changed or is leaving, or both
/// owners share a zone.
[[nodiscard]] BucketOwners ownersAfter(common::ServiceId service, common::BucketIndex bucket,
                                       const BucketOwners &former, const MemberChange &change,
                                       const OwnerSelector &after);

/// What a change of the owners of one bucket means for one instance.
struct OwnerChange
{
    /// Instance that hands over the overrides when self has become an owner; otherwise empty.
    std::optional<common::InstanceId> source;
    /// The other former owner if it is live; it holds the same overrides as source.
    std::optional<common::InstanceId> fallback;
    /// New owners that self has to send its overrides to.
    std::vector<common::InstanceId> receivers;
};

[[nodiscard]] bool isOwner(const BucketOwners &owners, common::InstanceId instance);
/// The owner that is not the given instance.
[[nodiscard]] std::optional<common::InstanceId> otherOwner(const BucketOwners &owners,
                                                           common::InstanceId instance);

/// A live former owner that remains an owner sends the handover, or else the first live former
/// owner. Without a live former owner the overrides are lost and no instance waits for them.
[[nodiscard]] OwnerChange ownerChange(common::InstanceId self, const BucketOwners &before,
                                      const BucketOwners &after,
                                      const std::function<bool(common::InstanceId)> &isLive);

} // namespace banyanwall::connection
