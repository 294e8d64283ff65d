#include "connection/ownerchange.h"

#include <random>

#include <CppUTest/TestHarness.h>

using namespace banyanwall;
using common::BucketIndex;
using common::InstanceId;
using common::ServiceId;
using connection::BucketOwners;
using connection::Member;
using connection::OwnerSelector;

namespace {

constexpr ServiceId Service { 77 };

bool isEqual(const BucketOwners &left, const BucketOwners &right)
{
    return left.first == right.first && left.second == right.second;
}

/// Adds, removes or changes up to three members.
std::vector<Member> withRandomChanges(std::vector<Member> members, std::mt19937_64 &random)
{
    for (auto steps = 1 + random() % 3; steps > 0; --steps) {
        const auto choice = random() % 4;
        if (choice == 0 && members.size() > 1) {
            members.erase(members.begin() + static_cast<std::ptrdiff_t>(random() % members.size()));
        } else if (choice == 1) {
            members[random() % members.size()].leaving = random() % 2 == 0;
        } else {
            const InstanceId id(static_cast<std::uint32_t>(random()));
            members.push_back({ id, common::ZoneId(1 + random() % 3), false });
        }
    }
    return members;
}

} // namespace

TEST_GROUP(OwnerChange) {};

// Guards against instances that disagree on the owners of a bucket: one updates its owners with
// each change of the members, the other one has just started and computes them from the present
// members.
TEST(OwnerChange, updatedOwnersEqualThoseOfAFreshSelector)
{
    std::mt19937_64 random(5);
    for (int run = 0; run < 40; ++run) {
        std::vector<Member> members { { InstanceId(1), common::ZoneId(1), false } };
        OwnerSelector selector(members);
        std::vector<BucketOwners> owners;
        for (std::uint32_t bucket = 0; bucket < 64; ++bucket) {
            owners.push_back(*selector.bucketOwners(Service, BucketIndex(bucket)));
        }
        for (int step = 0; step < 30; ++step) {
            members = withRandomChanges(members, random);
            const OwnerSelector next(members);
            const auto change = connection::memberChange(selector, next);
            for (std::uint32_t bucket = 0; bucket < owners.size(); ++bucket) {
                const BucketIndex index(bucket);
                owners[bucket] =
                        connection::ownersAfter(Service, index, owners[bucket], change, next);
                CHECK_TRUE(isEqual(owners[bucket], *next.bucketOwners(Service, index)));
            }
            selector = next;
        }
    }
}

// Guards against two senders of one handover, and against a new owner that awaits no handover or
// one from a dead instance.
TEST(OwnerChange, oneFormerOwnerHandsOver)
{
    const BucketOwners before { InstanceId(1), InstanceId(2) };
    const BucketOwners after { InstanceId(3), InstanceId(2) };
    const auto all = [](InstanceId) { return true; };
    const auto receivers = [&](std::uint32_t self, const BucketOwners &next) {
        return connection::ownerChange(InstanceId(self), before, next, all).receivers;
    };
    CHECK_TRUE(receivers(1, after).empty());
    CHECK_TRUE(receivers(2, after) == std::vector { InstanceId(3) });
    CHECK_TRUE(connection::ownerChange(InstanceId(3), before, after, all).source == InstanceId(2));

    const BucketOwners both { InstanceId(3), InstanceId(4) };
    CHECK_TRUE(receivers(1, both) == (std::vector { InstanceId(3), InstanceId(4) }));
    CHECK_TRUE(receivers(2, both).empty());
    const auto firstDead = [](InstanceId id) { return id != InstanceId(1); };
    CHECK_TRUE(connection::ownerChange(InstanceId(4), before, both, firstDead).source
               == InstanceId(2));
    const auto bothDead = [](InstanceId id) { return id.value() > 2; };
    CHECK_FALSE(connection::ownerChange(InstanceId(4), before, both, bothDead).source.has_value());
}
