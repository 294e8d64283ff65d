#include "request/retrybudget.h"

#include <CppUTest/TestHarness.h>

using banyanwall::request::RetryBudget;

TEST_GROUP(RetryBudget)
{
    RetryBudget budget;

    std::uint32_t startRetriesUntilRefused()
    {
        std::uint32_t started = 0;
        while (started < 1'000 && budget.tryStart(0)) {
            ++started;
        }
        return started;
    }

    void countRequests(std::uint32_t requests)
    {
        for (std::uint32_t count = 0; count < requests; ++count) {
            budget.onRequest();
        }
    }
};

// Guards against retries that multiply the load on failing upstreams.
TEST(RetryBudget, tenRequestsEarnOneRetry)
{
    LONGS_EQUAL(0, startRetriesUntilRefused());
    countRequests(99);
    LONGS_EQUAL(9, startRetriesUntilRefused());
    countRequests(1);
    LONGS_EQUAL(1, startRetriesUntilRefused());
}

// Guards against one request that uses up the retries of all others.
TEST(RetryBudget, oneRequestGetsAtMostTwoRetries)
{
    countRequests(100);
    CHECK_TRUE(budget.tryStart(0));
    CHECK_TRUE(budget.tryStart(1));
    CHECK_FALSE(budget.tryStart(2));
}

// Guards against a burst of retries after a long time without any, and against finished retries
// that still count as in progress.
TEST(RetryBudget, atMostThirtyTwoRetriesAreInProgress)
{
    countRequests(10'000);
    LONGS_EQUAL(32, startRetriesUntilRefused());
    LONGS_EQUAL(32, budget.inProgress());
    countRequests(10'000);
    CHECK_FALSE(budget.tryStart(0));
    budget.onFinished(2);
    LONGS_EQUAL(2, startRetriesUntilRefused());
}
