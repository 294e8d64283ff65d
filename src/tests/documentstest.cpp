#include "version/documents.h"

#include <CppUTest/TestHarness.h>

using namespace banyanwall;

namespace {

template<typename T>
void checkError(const common::Result<T> &result, const char *message)
{
    CHECK_FALSE(common::isOk(result));
    STRCMP_EQUAL("invalid_document", common::errorOf(result).code.c_str());
    STRCMP_EQUAL(message, common::errorOf(result).message.c_str());
}

} // namespace

TEST_GROUP(Documents) {};

// Guards against fields of a contract document that are lost in the store.
TEST(Documents, contractRoundTrip)
{
    auto document = version::nextVersion({}, "customer = \"a\"\n", "ana", {});
    document = version::nextVersion(document, document.toml, "rui", { "s/u2", "s/u1" });
    const auto parsed = version::parseContractDocument(version::formatContractDocument(document));
    CHECK_TRUE(common::isOk(parsed));
    const auto &read = common::valueOf(parsed);
    LONGS_EQUAL(2, read.version);
    STRCMP_EQUAL("customer = \"a\"\n", read.toml.c_str());
    STRCMP_EQUAL("rui", read.author.c_str());
    STRCMP_EQUAL("s/u1", read.drainedUpstreams.at(0).c_str());
    LONGS_EQUAL(2, read.history.size());
    STRCMP_EQUAL("ana", read.history.at(0).author.c_str());
}

// Guards against a document that exceeds the store's limit of 1 MB per value.
TEST(Documents, historyKeepsTheLastVersionsThatFit)
{
    version::ContractDocument small;
    version::ContractDocument large;
    for (int edit = 0; edit < 25; ++edit) {
        small = version::nextVersion(small, std::to_string(edit), "ana", {});
        large = version::nextVersion(large, std::string(100'000 + edit, '"'), "ana", {});
    }
    LONGS_EQUAL(25, small.version);
    LONGS_EQUAL(20, small.history.size());
    LONGS_EQUAL(6, small.history.front().version);
    LONGS_EQUAL(25, small.history.back().version);
    LONGS_EQUAL(4, large.history.size());
    CHECK_TRUE(version::formatContractDocument(large).size() <= 1'000'000);
}

// Guards against drains that fill the history with copies of the same text, and against messages
// between instances that contain the history, which instances do not use.
TEST(Documents, equalTextsAreStoredOnce)
{
    auto document = version::nextVersion({}, "first", "ana", {});
    document = version::nextVersion(document, std::string(10'000, 'x'), "ana", {});
    for (int edit = 0; edit < 10; ++edit) {
        document = version::nextVersion(document, document.toml, "ana", { "s/u1" });
    }
    const auto json = version::formatContractDocument(document);
    CHECK_TRUE(json.size() < 12'000);
    const auto read = common::valueOf(version::parseContractDocument(json));
    STRCMP_EQUAL("first", read.history.at(0).toml.c_str());
    CHECK_TRUE(read.history.at(1).toml == document.toml);
    CHECK_TRUE(read.history.at(11).toml == document.toml);
    const auto withoutHistory = common::valueOf(
            version::parseContractDocument(version::formatContractForInstances(document)));
    LONGS_EQUAL(12, withoutHistory.version);
    LONGS_EQUAL(0, withoutHistory.history.size());
    CHECK_TRUE(withoutHistory.toml == document.toml);
}

// Guards against fields of zone states and instance records that are lost in the store.
TEST(Documents, zoneStatesAndInstanceRecordRoundTrip)
{
    const version::ZoneStates states { 7, { { "east", true, 100 }, { "west", false, 20 } } };
    const auto zones = common::valueOf(version::parseZoneStates(version::formatZoneStates(states)));
    LONGS_EQUAL(7, zones.version);
    CHECK_TRUE(zones.zones.at(0).withdrawn);
    LONGS_EQUAL(20, zones.zones.at(1).returningSharePercent);

    const version::InstanceRecord record {
        "i1", "east", 5, { 0x7f000001, 1 }, { 0x7f000001, 2 }, { 0x7f000001, 3 }, true
    };
    const auto read =
            common::valueOf(version::parseInstanceRecord(version::formatInstanceRecord(record)));
    STRCMP_EQUAL("i1", read.name.c_str());
    LONGS_EQUAL(5, read.incarnation);
    STRCMP_EQUAL("127.0.0.1:3", common::toString(read.admin).c_str());
    CHECK_TRUE(read.leaving);
}

// Guards against damaged values in the store that cause a crash or are accepted.
TEST(Documents, rejectsDamagedValues)
{
    checkError(version::parseZoneStates("[]"), "the value is not an object");
    checkError(version::parseZoneStates(R"({"version":-1,"zones":[]})"),
               "field 'version' must be an unsigned integer");
    checkError(version::parseZoneStates(R"({"version":1,"zones":[{"name":"a","withdrawn":false,)"
                                        R"("returning_share_percent":101}]})"),
               "field 'returning_share_percent' must be at most 100");
    checkError(version::parseContractDocument(R"({"version":1})"), "field 'author' is missing");
    checkError(version::parseInstanceRecord(R"({"name":"i","zone":"z","incarnation":1,)"
                                            R"("fabric":"here"})"),
               "field 'fabric' must be an address \"ip:port\"");
    CHECK_FALSE(common::isOk(version::parseContractDocument("{\"version\":")));
}
