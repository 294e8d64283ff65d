#include "connection/outlierdetector.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace banyanwall;
using namespace std::chrono_literals;
using common::FlowToken;
using common::ServiceId;
using connection::OutlierDetector;

namespace {

const ServiceId Bancada { 1 };
const ServiceId Certidao { 2 };
constexpr std::size_t GroupSize = 14;

} // namespace

TEST_GROUP(OutlierDetector)
{
    OutlierDetector detector;
    common::TimePoint now { 100s };

    void overdue(std::uint32_t upstream, std::uint64_t flows, ServiceId service = Bancada)
    {
        for (std::uint64_t flow = 1; flow <= flows; ++flow) {
            detector.recordOverdueFlow(service, FlowToken(upstream),
                                       std::uint64_t { upstream } * 100 + flow, now);
        }
    }

    bool isOutlier(std::uint32_t upstream)
    {
        const auto outliers = detector.evaluate(Bancada, GroupSize, now);
        return std::ranges::find(outliers, FlowToken(upstream)) != outliers.end();
    }
};

// An upstream hangs on a part of its requests and answers the others.
TEST(OutlierDetector, upstreamWithThreeOverdueFlowsIsAnOutlier)
{
    overdue(1, 2);
    CHECK_FALSE(isOutlier(1));
    overdue(1, 3);
    CHECK(isOutlier(1));
    CHECK_FALSE(isOutlier(2));
}

// One caller whose requests are overdue again and again is no fault of the upstream.
TEST(OutlierDetector, oneFlowAloneMakesNoOutlier)
{
    for (int attempt = 0; attempt < 6; ++attempt) {
        overdue(1, 1);
    }
    CHECK_FALSE(isOutlier(1));
}

// All upstreams are overloaded, or the fabric has moved many flows to other instances.
TEST(OutlierDetector, overdueFlowsOnAllUpstreamsMakeNoOutlier)
{
    for (std::uint32_t upstream = 1; upstream <= GroupSize; ++upstream) {
        overdue(upstream, 4);
    }
    for (std::uint32_t upstream = 1; upstream <= GroupSize; ++upstream) {
        CHECK_FALSE(isOutlier(upstream));
    }
}

// A wrong verdict must not take more than a third of the upstreams of a service out of use.
TEST(OutlierDetector, atMostAThirdOfAServiceIsAvoided)
{
    // The upstreams with the fewest overdue flows stay in use.
    for (std::uint32_t upstream = 1; upstream <= 6; ++upstream) {
        overdue(upstream, upstream + 2);
    }
    const auto outliers = detector.evaluate(Bancada, GroupSize, now);
    LONGS_EQUAL(4, outliers.size());
    CHECK(std::ranges::none_of(outliers, [](FlowToken token) { return token.value() < 3; }));
    LONGS_EQUAL(0, detector.evaluate(Bancada, 2, now).size());
}

TEST(OutlierDetector, outlierGetsFlowsAgainAfterTheAvoidancePeriod)
{
    overdue(1, 4);
    CHECK(isOutlier(1));
    now += 5900ms;
    CHECK(isOutlier(1));
    now += 200ms;
    CHECK_FALSE(isOutlier(1));
    now += 10s;
    detector.removeExpired(now);
    CHECK(detector.services().empty());
}

// An upstream that still hangs after the avoidance period must not collect three overdue flows
// again.
TEST(OutlierDetector, overdueFlowOnProbationMakesAnOutlierAgain)
{
    overdue(1, 4);
    CHECK(isOutlier(1));
    now += 7s;
    CHECK_FALSE(isOutlier(1));
    overdue(1, 1);
    CHECK(isOutlier(1));
}

TEST(OutlierDetector, servicesAreEvaluatedSeparately)
{
    overdue(1, 4);
    overdue(50, 8, Certidao);
    CHECK(isOutlier(1));
    CHECK_FALSE(isOutlier(50));
    LONGS_EQUAL(2, detector.services().size());
}
