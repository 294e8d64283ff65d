// Before CppUTest, whose macro for new does not go with Boost.
#include "httpresponder.h"

#include "ctl/notice.h"
#include "ctlfixture.h"

#include <optional>

using namespace banyanwall;
using ctl::ExitCode;
using tests::clinicContract;
using tests::HttpResponder;

TEST_GROUP_BASE(Cutover, tests::CtlFixture)
{
    std::vector<std::string> notices;
    unsigned answer = 204;
    HttpResponder centre { context,
                           [this](const std::string &body, const HttpResponder::Reply &reply) {
                               notices.push_back(body);
                               reply(answer, "");
                           } };

    std::string contractAt(int sharePercent)
    {
        return clinicContract(50)
                + "\n[[service.group]]\nname = \"new\"\n"
                  "upstream = [{ name = \"n1\", zone = \"east\", address = \"127.0.0.1:9003\" }]\n"
                  "\n[service.cutover]\nfrom = \"old\"\nto = \"new\"\nshare_percent = "
                + std::to_string(sharePercent) + "\nnotice_url = \"http://"
                + common::toString(centre.address()) + "/notice\"\n";
    }
};

// Guards against a change of share that the contact centre was not told of.
TEST(Cutover, noticePrecedesTheChange)
{
    apply(clinicContract(50));
    checkCode(ExitCode::Ok, apply(contractAt(0)));
    LONGS_EQUAL(0, notices.size());
    checkCode(ExitCode::Ok, apply(contractAt(34)));
    LONGS_EQUAL(1, notices.size());
    STRCMP_EQUAL(R"({"status":"planned","customer":"clinic","service":"records",)"
                 R"("from_group":"old","to_group":"new","former_share_percent":0,)"
                 R"("share_percent":34,"author":"ana"})",
                 notices.at(0).c_str());
    LONGS_EQUAL(3, document("clinic").version);
}

// Guards against a change that goes ahead although its notice was refused or not answered.
TEST(Cutover, undeliveredNoticeRefusesTheChange)
{
    apply(contractAt(0));
    answer = 503;
    auto result = apply(contractAt(34));
    checkCode(ExitCode::Failed, result);
    CHECK_TRUE(result.err.find("was not delivered: the answer was 503") != std::string::npos);
    LONGS_EQUAL(1, document("clinic").version);

    HttpResponder silent(context, [](const std::string &, const HttpResponder::Reply &) {});
    const ctl::ShareChange change {
        "records", "old", "new", 0, 34, "http://" + common::toString(silent.address()) + "/notice"
    };
    const auto error =
            ctl::deliverNotice(context, "clinic", change, "ana", ctl::NoticeStatus::Planned,
                               std::chrono::milliseconds(50));
    STRCMP_EQUAL("notice_undelivered", error.value().code.c_str());
}

// Guards against a cold group that gets more load in one edit than it can take (P3).
TEST(Cutover, shareRisesByOneStepAtMost)
{
    apply(contractAt(0));
    checkCode(ExitCode::Invalid, apply(contractAt(35)));
    LONGS_EQUAL(0, notices.size());
    checkCode(ExitCode::Ok, apply(contractAt(34)));
    auto replaced = clinicContract(50);
    replaced.replace(replaced.find("\"old\""), 5, "\"new\"");
    checkCode(ExitCode::Invalid, apply(replaced));
    checkCode(ExitCode::Ok, apply(contractAt(0)));
}

// Guards against a roll-back that needs several steps, loses a drain or lowers the version (P10).
TEST(Cutover, rollBackIsOneCommand)
{
    apply(contractAt(0));
    apply(contractAt(34));
    apply(contractAt(68));
    run({ "upstream", "drain", "clinic", "records/r1" });
    const auto result = run({ "contract", "rollback", "clinic", "1" });
    checkCode(ExitCode::Ok, result);
    const auto rolledBack = document("clinic");
    LONGS_EQUAL(5, rolledBack.version);
    CHECK_TRUE(rolledBack.toml == contractAt(0));
    LONGS_EQUAL(1, rolledBack.drainedUpstreams.size());
    LONGS_EQUAL(3, notices.size());
    checkCode(ExitCode::Failed, run({ "contract", "rollback", "clinic", "9" }));
    checkCode(ExitCode::Failed, run({ "contract", "rollback", "nobody", "1" }));
}

// Guards against a contact centre that expects a change which lost a race against another one.
TEST(Cutover, lostRaceCancelsTheNotice)
{
    apply(contractAt(0));
    const auto base = common::valueOf(store.contract("clinic"));
    process::StoreClient rival(context, settings, 2);
    // The rival's edit is written between the notice and the write.
    bool written = false;
    HttpResponder racing(context, [&](const std::string &body, const HttpResponder::Reply &reply) {
        notices.push_back(body);
        if (written) {
            reply(204, "");
            return;
        }
        written = true;
        const auto edit = version::nextVersion(base.value, contractAt(1), "rui", {});
        rival.compareAndPut("contracts/clinic", base.revision,
                            version::formatContractDocument(edit), 0,
                            [reply](const auto &) { reply(204, ""); });
    });
    auto mine = contractAt(34);
    const auto centreUrl = common::toString(centre.address());
    mine.replace(mine.find(centreUrl), centreUrl.size(), common::toString(racing.address()));
    checkCode(ExitCode::Conflict, apply(mine));
    LONGS_EQUAL(2, notices.size());
    CHECK_TRUE(notices.at(1).starts_with(R"({"status":"cancelled")"));
    STRCMP_EQUAL("rui", document("clinic").author.c_str());
}
