#include "process/zonereturn.h"

#include <CppUTest/TestHarness.h>

using namespace banyanwall;
using process::ZoneReturn;

namespace {

const common::TimePoint Start { std::chrono::seconds(100) };

version::ZoneStates statesOf(std::uint32_t share, bool withdrawn = false)
{
    return { 7, { { "a", withdrawn, share }, { "b", false, 100 } } };
}

} // namespace

TEST_GROUP(ZoneReturn)
{
    ZoneReturn zoneReturn;
};

// Guards against a returning zone that keeps its first share forever.
TEST(ZoneReturn, sharesRiseTo100PercentInFiveSteps)
{
    auto states = statesOf(20);
    auto now = Start;
    for (const std::uint32_t share : { 40U, 60U, 80U, 100U }) {
        CHECK_FALSE(zoneReturn.next(states, now).has_value());
        now += ZoneReturn::stepInterval();
        const auto raised = zoneReturn.next(states, now);
        CHECK_TRUE(raised.has_value());
        LONGS_EQUAL(states.version + 1, raised->version);
        LONGS_EQUAL(share, raised->zones.front().returningSharePercent);
        LONGS_EQUAL(100, raised->zones.back().returningSharePercent);
        states = *raised;
    }
    CHECK_FALSE(zoneReturn.next(states, now + 10 * ZoneReturn::stepInterval()).has_value());
}

// Guards against steps in quick succession when an operator edits the zone states or another
// instance takes over the planning.
TEST(ZoneReturn, newVersionRestartsTheStepInterval)
{
    CHECK_FALSE(zoneReturn.next(statesOf(20), Start).has_value());
    auto edited = statesOf(20);
    edited.version = 8;
    const auto later = Start + ZoneReturn::stepInterval();
    CHECK_FALSE(zoneReturn.next(edited, later).has_value());
    CHECK_TRUE(zoneReturn.next(edited, later + ZoneReturn::stepInterval()).has_value());
}

// Guards against a withdrawn zone that gets load again although no operator has returned it.
TEST(ZoneReturn, withdrawnZoneStaysWithdrawn)
{
    CHECK_FALSE(zoneReturn.next(statesOf(20, true), Start).has_value());
    CHECK_FALSE(zoneReturn.next(statesOf(20, true), Start + 10 * ZoneReturn::stepInterval())
                        .has_value());
}
