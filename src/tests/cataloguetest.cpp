#include "version/catalogue.h"

#include <CppUTest/TestHarness.h>

using namespace banyanwall;
using version::Catalogue;

namespace {

Catalogue::Document document(const std::string &key, std::uint64_t version)
{
    Catalogue::Document document;
    document.set_key(key);
    document.set_version(version);
    document.set_value(key + std::to_string(version));
    return document;
}

} // namespace

TEST_GROUP(Catalogue)
{
    Catalogue first;
    Catalogue second;
};

// Guards against a late or duplicate message that reverts an accepted contract.
TEST(Catalogue, lowerOrEqualVersionIsIgnored)
{
    CHECK_TRUE(first.put(document("contracts/a", 2)));
    CHECK_FALSE(first.put(document("contracts/a", 2)));
    CHECK_FALSE(first.put(document("contracts/a", 1)));
    LONGS_EQUAL(2, first.find("contracts/a")->version());
    STRCMP_EQUAL("contracts/a2", first.find("contracts/a")->value().c_str());
}

// Guards against digests that depend on the order in which documents arrived: instances with equal
// catalogues would send each other documents for ever.
TEST(Catalogue, digestDependsOnContentOnly)
{
    first.put(document("contracts/a", 1));
    first.put(document("zones", 3));
    first.put(document("contracts/a", 2));
    second.put(document("contracts/a", 2));
    CHECK_FALSE(first.digest() == second.digest());
    second.put(document("zones", 3));
    CHECK_TRUE(first.digest() == second.digest());
}

// Guards against a document of version 0, which would change the digest but is never sent as newer.
TEST(Catalogue, ignoresVersionZero)
{
    CHECK_FALSE(first.put(document("contracts/a", 0)));
    POINTERS_EQUAL(nullptr, first.find("contracts/a"));
    CHECK_TRUE(first.versions().empty());
}

// Guards against a synchronisation that sends documents the peer has, or omits those it lacks.
TEST(Catalogue, newerThanFindsDocumentsThePeerLacks)
{
    first.put(document("contracts/a", 2));
    first.put(document("contracts/b", 1));
    second.put(document("contracts/a", 1));
    second.put(document("zones", 1));
    const auto newer = first.newerThan(second.versions());
    LONGS_EQUAL(2, newer.size());
    CHECK_TRUE(first.isBehind(second.versions()));
    for (const auto &missed : newer) {
        second.put(missed);
    }
    CHECK_FALSE(second.isBehind(first.versions()));
    LONGS_EQUAL(1, second.newerThan(first.versions()).size());
}
