#include "version/rulespatch.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace banyanwall;
using common::ServiceId;
using version::RouteRecord;
using version::RulesPatch;
using version::RulesRecord;

namespace {

RouteRecord route(std::uint16_t port, std::uint32_t service = 1)
{
    return { { 0xc6120001, port }, { { ServiceId(service), 1 } }, false };
}

/// Patch without changes to a contract with these routes.
RulesPatch patchTo(const std::vector<RouteRecord> &routes)
{
    return { .version = 3, .routesDigest = version::digestOf(routes) };
}

} // namespace

TEST_GROUP(RulesPatch) {};

// Guards against a digest that depends on the order of the routes, which differs between the
// contract and a patched one.
TEST(RulesPatch, digestIgnoresTheOrderOfRoutes)
{
    CHECK(version::digestOf({ route(1), route(2) }) == version::digestOf({ route(2), route(1) }));
}

// Guards against a difference between two contracts that their digests do not show.
TEST(RulesPatch, digestDependsOnAllFieldsOfARoute)
{
    auto otherWeight = route(1);
    otherWeight.shares.front().weight = 2;
    auto twoServices = route(1);
    twoServices.shares.push_back({ ServiceId(2), 1 });
    auto repeatable = route(1);
    repeatable.repeatable = true;
    auto otherAddress = route(1);
    otherAddress.address.address = 0xc6120002;
    auto priority = route(1);
    priority.terms.priority = 0;
    auto responseAim = route(1);
    responseAim.terms.responseAim = std::chrono::milliseconds(400);
    auto timeBudget = route(1);
    timeBudget.terms.timeBudget = std::chrono::milliseconds(400);
    const auto digest = version::digestOf({ route(1) });
    for (const auto &other : { otherWeight, twoServices, repeatable, otherAddress, priority,
                               responseAim, timeBudget, route(2), route(1, 2) }) {
        CHECK_FALSE(version::digestOf({ other }) == digest);
    }
    CHECK_FALSE(version::digestOf({ route(1), route(2) }) == digest);
    CHECK_FALSE(version::digestOf({}) == digest);
}

// Guards against a patch that is applied to another contract than the one that it changes: the
// sender never had the routes of the second service here.
TEST(RulesPatch, patchOfAnotherContractIsRefused)
{
    const RulesRecord known { .version = 2, .routes = { route(1, 2) } };
    CHECK_FALSE(version::patchedRules(&known, patchTo({ route(1, 1) })).has_value());
    CHECK_FALSE(version::patchedRules(&known, patchTo({})).has_value());
    CHECK_FALSE(version::patchedRules(nullptr, patchTo({ route(1, 1) })).has_value());
    const auto patched = version::patchedRules(&known, patchTo({ route(1, 2) }));
    CHECK(patched.has_value());
    LONGS_EQUAL(3, patched->version);
}

// Guards against instances that cannot use the patches of an older program during an update of the
// fleet.
TEST(RulesPatch, patchWithoutDigestIsApplied)
{
    const RulesRecord known { .version = 2, .routes = { route(1) } };
    const auto patched = version::patchedRules(&known, { .version = 3, .routes = { route(2) } });
    CHECK(patched.has_value());
    LONGS_EQUAL(2, patched->routes.size());
}
