#include "benchmarks/requestbaseline.h"
#include "benchmarks/requestcost.h"
#include "benchmarks/requestfleet.h"
#include "benchmarks/requestscenario.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <numeric>
#include <string>

using namespace banyanwall;
using namespace banyanwall::benchmarks;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t DefaultSeed = 20'260'101;
constexpr std::size_t Upstreams = 14;
// Seconds between two points of the ideal that goodput is compared to.
constexpr double FluidStep = 0.001;
constexpr common::Duration TraceStep = 250ms;

/// Everything around the instances of one run.
struct World
{
    explicit World(std::uint64_t seed)
        : network(events, seed)
    { }

    EventQueue events;
    SimulatedNetwork network;
    RequestLedger ledger;
    std::vector<UpstreamFake> upstreams { Upstreams, UpstreamFake(events, network, ledger) };
};

template<typename Fleet>
void runAll(World &world, Fleet &fleet, const ScenarioSettings &settings)
{
    Scenario<Fleet> scenario(settings, world.events, world.network, world.ledger, world.upstreams,
                             fleet);
    scenario.schedule();
    world.events.runUntil(scenario.end());
}

void print(const std::string &name, std::uint64_t value)
{
    std::cout << name << '=' << value << '\n';
}

std::uint64_t overLimit(const World &world)
{
    return std::transform_reduce(world.upstreams.begin(), world.upstreams.end(),
                                 std::uint64_t { 0 }, std::plus<>(),
                                 [](const UpstreamFake &fake) { return fake.overLimit(); });
}

/// Dispatches beyond what a cold upstream handled, by whether their slot was granted before it
/// turned cold.
std::uint64_t overload(const World &world, bool grantedBefore)
{
    return std::transform_reduce(
            world.upstreams.begin(), world.upstreams.end(), std::uint64_t { 0 }, std::plus<>(),
            [grantedBefore](const UpstreamFake &fake) {
                return std::ranges::count(fake.overloads(), grantedBefore,
                                          &UpstreamFake::Overload::grantedBefore);
            });
}

void printOverload(const std::string &prefix, const World &world)
{
    print(prefix + "cold_overload", overload(world, false));
    print(prefix + "cold_overload_granted_before", overload(world, true));
}

