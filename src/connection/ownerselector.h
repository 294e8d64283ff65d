#pragma once

#include "common/ids.h"

#include <optional>
#include <vector>

namespace banyanwall::connection {

struct Member
{
    common::InstanceId id;
    common::ZoneId zone;
    /// The member is about to stop. It gives up its roles and is chosen for a role only when there
    /// is no other candidate.
    bool leaving = false;
};

struct BucketOwners
{
    common::InstanceId first;
    /// In another availability zone than first if possible; empty when first is the only member.
    std::optional<common::InstanceId> second;
};

/// Chooses owners by rendezvous hashing over one immutable view of the live members.
class OwnerSelector
{
public:
    explicit OwnerSelector(std::vector<Member> members);

    [[nodiscard]] std::optional<BucketOwners> bucketOwners(common::ServiceId service,
                                                           common::BucketIndex bucket) const;
    /// Prefers members of the upstream's zone that are not leaving.
    [[nodiscard]] std::optional<common::InstanceId> upstreamOwner(common::UpstreamId upstream,
                                                                  common::ZoneId zone) const;
    [[nodiscard]] std::optional<common::InstanceId> coordinator(common::RequestKey request) const;
    [[nodiscard]] std::optional<common::InstanceId> planner(common::CustomerId customer) const;

    [[nodiscard]] const std::vector<Member> &members() const { return m_members; }

private:
    std::vector<Member> m_members;
};

} // namespace banyanwall::connection
