#include "request/retrybudget.h"

#include <CppUTest/TestHarness.h>

using banyanwall::request::RetryBudget;

TEST_GROUP(RetryBudget)
{
    RetryBudget budget;

    std::uint32_t startAll()
    {
        std::uint32_t started = 0;
        while (started < 1'000 && budget.tryStart(0)) {
            ++started;
        }
        return started;
    }

    void earn(std::uint32_t requests)
    {
        for (std::uint32_t count = 0; count < requests; ++count) {
            budget.onRequest();
        }
    }
};

// Guards against retries that multiply the load on failing upstreams.
TEST(RetryBudget, oneRetryForTenRequests)
{
    LONGS_EQUAL(0, startAll());
    earn(99);
    LONGS_EQUAL(9, startAll());
    earn(1);
    LONGS_EQUAL(1, startAll());
}

// Guards against one request that uses the retries of all others.
TEST(RetryBudget, twoRetriesForOneRequest)
{
    earn(100);
    CHECK_TRUE(budget.tryStart(0));
    CHECK_TRUE(budget.tryStart(1));
    CHECK_FALSE(budget.tryStart(2));
}

// Guards against a burst of retries after a quiet time, and against slots in the budget that are
// not given back.
TEST(RetryBudget, thirtyTwoInProgress)
{
    earn(10'000);
    LONGS_EQUAL(32, startAll());
    LONGS_EQUAL(32, budget.inProgress());
    earn(10'000);
    CHECK_FALSE(budget.tryStart(0));
    budget.onFinished(2);
    LONGS_EQUAL(2, startAll());
}
