#include "connection/returningcallers.h"

#include <CppUTest/TestHarness.h>

using namespace banyanwall;
using namespace std::chrono_literals;
using connection::ReturningCallers;

TEST_GROUP(ReturningCallers)
{
    common::TimePoint now { 100s };
    ReturningCallers callers { 4 };
};

// A caller that returns must not count as a new one, or it is put behind those that came later.
TEST(ReturningCallers, refusedCallerIsKnownUntilItsTimeHasPassed)
{
    callers.recordRefusal(7, 2s, now);
    CHECK(callers.waited(7, now + 1'999ms) == common::Duration(1'999ms));
    CHECK_FALSE(callers.waited(7, now + 2s).has_value());
    CHECK_FALSE(callers.waited(8, now).has_value());
}

// A caller that is refused again keeps its place.
TEST(ReturningCallers, secondRefusalKeepsTheTimeOfTheFirst)
{
    callers.recordRefusal(7, 2s, now);
    callers.recordRefusal(7, 2s, now + 1s);
    CHECK(callers.waited(7, now + 1'500ms) == common::Duration(1'500ms));
    CHECK_FALSE(callers.waited(7, now + 2s).has_value());
}

// The next request of a caller that was served is a new one.
TEST(ReturningCallers, admittedCallerIsForgotten)
{
    callers.recordRefusal(7, 2s, now);
    callers.recordAdmission(7, now + 1s);
    CHECK_FALSE(callers.waited(7, now + 1s).has_value());
}

// A rush of many callers must not take more memory, nor displace callers with time left by callers
// whose time has passed.
TEST(ReturningCallers, fullTableForgetsTheCallersWhoseTimePassesFirst)
{
    ReturningCallers oneSet(1);
    for (std::uint64_t caller = 1; caller <= 4; ++caller) {
        oneSet.recordRefusal(caller, caller * 1s, now);
    }
    oneSet.recordRefusal(5, 3s, now);
    CHECK_FALSE(oneSet.waited(1, now).has_value());
    CHECK(oneSet.waited(2, now).has_value());
    CHECK(oneSet.waited(5, now).has_value());
}
