#include "connection/coldadmission.h"

#include "common/hash.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <random>
#include <vector>

using namespace banyanwall;
using namespace std::chrono_literals;
using common::TimePoint;
using connection::ColdAdmission;

namespace {

const common::UpstreamSerial Cold { 4711 };
constexpr common::Duration Second = 1s;
// Upstreams tolerate this many times the limit of the contract, plus Slack openings.
constexpr double Tolerance = 1.5;
constexpr double Slack = 5.0;

} // namespace

TEST_GROUP(ColdAdmission)
{
    TimePoint start { 100s };
    std::vector<std::uint64_t> members {};
    std::vector<ColdAdmission> fleet {};

    void startFleet(std::size_t size, std::uint64_t seed)
    {
        members.clear();
        for (std::size_t number = 0; number < size; ++number) {
            members.push_back(common::hashPair(seed, number));
        }
        fleet.clear();
        fleet.resize(size);
        for (std::size_t number = 0; number < size; ++number) {
            restart(number, start - 1min);
        }
    }

    void restart(std::size_t number, TimePoint at)
    {
        fleet[number] = {};
        fleet[number].setFleet(members[number], members, at);
    }

    /// Opens flows of random callers at random instances; returns the most openings that reach the
    /// upstream in any second.
    std::size_t maxOpeningsInAnySecond(double perSecond, std::uint32_t seed,
                                       const std::function<void(TimePoint)> &injectFault)
    {
        std::mt19937 random(seed);
        std::deque<TimePoint> window;
        std::size_t maxOpenings = 0;
        for (auto now = start; now < start + 6s; now += 1ms) {
            injectFault(now);
            const auto number = random() % fleet.size();
            if (!fleet[number].admits(Cold, perSecond, now)) {
                continue;
            }
            fleet[number].recordOpening(Cold, now);
            // Packets take up to 20 ms.
            window.push_back(now + std::chrono::milliseconds(random() % 20));
            std::ranges::sort(window);
            while (window.back() - window.front() > Second) {
                window.pop_front();
            }
            maxOpenings = std::max(maxOpenings, window.size());
        }
        return maxOpenings;
    }

    static void injectNoFault(TimePoint /*now*/) { }
};

// Callers of all instances want a cold upstream, and each instance decides without the others.
// Together they must not exceed the limit of the contract.
TEST(ColdAdmission, fleetStaysWithinTheLimitInAnySecond)
{
    for (const std::size_t size : { 1U, 5U, 9U, 20U, 136U, 520U }) {
        for (const double perSecond : { 1.0, 3.0, 12.0, 40.0 }) {
            for (std::uint32_t seed = 0; seed < 5; ++seed) {
                startFleet(size, seed);
                CHECK(maxOpeningsInAnySecond(perSecond, seed, injectNoFault) <= perSecond);
            }
        }
    }
}

// Guards against shares that are so small that the limit is not used.
TEST(ColdAdmission, fleetUsesMostOfTheLimit)
{
    startFleet(9, 1);
    CHECK(maxOpeningsInAnySecond(12.0, 1, injectNoFault) >= 10);
}

// Most instances are killed and restarted while an upstream is cold. A restarted instance does not
// know its former openings and must not use its share again (soak, seed 107).
TEST(ColdAdmission, restartsOfMostInstancesStayWithinTheTolerance)
{
    for (std::uint32_t seed = 0; seed < 20; ++seed) {
        startFleet(9, seed);
        const auto restartMost = [&](TimePoint now) {
            for (std::size_t number = 0; number < 8; ++number) {
                if (now == start + 1s || now == start + 1'800ms || now == start + 2'500ms) {
                    restart(number, now);
                }
            }
        };
        CHECK(maxOpeningsInAnySecond(3.0, seed, restartMost)
              <= static_cast<std::size_t>(std::floor(3.0 * Tolerance + Slack)));
    }
}

TEST(ColdAdmission, zeroLimitAdmitsNone)
{
    startFleet(3, 1);
    LONGS_EQUAL(0, maxOpeningsInAnySecond(0.0, 1, injectNoFault));
}

// Before setFleet() an instance does not know its share of the limit.
TEST(ColdAdmission, instanceWithoutFleetMembersAdmitsNone)
{
    CHECK_FALSE(ColdAdmission().admits(Cold, 12.0, start));
}
