#include "process/flowsettingsfile.h"
#include "process/ratelimitedlog.h"

#include <CppUTest/TestHarness.h>

#include <filesystem>
#include <fstream>

using namespace banyanwall;
using namespace std::chrono_literals;

TEST_GROUP(FlowSettings)
{
    std::string text = R"([instance]
name = "front-1"
zone = "galpao-a"
[listen]
traffic = "10.1.0.10:8172"
peer = "10.1.0.10:7720"
admin = "10.1.0.10:8167"
[store]
endpoint = "10.200.1.7:8169"
[peers]
seeds = ["10.2.0.40:8166"]
[shutdown]
grace_ms = 6000
)";

    void replace(const std::string &from, const std::string &to)
    {
        text.replace(text.find(from), from.size(), to);
    }

    void checkError(const char *expected) const
    {
        const auto settings = process::parseFlowSettings(text, "front.toml");
        CHECK_FALSE(common::isOk(settings));
        STRCMP_CONTAINS(expected, common::errorOf(settings).message.c_str());
    }
};

TEST(FlowSettings, wholeFileIsRead)
{
    const auto parsed = process::parseFlowSettings(text, "front.toml");
    CHECK(common::isOk(parsed));
    const auto &settings = common::valueOf(parsed);
    STRCMP_EQUAL("galpao-a", settings.zone.c_str());
    CHECK(settings.shutdownGrace == 6s);
    STRCMP_EQUAL("10.200.1.7:8169", common::toString(settings.store).c_str());
}

// The seed list may contain another port; all instances listen on the same peer port.
TEST(FlowSettings, seedsGetThePeerPort)
{
    const auto parsed = process::parseFlowSettings(text, "front.toml");
    STRCMP_EQUAL("10.2.0.40:7720", common::toString(common::valueOf(parsed).seeds.front()).c_str());
}

TEST(FlowSettings, advertisedAddressDefaultsToTheListenAddress)
{
    const auto direct = process::parseFlowSettings(text, "front.toml");
    STRCMP_EQUAL("10.1.0.10:7720",
                 common::toString(common::valueOf(direct).peerAdvertised).c_str());
    replace("admin =", "peer_advertised = \"10.9.0.1:7800\"\nadmin =");
    const auto translated = process::parseFlowSettings(text, "front.toml");
    const auto &settings = common::valueOf(translated);
    STRCMP_EQUAL("10.1.0.10:7720", common::toString(settings.peerListen).c_str());
    STRCMP_EQUAL("10.9.0.1:7800", common::toString(settings.peerAdvertised).c_str());
    STRCMP_EQUAL("10.2.0.40:7800", common::toString(settings.seeds.front()).c_str());
}

// The platform may write the file without sending SIGHUP.
TEST(FlowSettings, changedFileIsDetected)
{
    const std::string path = "flowsettingstest-changed.toml";
    const auto write = [&] { std::ofstream(path) << text; };
    write();
    process::FlowSettingsFile file(path);
    CHECK(common::isOk(file.load()));
    CHECK_FALSE(file.hasChanged());
    replace("10.2.0.40", "10.2.0.41");
    write();
    std::filesystem::last_write_time(path, std::filesystem::last_write_time(path) + 1s);
    CHECK(file.hasChanged());
    CHECK(common::isOk(file.load()));
    CHECK_FALSE(file.hasChanged());
    std::filesystem::remove(path);
    CHECK_FALSE(file.hasChanged());
}

TEST(FlowSettings, openFlowsStayAfterAWithdrawalUnlessALimitIsSet)
{
    const auto unset = process::parseFlowSettings(text, "front.toml");
    CHECK_FALSE(common::valueOf(unset).openFlowsAfterWithdrawal.has_value());
    text += "[withdrawal]\nopen_flows_ms = 4000\n";
    const auto limited = process::parseFlowSettings(text, "front.toml");
    CHECK(common::valueOf(limited).openFlowsAfterWithdrawal == 4s);
    replace("4000", "-1");
    checkError("withdrawal.open_flows_ms");
}

// Openings are refused only where an operator asks for it; a misspelt value must not turn it on.
TEST(FlowSettings, admissionIsOffUnlessItIsSet)
{
    const auto parsed = [&] { return common::valueOf(process::parseFlowSettings(text, "f")); };
    CHECK_FALSE(parsed().refusesOpenings);
    text += "[balancing]\nadmission = \"off\"\n";
    CHECK_FALSE(parsed().refusesOpenings);
    replace("\"off\"", "\"on\"");
    CHECK(parsed().refusesOpenings);
    replace("\"on\"", "\"yes\"");
    checkError("key 'balancing.admission': unknown value; allowed: on or off");
}

