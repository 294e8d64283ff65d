#include "connection/serviceselection.h"

#include "common/hash.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

using namespace banyanwall;
using common::ServiceId;
using connection::ServiceSelection;
using version::ServiceShare;

namespace {

const ServiceId Ledger { 1 };
const ServiceId Desk { 2 };
const common::Endpoint Route { 0x0a000001, 443 };
constexpr int Flows = 10'000;

} // namespace

TEST_GROUP(ServiceSelection)
{
    std::vector<ServiceShare> shares { { Ledger, 90 }, { Desk, 10 } };
    ServiceSelection selection;

    void update(const ServiceSelection::ServiceState &ledger,
                const ServiceSelection::ServiceState &desk, int times = 1)
    {
        const std::vector states { ledger, desk };
        for (int update = 0; update < times; ++update) {
            selection.update(Route, shares, states);
        }
    }

    /// Share of the openings refused by one service that go to the other.
    double movedShare(ServiceId from) const
    {
        int moved = 0;
        for (int flow = 0; flow < Flows; ++flow) {
            moved += selection.alternative(Route, from, common::mixBits(flow)).has_value() ? 1 : 0;
        }
        return static_cast<double>(moved) / Flows;
    }
};

// The contract's weights divide the flows in calm, alike at all instances and after each restart.
TEST(ServiceSelection, weightsDivideTheFlows)
{
    int ledger = 0;
    for (int flow = 0; flow < Flows; ++flow) {
        ledger += ServiceSelection::byWeight(shares, common::mixBits(flow)) == Ledger ? 1 : 0;
    }
    // Four standard deviations from the expected 9,000.
    CHECK(ledger > 8'880 && ledger < 9'120);
}

// Load: within the room of both services. Flows moved without need would leave the weights.
TEST(ServiceSelection, nothingMovesWhileNothingIsRefused)
{
    update({ Ledger, 240, 200, 0, true }, { Desk, 60, 10, 0, true }, 20);
    DOUBLES_EQUAL(0.0, movedShare(Ledger), 0.0);
}

// Load: one service brings 40 slots of work more than its room, the other has 41 free slots of 60.
TEST(ServiceSelection, refusedWorkGoesToTheServiceWithRoom)
{
    double moved = 0.0;
    for (int step = 0; step < 50; ++step) {
        // The demand of the second service follows what was moved to it.
        update({ Ledger, 240, 240, 40, true }, { Desk, 60, 10 + moved * 40, 0, true });
        moved = movedShare(Ledger);
    }
    DOUBLES_EQUAL(1.0, moved, 0.05);
    DOUBLES_EQUAL(0.0, movedShare(Desk), 0.0);
}

// Load: 1,900 slots of work beyond the room, as in a burst of nine times the usual traffic. The
// own callers of the second service must keep their room, also while its demand is known late.
TEST(ServiceSelection, moreThanTheFreeRoomDoesNotMove)
{
    constexpr int lag = 5;
    std::vector<double> moved(lag, 0.0);
    for (int step = 0; step < 100; ++step) {
        const auto demand = 10 + moved[moved.size() - lag] * 1'900;
        update({ Ledger, 240, 240, 1'900, true }, { Desk, 60, demand, 0, true });
        moved.push_back(movedShare(Ledger));
        CHECK(10 + moved.back() * 1'900 <= 60);
    }
    DOUBLES_EQUAL(51.0, 10 + moved.back() * 1'900, 8.0);
}

// All upstreams of a service are withdrawn, so that it can take no new flow; the other one has
// room.
TEST(ServiceSelection, flowsOfAServiceWithoutSlotsMove)
{
    double moved = 0.0;
    for (int step = 0; step < 50; ++step) {
        update({ Ledger, 0, 0, 0, true }, { Desk, 60, 10 + moved * 20, 0, true });
        moved = movedShare(Ledger);
    }
    DOUBLES_EQUAL(1.0, moved, 0.05);
}

// Load: both services have too little room. Moving would only take room from the other's callers.
TEST(ServiceSelection, nothingMovesToAServiceWithoutRoom)
{
    update({ Ledger, 240, 240, 100, true }, { Desk, 60, 60, 20, true }, 20);
    DOUBLES_EQUAL(0.0, movedShare(Ledger), 0.0);
    DOUBLES_EQUAL(0.0, movedShare(Desk), 0.0);
}

// The load of the other service is not known, as after a restart or while reports are lost.
TEST(ServiceSelection, nothingMovesWithoutRecentFigures)
{
    update({ Ledger, 240, 240, 100, true }, { Desk, 60, 10, 0, true }, 20);
    CHECK(movedShare(Ledger) > 0.0);
    update({ Ledger, 240, 240, 100, true }, { Desk, 60, 10, 0, false });
    DOUBLES_EQUAL(0.0, movedShare(Ledger), 0.0);
}

// A service with weight 0 is named, but the contract gives it nothing.
TEST(ServiceSelection, nothingMovesToAServiceOfWeightZero)
{
    shares = { { Ledger, 90 }, { Desk, 0 } };
    update({ Ledger, 240, 240, 100, true }, { Desk, 60, 10, 0, true }, 20);
    DOUBLES_EQUAL(0.0, movedShare(Ledger), 0.0);
}

// A contract without the route must not leave its state behind.
TEST(ServiceSelection, routeThatIsNoLongerUpdatedIsForgotten)
{
    update({ Ledger, 240, 240, 100, true }, { Desk, 60, 10, 0, true }, 20);
    selection.removeUnused();
    CHECK(movedShare(Ledger) > 0.0);
    selection.removeUnused();
    DOUBLES_EQUAL(0.0, movedShare(Ledger), 0.0);
}
