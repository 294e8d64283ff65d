#include "connection/ownerselector.h"

#include "common/hash.h"

#include <algorithm>

namespace banyanwall::connection {

namespace {

// Separate seeds make the choices for the four roles independent of each other.
constexpr std::uint64_t BucketSeed = 0x6275636b6574;
constexpr std::uint64_t UpstreamSeed = 0x757073747265;
constexpr std::uint64_t RequestSeed = 0x726571756573;
constexpr std::uint64_t PlannerSeed = 0x706c616e6e65;

std::uint64_t weightOf(const Member &member, std::uint64_t key)
{
    return common::hashPair(member.id.value(), key);
}

/// Member of the highest weight among those that satisfy accept. A leaving member is chosen only
/// when all of them are leaving.
template<typename Accept>
const Member *highestRanked(const std::vector<Member> &members, std::uint64_t key,
                            const Accept &accept)
{
    const Member *chosen = nullptr;
    std::uint64_t chosenWeight = 0;
    for (const auto &member : members) {
        if (!accept(member) || (chosen != nullptr && member.leaving && !chosen->leaving)) {
            continue;
        }
        const auto weight = weightOf(member, key);
        const bool replacesLeaving = chosen != nullptr && chosen->leaving && !member.leaving;
        if (chosen == nullptr || replacesLeaving || weight > chosenWeight) {
            chosen = &member;
            chosenWeight = weight;
        }
    }
    return chosen;
}

std::optional<common::InstanceId> idOf(const Member *member)
{
    return member == nullptr ? std::nullopt : std::optional(member->id);
}

constexpr auto AnyMember = [](const Member &) { return true; };

} // namespace

OwnerSelector::OwnerSelector(std::vector<Member> members)
    : m_members(std::move(members))
{ }

std::optional<BucketOwners> OwnerSelector::bucketOwners(common::ServiceId service,
                                                        common::BucketIndex bucket) const
{
    const auto key = common::hashPair(BucketSeed ^ service.value(), bucket.value());
    const auto *first = highestRanked(m_members, key, AnyMember);
    if (first == nullptr) {
        return std::nullopt;
    }
    const auto inOtherZone = [&](const Member &member) {
        return member.zone != first->zone && !member.leaving;
    };
    const auto *second = highestRanked(m_members, key, inOtherZone);
    if (second == nullptr) {
        second = highestRanked(m_members, key,
                               [&](const Member &member) { return member.id != first->id; });
    }
    return BucketOwners { first->id, idOf(second) };
}

std::optional<common::InstanceId> OwnerSelector::upstreamOwner(common::UpstreamId upstream,
                                                               common::ZoneId zone) const
{
    const auto key = common::hashPair(UpstreamSeed, upstream.value());
    const auto *local = highestRanked(m_members, key,
                                      [&](const Member &member) { return member.zone == zone; });
    return idOf(local != nullptr && !local->leaving ? local
                                                    : highestRanked(m_members, key, AnyMember));
}

std::optional<common::InstanceId> OwnerSelector::coordinator(common::RequestKey request) const
{
    return idOf(
            highestRanked(m_members, common::hashPair(RequestSeed, request.value()), AnyMember));
}

std::optional<common::InstanceId> OwnerSelector::planner(common::CustomerId customer) const
{
    return idOf(
            highestRanked(m_members, common::hashPair(PlannerSeed, customer.value()), AnyMember));
}

} // namespace banyanwall::connection