// An operator can keep the choice by hash; a misspelt choice must not change it silently.
TEST(FlowSettings, choiceFollowsTheContractUnlessTheHashIsSet)
{
    using connection::UpstreamChoice;
    const auto parsed = [&] { return common::valueOf(process::parseFlowSettings(text, "f")); };
    CHECK(parsed().choice == UpstreamChoice::ByContract);
    text += "[balancing]\nchoice = \"contract\"\n";
    CHECK(parsed().choice == UpstreamChoice::ByContract);
    replace("\"contract\"", "\"hash\"");
    CHECK(parsed().choice == UpstreamChoice::ByHash);
    replace("\"hash\"", "\"hsah\"");
    checkError("key 'balancing.choice': unknown choice; allowed: contract or hash");
}

TEST(FlowSettings, badAdvertisedAddressIsAnError)
{
    replace("admin =", "peer_advertised = \"10.9.0.1\"\nadmin =");
    checkError("listen.peer_advertised");
}

TEST(FlowSettings, unknownKeyIsAnErrorWithItsLine)
{
    replace("zone =", "zoen =");
    checkError("front.toml:3: key 'instance.zoen': unknown key");
}

TEST(FlowSettings, missingStoreIsAnError)
{
    replace("endpoint = \"10.200.1.7:8169\"", "");
    checkError("key 'store.endpoint': missing");
}

TEST(FlowSettings, badAddressIsAnError)
{
    replace("10.1.0.10:8172", "10.1.0.10");
    checkError("key 'listen.traffic': not an address");
}

// With a grace time of 1 s the process ended while the fabric still sent packets to it.
TEST(FlowSettings, graceShorterThanTheRotationIsAnError)
{
    replace("6000", "1600");
    checkError("an integer from 1700 to 600000");
}

TEST(FlowSettings, graceOutOfRangeIsAnError)
{
    replace("6000", "10");
    checkError("an integer from 1700 to 600000");
}

// A platform states the grace time in seconds, as a whole number or a fraction. No process started
// with a fraction.
TEST(FlowSettings, graceInSecondsMayBeAFraction)
{
    const auto graceOf = [this](const std::string &value) {
        auto given = text;
        given.replace(given.find("grace_ms = 6000"), 15, "grace_s = " + value);
        const auto parsed = process::parseFlowSettings(given, "front.toml");
        return common::isOk(parsed) ? common::valueOf(parsed).shutdownGrace : 0ms;
    };
    CHECK(graceOf("6") == 6s);
    CHECK(graceOf("6.0") == 6s);
    CHECK(graceOf("2.5") == 2500ms);
    CHECK(graceOf("2.3") == 2300ms);
    CHECK(graceOf("true") == 0ms);
}

TEST(FlowSettings, graceInSecondsHasTheSameLimits)
{
    replace("grace_ms = 6000", "grace_s = 1.6");
    checkError("front.toml:13: key 'shutdown.grace_s': value out of range; "
               "allowed: a number from 1.7 to 600");
}

// Guards against a file in which one of two grace times silently counts.
TEST(FlowSettings, twoGraceTimesAreAnError)
{
    replace("grace_ms = 6000", "grace_ms = 6000\ngrace_s = 6");
    checkError("key 'shutdown.grace_s': set twice");
}

TEST(FlowSettings, brokenFileIsAnErrorWithItsLine)
{
    replace("[store]", "[store");
    checkError("front.toml:8");
}

// Guards against a strict check that a number which is none passes: nan as a link's rate.
TEST(FlowSettings, linkThatIsNoNumberIsAnError)
{
    replace("[listen]", "link_mbps = nan\n[listen]");
    checkError("front.toml:4: key 'instance.link_mbps': no number; allowed: a number from 0");
}

TEST(FlowSettings, unknownOriginIsAnError)
{
    text = "[file]\norigin = \"platfrom\"\n" + text;
    checkError("front.toml:2: key 'file.origin': unknown origin; allowed: operator or platform");
}

TEST_GROUP(FilledInSettings)
{
    const std::string before = R"([file]
origin = "platform"
[instance]
name = "front-1"
zone = "galpao-a"
link_mbps = )";
    const std::string after = R"(
