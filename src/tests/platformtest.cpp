#include "process/httpexchange.h"
#include "tools/platformserver.h"

#include <CppUTest/TestHarness.h>

#include <optional>

using namespace banyanwall;
using process::HttpExchange;
using process::HttpResult;

TEST_GROUP(Platform)
{
    boost::asio::io_context context;
    common::TimePoint now { std::chrono::seconds(1'000) };
    tools::PlatformServer server { context,
                                   { { 0x7f000001, 0 }, std::chrono::milliseconds(500) },
                                   [this] { return now; } };

    std::string get(const std::string &target)
    {
        return exchange([&](HttpExchange &http, const HttpExchange::Handler &handler) {
            http.startGet(target, std::chrono::seconds(5), handler);
        });
    }

    std::string post(const std::string &target, const std::string &body)
    {
        return exchange([&](HttpExchange &http, const HttpExchange::Handler &handler) {
            http.start(target, body, std::chrono::seconds(5), handler);
        });
    }

    template<typename Start>
    std::string exchange(const Start &start)
    {
        std::optional<HttpResult> result;
        const auto http = std::make_shared<HttpExchange>(context, server.address());
        start(*http, [&result](HttpResult response) { result = std::move(response); });
        while (!result) {
            context.run_one();
        }
        return std::to_string(result->status) + " " + result->body;
    }
};

// Guards against a stand-in whose messages differ from etcd v3, so that the client would be written
// for the wrong format.
TEST(Platform, respondsInTheFormatOfEtcd)
{
    // The keys are base64 of "a" and "b", the value is base64 of "1".
    STRCMP_EQUAL(R"(200 {"header":{"revision":"2"},"responses":[{"response_put":)"
                 R"({"header":{"revision":"2"}}}],"succeeded":true})",
                 post("/v3/kv/txn",
                      R"({"compare":[{"key":"YQ==","target":"VERSION","result":"EQUAL",)"
                      R"("version":"0"}],"success":[{"request_put":{"key":"YQ==",)"
                      R"("value":"MQ=="}}]})")
                         .c_str());
    STRCMP_EQUAL(R"(200 {"header":{"revision":"2"},"kvs":[{"key":"YQ==","create_revision":"2",)"
                 R"("mod_revision":"2","version":"1","value":"MQ=="}],"count":"1"})",
                 post("/v3/kv/range", R"({"key":"YQ==","range_end":"Yg=="})").c_str());
    STRCMP_EQUAL(R"(200 {"header":{"revision":"2"},"responses":[]})",
                 post("/v3/kv/txn",
                      R"({"compare":[{"key":"YQ==","target":"MOD","result":"EQUAL",)"
                      R"("mod_revision":"1"}],"success":[{"request_delete_range":)"
                      R"({"key":"YQ=="}}]})")
                         .c_str());
    CHECK_TRUE(post("/v3/kv/range", "{").starts_with("400 "));
    CHECK_TRUE(post("/v3/kv/range", R"({"key":"?"})").starts_with("400 "));
    CHECK_TRUE(post("/v3/lease/revoke", R"({"ID":"5"})").starts_with("404 "));
}

// Guards against a stand-in whose list of instances is up to date at once, while the platform's
// list lags.
TEST(Platform, listOfInstancesLags)
{
    // The key is base64 of "instances/i1", the value of {"name":"i1"}.
    post("/v3/kv/txn",
         R"({"success":[{"request_put":{"key":"aW5zdGFuY2VzL2kx","value":"eyJuYW1lIjoiaTEifQ=="}}]})");
    STRCMP_EQUAL(R"(200 {"instances":[]})", get("/instances").c_str());
    STRCMP_EQUAL(R"(200 {"instances":[{"name":"i1"}]})", get("/instances?lag=0").c_str());
    now += std::chrono::milliseconds(500);
    STRCMP_EQUAL(R"(200 {"instances":[{"name":"i1"}]})", get("/instances").c_str());
}

// Guards against injected faults that have no effect, and against calls that are not counted.
TEST(Platform, injectedFaultsTakeEffectAndCallsAreCounted)
{
    STRCMP_EQUAL(R"(200 {"down":false,"slow_ms":0,"lose_next_answers":1,"lose_kind":"range",)"
                 R"("rate_limit":0})",
                 post("/faults", R"({"lose_next_answers":1,"lose_kind":"range"})").c_str());
    STRCMP_EQUAL("0 ", post("/v3/kv/range", R"({"key":"YQ=="})").c_str());
    CHECK_TRUE(post("/v3/kv/range", R"({"key":"YQ=="})").starts_with("200 "));
    post("/faults", R"({"rate_limit":1})");
    CHECK_TRUE(post("/v3/lease/grant", R"({"TTL":"10"})").starts_with("429 "));
    post("/faults", R"({"down":true})");
    STRCMP_EQUAL("0 ", post("/v3/lease/grant", R"({"TTL":"10"})").c_str());
    CHECK_TRUE(post("/faults", R"({"dwon":true})").starts_with("400 "));
    STRCMP_EQUAL(R"(200 {"lease_grant":1,"lease_keepalive":0,"lease_revoke":0,"range":2,"txn":0,)"
                 R"("watch":0,"watches_open":0})",
                 get("/counts").c_str());
}
