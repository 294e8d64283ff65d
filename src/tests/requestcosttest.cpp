#include "connection/requestcost.h"

#include <CppUTest/TestHarness.h>

#include <cmath>
#include <random>

using namespace std::chrono_literals;
using banyanwall::common::Duration;
using banyanwall::connection::RequestCost;

TEST_GROUP(RequestCost)
{
    RequestCost cost;
    std::mt19937_64 random { 7 };

    /// Requests whose work scatters by half of its mean of 100 ms, and a tail of 7 times the work.
    void addSamples(int count, double tailShare)
    {
        std::gamma_distribution<double> scatter(4.0, 25'000.0);
        std::bernoulli_distribution isLong(tailShare);
        for (int number = 0; number < count; ++number) {
            const auto time = scatter(random) * (isLong(random) ? 7.0 : 1.0);
            cost.addSample(Duration(std::llround(time)));
        }
    }
};

TEST(RequestCost, isUnknownWithFewSamples)
{
    addSamples(3, 0.0);
    CHECK_FALSE(cost.isKnown());
    CHECK(cost.mean() == 0ms);
    CHECK(cost.spread() == 0ms);
}

TEST(RequestCost, meanAndSpreadAreThoseOfTheSamples)
{
    addSamples(2'000, 0.0);
    CHECK(cost.mean() > 90ms && cost.mean() < 110ms);
    CHECK(cost.spread() > 40ms && cost.spread() < 60ms);
    DOUBLES_EQUAL(std::log(2.0), cost.logRatio(200ms) - cost.logRatio(100ms), 0.001);
}

// Without a tail, a request that has run for its usual time is nearly done.
TEST(RequestCost, remainingTimeFallsWithoutATail)
{
    addSamples(2'000, 0.0);
    CHECK(cost.remaining(0ms) > 80ms && cost.remaining(0ms) < 120ms);
    CHECK(cost.remaining(100ms) < cost.remaining(0ms) / 2);
}

// 3 % of the requests take 7 times the work.
TEST(RequestCost, remainingTimeGrowsInAHeavyTail)
{
    addSamples(2'000, 0.03);
    CHECK(cost.remaining(250ms) > 2 * cost.remaining(100ms));
    CHECK(cost.remaining(300ms) > 200ms);
}

// Times beyond all samples, and odd ones.
TEST(RequestCost, longTimesAreFinite)
{
    addSamples(100, 0.0);
    CHECK(cost.remaining(1h) >= 1h);
    cost.addSample(0ms);
    cost.addSample(1h);
    CHECK(std::isfinite(cost.logRatio(0ms)));
}