[listen]
traffic = "10.1.0.10:8172"
peer = "10.1.0.10:7720"
admin = "10.1.0.10:8167"
[store]
endpoint = "10.200.1.7:8169"
[shutdown]
grace_s = )";

    process::FlowSettings parsed(const std::string &link, const std::string &grace) const
    {
        const auto text = before + link + after + grace + "\n";
        const auto settings = process::parseFlowSettings(text, "front.toml");
        CHECK_TEXT(common::isOk(settings), text.c_str());
        return common::valueOf(settings);
    }

    void checkGrace(const std::string &value, std::chrono::milliseconds grace) const
    {
        const auto settings = parsed("700.0", value);
        LONGS_EQUAL_TEXT(grace.count(), settings.shutdownGrace.count(), value.c_str());
        const bool isReplaced = !settings.replaced.empty();
        CHECK_TEXT(isReplaced, value.c_str());
        STRCMP_EQUAL("shutdown.grace_s", settings.replaced.front().key.c_str());
        LONGS_EQUAL(14, settings.replaced.front().line);
    }
};

TEST(FilledInSettings, allowedValuesAreNotReplaced)
{
    const auto settings = parsed("0.5", "2.5");
    CHECK(settings.replaced.empty());
    CHECK(settings.shutdownGrace == 2500ms);
    DOUBLES_EQUAL(0.5, settings.linkMbps, 1e-9);
}

// No process started with a grace time that is too long, too short or no number.
TEST(FilledInSettings, graceThatIsNotAllowedIsReplaced)
{
    checkGrace("601", 600s);
    checkGrace("1e300", 600s);
    checkGrace("1e400", 600s);
    checkGrace("1" + std::string(40, '0'), 600s);
    checkGrace("1", 1s);
    checkGrace("0.5", 500ms);
    checkGrace("0", 0s);
    checkGrace("1e-9", 0s);
    checkGrace("-3", 0s);
    checkGrace("nan", 1700ms);
    checkGrace("true", 1700ms);
    checkGrace("false", 1700ms);
    checkGrace("", 1700ms);
    checkGrace("{\"s\":6}", 1700ms);
}

// The rate of a link that is missing ended each process, since the line is no TOML.
TEST(FilledInSettings, linkThatIsNotAllowedIsReplaced)
{
    DOUBLES_EQUAL(50.0, parsed("", "6").linkMbps, 1e-9);
    DOUBLES_EQUAL(50.0, parsed("false", "6").linkMbps, 1e-9);
    DOUBLES_EQUAL(50.0, parsed("nan", "6").linkMbps, 1e-9);
    DOUBLES_EQUAL(0.0, parsed("-1", "6").linkMbps, 1e-9);
    DOUBLES_EQUAL(1e9, parsed("1e400", "6").linkMbps, 1.0);
    STRCMP_EQUAL("instance.link_mbps", parsed("", "6").replaced.front().key.c_str());
}

// A zone's name with a quote ended each process, since nothing is escaped; one with a backslash was
// another zone's name.
TEST(FilledInSettings, namesAreTakenLetterByLetter)
{
    const auto zoneOf = [this](const std::string &name) {
        auto text = before + "700.0" + after + "6\n";
        text.replace(text.find("galpao-a"), 8, name);
        const auto settings = process::parseFlowSettings(text, "front.toml");
        return common::isOk(settings) ? common::valueOf(settings).zone : "refused";
    };
    const auto check = [&](const std::string &name) {
        STRCMP_EQUAL(name.c_str(), zoneOf(name).c_str());
    };
    check("galpao \"a\"");
    check("\"");
    check("a\" # b");
    check("a\\b");
    check("a\\");
    check("'''");
    check("a = [b]");
    check(" a\tb ");
}

// Without the mark of a platform's file, the same values are a person's and are refused.
TEST(FilledInSettings, valuesOfAPersonAreNotReplaced)
{
    const auto text = (before + "700.0" + after + "1\n").substr(before.find("[instance]"));
    CHECK_FALSE(common::isOk(process::parseFlowSettings(text, "front.toml")));
}

TEST_GROUP(RateLimitedLog)
{
    process::RateLimitedLog log { 10.0, 5.0 };
    common::TimePoint now { 100s };

    int written(int events)
    {
        int count = 0;
        for (int event = 0; event < events; ++event) {
            count += log.event(process::LogLevel::Trace, "flow_reset", now) != nullptr ? 1 : 0;
        }
        return count;
    }
};

// Guards against a log that grows without limit during a flood of refused packets.
TEST(RateLimitedLog, burstIsBounded)
{
    LONGS_EQUAL(5, written(1'000));
}

TEST(RateLimitedLog, rateIsBounded)
{
    written(1'000);
    now += 300ms;
    LONGS_EQUAL(3, written(1'000));
}