double millisecondsBetween(common::TimePoint from, common::TimePoint to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

/// One row for each dispatch beyond what a cold upstream handled.
void traceOverloads(const std::string &prefix, const World &world)
{
    for (std::size_t index = 0; index < world.upstreams.size(); ++index) {
        for (const auto &overload : world.upstreams[index].overloads()) {
            std::cout << "trace." << prefix << "cold_overload upstream=" << index
                      << " dispatched_ms=" << millisecondsBetween(overload.coldSince, overload.at)
                      << " granted_ms="
                      << millisecondsBetween(overload.coldSince, overload.grantedAt)
                      << " running=" << overload.running << " handled=" << overload.handled << '\n';
        }
    }
}

/// State of slots and upstreams at each TraceStep of simulated time after a cold turn.
void traceSlots(World &world, const CoordinatorFleet &fleet, common::TimePoint coldAt,
                common::Duration left)
{
    const auto slots = fleet.slots();
    std::size_t running = 0;
    std::uint32_t handled = 0;
    for (const auto &upstream : world.upstreams) {
        running += upstream.running();
        handled += upstream.handled();
    }
    std::cout << "trace.slots ms=" << millisecondsBetween(coldAt, world.events.now())
              << " completed=" << world.ledger.completed() << " handled=" << handled
              << " running=" << running << " window=" << slots.usable << " busy=" << slots.busy
              << " in_progress=" << slots.inProgress << " retries=" << fleet.retries() << '\n';
    if (left > TraceStep) {
        world.events.after(TraceStep, [&world, &fleet, coldAt, left] {
            traceSlots(world, fleet, coldAt, left - TraceStep);
        });
    }
}

void printRun(const std::string &prefix, const World &world)
{
    const auto tally = world.ledger.tally();
    print(prefix + "requests", tally.requests);
    print(prefix + "completed", tally.completed);
    print(prefix + "not_run", tally.notRun);
    print(prefix + "may_have_run", tally.mayHaveRun);
    print(prefix + "no_verdict", tally.noVerdict);
    print(prefix + "wrong_runs", tally.wrongRuns);
    print(prefix + "false_not_run", tally.falseNotRun);
    print(prefix + "false_not_run_non_repeatable", tally.falseNotRunNonRepeatable);
    print(prefix + "incomplete_answers", tally.incompleteAnswers);
    print(prefix + "mixed_answers", tally.mixedAnswers);
    print(prefix + "slots_over_limit", overLimit(world));
    printOverload(prefix, world);
}

void runFailures(std::uint64_t seed, bool trace)
{
    const ScenarioSettings settings { seed };
    World ours(seed);
    CoordinatorFleet fleet(ours.events, ours.network, ours.ledger, ours.upstreams, true, seed);
    runAll(ours, fleet, settings);
    printRun("coordinator.", ours);
    if (trace) {
        traceOverloads("coordinator.", ours);
    }
    print("coordinator.retries", fleet.retries());
    for (const auto &[reason, count] : fleet.refusals()) {
        print("coordinator.refused." + std::string(common::toString(reason)), count);
    }
    World theirs(seed);
    RetryingRouter router(theirs.events, theirs.network, theirs.ledger, theirs.upstreams);
    runAll(theirs, router, settings);
    printRun("baseline.", theirs);
}

/// Requests that upstreams which all turn cold at once could answer, one by one and without any
/// waste, in the given time.
double servableAfterColdTurn(double requestsPerSecond, common::Duration time)
{
    const double perSlot = 1 / std::chrono::duration<double>(UpstreamFake::UsualLatency).count();
    const double seconds = std::chrono::duration<double>(time).count();
    double served = 0;
    double waiting = 0;
    double work = 0;
    std::uint32_t handles = 1;
    for (double at = 0; at < seconds; at += FluidStep) {
        waiting += requestsPerSecond * FluidStep;
        const double done = std::min(waiting, Upstreams * handles * perSlot * FluidStep);
        waiting -= done;
        served += done;
        work += done / Upstreams;
        if (handles < UpstreamFake::Slots && work >= UpstreamFake::WorkPerStep) {
            ++handles;
            work = 0;
        }
    }
    return served;
}

void runColdTurn(std::uint64_t seed, bool slowStart, const std::string &prefix, bool trace)
{
    ScenarioSettings settings { seed };
    settings.failures = false;
    settings.allColdAt = 30s;
    settings.requests = 70 * std::uint64_t { settings.requestsPerSecond };
    World world(seed);
    CoordinatorFleet fleet(world.events, world.network, world.ledger, world.upstreams, slowStart,
                           seed);
    Scenario<CoordinatorFleet> scenario(settings, world.events, world.network, world.ledger,
                                        world.upstreams, fleet);
    const auto coldAt = world.events.now() + settings.allColdAt;
    scenario.schedule();
    world.events.runUntil(coldAt);
    if (trace) {
        traceSlots(world, fleet, coldAt, 30s);
    }
    const auto before = world.ledger.completed();
    world.events.runUntil(coldAt + 30s);
    const auto served = world.ledger.completed() - before;
    print(prefix + "goodput_30s", served);
    std::cout << prefix << "goodput_ratio="
              << static_cast<double>(served)
                    / servableAfterColdTurn(settings.requestsPerSecond, 30s)
              << '\n';
    printOverload(prefix, world);
    if (trace) {
        traceOverloads(prefix, world);
    }
}

void printCapacity()
{
    for (const std::size_t inProgress : { 1'000, 4'000, 16'000, 64'000 }) {
        const auto cost = measureCoordinator(inProgress);
        const auto row = [inProgress](const char *metric, double value) {
            std::cout << "capacity." << metric << " n=" << inProgress
                      << " value=" << std::llround(value) << '\n';
        };
        row("requests_per_second", cost.requestsPerSecond);
        row("bytes_per_request_in_progress", cost.bytesPerRequestInProgress);
        row("bytes_per_request_marker", cost.bytesPerMarker);
    }
}

} // namespace

int main(int argc, char **argv)
{
    const auto seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : DefaultSeed;
    // With a second argument, the runs with slow start are traced.
    const bool trace = argc > 2;
    runFailures(seed, trace);
    runColdTurn(seed, true, "cold_turn.slow_start.", trace);
    runColdTurn(seed, false, "cold_turn.no_slow_start.", false);
    printCapacity();
    return 0;
}
