// Included before CppUTest, which defines "new" as a macro that breaks the Boost headers.
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
    unsigned answerStatus = 204;
    HttpResponder contactCentre { context,
                                  [this](const std::string &body,
                                         const HttpResponder::Reply &reply) {
                                      notices.push_back(body);
                                      reply(answerStatus, "");
                                  } };

    /// Contract with a cutover from group "old" to group "new", which gets sharePercent. With 3
    /// slots an upstream, one cutover step is 34 points.
    std::string contractWithShare(int sharePercent)
    {
        return clinicContract(50)
                + "\n[[service.group]]\nname = \"new\"\n"
                  "upstream = [{ name = \"n1\", zone = \"east\", address = \"127.0.0.1:9003\" }]\n"
                  "\n[service.cutover]\nfrom = \"old\"\nto = \"new\"\nshare_percent = "
                + std::to_string(sharePercent) + "\nnotice_url = \"http://"
                + common::toString(contactCentre.address()) + "/notice\"\n";
    }
};

// Guards against a changed cutover share that the contact centre was not notified of. A new cutover
// at 0 % changes no share and needs no notice.
TEST(Cutover, noticeIsSentForChangedShare)
{
    apply(clinicContract(50));
    checkExitCode(ExitCode::Ok, apply(contractWithShare(0)));
    LONGS_EQUAL(0, notices.size());
    checkExitCode(ExitCode::Ok, apply(contractWithShare(34)));
    LONGS_EQUAL(1, notices.size());
    STRCMP_EQUAL(R"({"status":"planned","customer":"clinic","service":"records",)"
                 R"("from_group":"old","to_group":"new","former_share_percent":0,)"
                 R"("share_percent":34,"author":"ana"})",
                 notices.at(0).c_str());
    LONGS_EQUAL(3, document("clinic").version);
}

// Guards against a change that is written although the contact centre rejected its notice (503) or
// did not respond within the timeout.
TEST(Cutover, changeIsRefusedWhenNoticeIsNotDelivered)
{
    apply(contractWithShare(0));
    answerStatus = 503;
    auto result = apply(contractWithShare(34));
    checkExitCode(ExitCode::Failed, result);
    CHECK_TRUE(result.err.find("was not delivered: the answer was 503") != std::string::npos);
    LONGS_EQUAL(1, document("clinic").version);

    HttpResponder unresponsive(context, [](const std::string &, const HttpResponder::Reply &) {});
    const ctl::ShareChange change {
        "records", "old", "new",
        0,         34,    "http://" + common::toString(unresponsive.address()) + "/notice"
    };
    const auto error =
            ctl::deliverNotice(context, "clinic", change, "ana", ctl::NoticeStatus::Planned,
                               std::chrono::milliseconds(50));
    STRCMP_EQUAL("notice_undelivered", error.value().code.c_str());
}

// Guards against an edit that gives cold upstreams more load than their slow start admits. Such an
// edit raises the share by more than one step (34 points), or replaces the group, which raises the
// share of the new group from 0 to 100 %. The former group may return to 100 % in one edit.
TEST(Cutover, shareRisesByOneStepAtMost)
{
    apply(contractWithShare(0));
    checkExitCode(ExitCode::Invalid, apply(contractWithShare(35)));
    LONGS_EQUAL(0, notices.size());
    checkExitCode(ExitCode::Ok, apply(contractWithShare(34)));
    auto replaced = clinicContract(50);
    replaced.replace(replaced.find("\"old\""), 5, "\"new\"");
    checkExitCode(ExitCode::Invalid, apply(replaced));
    checkExitCode(ExitCode::Ok, apply(contractWithShare(0)));
}

// Guards against a rollback that needs several edits, loses the drain of an upstream or reuses an
// earlier version number: instances apply only higher versions.
TEST(Cutover, rollBackIsOneCommand)
{
    apply(contractWithShare(0));
    apply(contractWithShare(34));
    apply(contractWithShare(68));
    run({ "upstream", "drain", "clinic", "records/r1" });
    const auto result = run({ "contract", "rollback", "clinic", "1" });
    checkExitCode(ExitCode::Ok, result);
    const auto rolledBack = document("clinic");
    LONGS_EQUAL(5, rolledBack.version);
    CHECK_TRUE(rolledBack.toml == contractWithShare(0));
    LONGS_EQUAL(1, rolledBack.drainedUpstreams.size());
    LONGS_EQUAL(3, notices.size());
    checkExitCode(ExitCode::Failed, run({ "contract", "rollback", "clinic", "9" }));
    checkExitCode(ExitCode::Failed, run({ "contract", "rollback", "nobody", "1" }));
}

// Guards against a contact centre that expects a change which was never written. Another operator
// writes the contract after the notice was sent, so the write fails with a conflict and the notice
// must be cancelled.
TEST(Cutover, noticeIsCancelledOnWriteConflict)
{
    apply(contractWithShare(0));
    const auto base = common::valueOf(store.contract("clinic"));
    process::StoreClient otherOperator(context, settings, 2);
    // Before the notice is confirmed, the other operator's edit is written.
    bool isWritten = false;
    HttpResponder racingCentre(
            context, [&](const std::string &body, const HttpResponder::Reply &reply) {
                notices.push_back(body);
                if (isWritten) {
                    reply(204, "");
                    return;
                }
                isWritten = true;
                const auto edit = version::nextVersion(base.value, contractWithShare(1), "rui", {});
                otherOperator.compareAndPut("contracts/clinic", base.revision,
                                            version::formatContractDocument(edit), 0,
                                            [reply](const auto &) { reply(204, ""); });
            });
    auto edited = contractWithShare(34);
    const auto centreUrl = common::toString(contactCentre.address());
    edited.replace(edited.find(centreUrl), centreUrl.size(),
                   common::toString(racingCentre.address()));
    checkExitCode(ExitCode::Conflict, apply(edited));
    LONGS_EQUAL(2, notices.size());
    CHECK_TRUE(notices.at(1).starts_with(R"({"status":"cancelled")"));
    STRCMP_EQUAL("rui", document("clinic").author.c_str());
}
