#include "common/hash.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

using banyanwall::common::hashPair;

namespace {

template<typename Hash>
bool collides(const Hash &hash)
{
    std::vector<std::uint64_t> hashes;
    for (std::uint64_t value = 0; value < 200'000; ++value) {
        hashes.push_back(hash(value));
    }
    std::ranges::sort(hashes);
    return std::ranges::adjacent_find(hashes) != hashes.end();
}

} // namespace

TEST_GROUP(Hash) {};

// Guards against two requests or flows of one caller with the same key, which would get each
// other's answers. Callers choose consecutive ids.
TEST(Hash, consecutiveValuesDoNotCollide)
{
    for (const std::uint64_t other : { 0ULL, 1ULL, 7ULL, 20'260'101ULL, 0x72657175657375ULL }) {
        CHECK_FALSE(collides([=](std::uint64_t value) { return hashPair(value, other); }));
        CHECK_FALSE(collides([=](std::uint64_t value) { return hashPair(other, value); }));
    }
}

// Guards against equal keys when two values are exchanged.
TEST(Hash, orderOfArgumentsMatters)
{
    CHECK_TRUE(hashPair(1, 2) != hashPair(2, 1));
    CHECK_TRUE(hashPair(0, 1) != hashPair(1, 0));
}
