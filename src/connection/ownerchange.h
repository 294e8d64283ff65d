#pragma once

#include "common/ids.h"
#include "connection/ownerselector.h"

#include <functional>
#include <optional>
#include <vector>

namespace banyanwall::connection {

/// Consequences of a change of owners of one bucket for one instance.
struct OwnerChange
{
    /// Instance that holds the overrides when self has become an owner.
    std::optional<common::InstanceId> source;
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
