// Measures request handling in a discrete-event simulation of 16 instances and 14 upstreams, and
// the cost of one coordinator in real time. Arguments: seed, and any second argument to trace the
// runs with slow start. Prints key=value lines:
//   coordinator.*  100,000 requests at 500 per second with failures of instances, upstreams and
//                  the store (see Scenario): verdicts, wrong runs, false verdicts and damaged
//                  answers (see RequestTally), dispatches beyond the slots, retries, and refusals
//                  by reason
//   baseline.*     the same load for routers that retry on their own (see RetryingRouter)
//   cold_turn.slow_start.*, cold_turn.no_slow_start.*
//                  all upstreams turn cold at once, without other failures: requests completed in
//                  the next 30 s, and their ratio to what the cold upstreams could answer at best
//   *cold_overload, *cold_overload_granted_before
//                  dispatches beyond the capacity of a cold upstream whose slot was granted after
//                  or before it turned cold
//   capacity.*     one coordinator with n requests in progress (see CoordinatorCost)
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
// Time step in seconds of the fluid model that goodput is compared with.
constexpr double FluidModelStep = 0.001;
constexpr common::Duration TraceStep = 250ms;

/// Network, upstreams and records of one run, without its instances.
struct Simulation
{
    explicit Simulation(std::uint64_t seed)
        : network(events, seed)
    { }

    RequestEventQueue events;
    SimulatedNetwork network;
    RequestLedger ledger;
    std::vector<RequestUpstreamFake> upstreams { Upstreams,
                                                 RequestUpstreamFake(events, network, ledger) };
};

template<typename Fleet>
void runAll(Simulation &simulation, Fleet &fleet, const ScenarioSettings &settings)
{
    Scenario<Fleet> scenario(settings, simulation.events, simulation.network, simulation.ledger,
                             simulation.upstreams, fleet);
    scenario.schedule();
    simulation.events.runUntil(scenario.end());
}

void print(const std::string &name, std::uint64_t value)
{
    std::cout << name << '=' << value << '\n';
}

std::uint64_t overLimit(const Simulation &simulation)
{
    return std::transform_reduce(simulation.upstreams.begin(), simulation.upstreams.end(),
                                 std::uint64_t { 0 }, std::plus<>(),
                                 [](const RequestUpstreamFake &fake) { return fake.overLimit(); });
}

/// Dispatches beyond the capacity of a cold upstream: either those whose slot was granted before it
/// turned cold, or those granted after.
std::uint64_t overload(const Simulation &simulation, bool wasGrantedBeforeColdTurn)
{
    return std::transform_reduce(
            simulation.upstreams.begin(), simulation.upstreams.end(), std::uint64_t { 0 },
            std::plus<>(), [wasGrantedBeforeColdTurn](const RequestUpstreamFake &fake) {
                return std::ranges::count(fake.overloads(), wasGrantedBeforeColdTurn,
                                          &RequestUpstreamFake::Overload::wasGrantedBeforeColdTurn);
            });
}

void printOverload(const std::string &prefix, const Simulation &simulation)
{
    print(prefix + "cold_overload", overload(simulation, false));
    print(prefix + "cold_overload_granted_before", overload(simulation, true));
}

double millisecondsBetween(common::TimePoint from, common::TimePoint to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

/// Prints a line for each dispatch beyond the capacity of a cold upstream.
void traceOverloads(const std::string &prefix, const Simulation &simulation)
{
    for (std::size_t index = 0; index < simulation.upstreams.size(); ++index) {
        for (const auto &overload : simulation.upstreams[index].overloads()) {
            std::cout << "trace." << prefix << "cold_overload upstream=" << index
                      << " dispatched_ms=" << millisecondsBetween(overload.coldSince, overload.at)
                      << " granted_ms="
                      << millisecondsBetween(overload.coldSince, overload.grantedAt)
                      << " running=" << overload.running << " handled=" << overload.capacity
                      << '\n';
        }
    }
}

/// Prints the state of slots and upstreams at each TraceStep of simulated time after all upstreams
/// turned cold.
void traceSlots(Simulation &simulation, const CoordinatorFleet &fleet, common::TimePoint coldAt,
                common::Duration left)
{
    const auto slots = fleet.slots();
    std::size_t running = 0;
    std::uint32_t capacity = 0;
    for (const auto &upstream : simulation.upstreams) {
        running += upstream.running();
        capacity += upstream.capacity();
    }
    std::cout << "trace.slots ms=" << millisecondsBetween(coldAt, simulation.events.now())
              << " completed=" << simulation.ledger.completed() << " handled=" << capacity
              << " running=" << running << " window=" << slots.usable << " busy=" << slots.busy
              << " in_progress=" << slots.inProgress << " retries=" << fleet.retries() << '\n';
    if (left > TraceStep) {
        simulation.events.after(TraceStep, [&simulation, &fleet, coldAt, left] {
            traceSlots(simulation, fleet, coldAt, left - TraceStep);
        });
    }
}

void printRun(const std::string &prefix, const Simulation &simulation)
{
    const auto tally = simulation.ledger.tally();
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
    print(prefix + "slots_over_limit", overLimit(simulation));
    printOverload(prefix, simulation);
}

void runFailures(std::uint64_t seed, bool shouldTrace)
{
    const ScenarioSettings settings { seed };
    Simulation coordinatorRun(seed);
    CoordinatorFleet fleet(coordinatorRun.events, coordinatorRun.network, coordinatorRun.ledger,
                           coordinatorRun.upstreams, true, seed);
    runAll(coordinatorRun, fleet, settings);
    printRun("coordinator.", coordinatorRun);
    if (shouldTrace) {
        traceOverloads("coordinator.", coordinatorRun);
    }
    print("coordinator.retries", fleet.retries());
    for (const auto &[reason, count] : fleet.refusals()) {
        print("coordinator.refused." + std::string(common::toString(reason)), count);
    }
    Simulation baselineRun(seed);
    RetryingRouter router(baselineRun.events, baselineRun.network, baselineRun.ledger,
                          baselineRun.upstreams);
    runAll(baselineRun, router, settings);
    printRun("baseline.", baselineRun);
}

/// Number of requests that the upstreams can answer at best in the given time after all of them
/// have turned cold. Fluid model: no upstream idles while requests wait, and none is overloaded.
double servableAfterColdTurn(double requestsPerSecond, common::Duration time)
{
    const double perSlot =
            1 / std::chrono::duration<double>(RequestUpstreamFake::UsualLatency).count();
    const double seconds = std::chrono::duration<double>(time).count();
    double served = 0;
    double waiting = 0;
    double work = 0;
    std::uint32_t capacity = 1;
    for (double at = 0; at < seconds; at += FluidModelStep) {
        waiting += requestsPerSecond * FluidModelStep;
        const double done = std::min(waiting, Upstreams * capacity * perSlot * FluidModelStep);
        waiting -= done;
        served += done;
        work += done / Upstreams;
        if (capacity < RequestUpstreamFake::Slots && work >= RequestUpstreamFake::WorkPerStep) {
            ++capacity;
            work = 0;
        }
    }
    return served;
}

void runColdTurn(std::uint64_t seed, bool hasSlowStart, const std::string &prefix, bool shouldTrace)
{
    ScenarioSettings settings { seed };
    settings.hasFailures = false;
    settings.allColdAt = 30s;
    settings.requests = 70 * std::uint64_t { settings.requestsPerSecond };
    Simulation simulation(seed);
    CoordinatorFleet fleet(simulation.events, simulation.network, simulation.ledger,
                           simulation.upstreams, hasSlowStart, seed);
    Scenario<CoordinatorFleet> scenario(settings, simulation.events, simulation.network,
                                        simulation.ledger, simulation.upstreams, fleet);
    const auto coldAt = simulation.events.now() + settings.allColdAt;
    scenario.schedule();
    simulation.events.runUntil(coldAt);
    if (shouldTrace) {
        traceSlots(simulation, fleet, coldAt, 30s);
    }
    const auto before = simulation.ledger.completed();
    simulation.events.runUntil(coldAt + 30s);
    const auto served = simulation.ledger.completed() - before;
    print(prefix + "goodput_30s", served);
    std::cout << prefix << "goodput_ratio="
              << static_cast<double>(served)
                    / servableAfterColdTurn(settings.requestsPerSecond, 30s)
              << '\n';
    printOverload(prefix, simulation);
    if (shouldTrace) {
        traceOverloads(prefix, simulation);
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
        row("bytes_per_request_marker", cost.bytesPerFinishedRequest);
    }
}

} // namespace

int main(int argc, char **argv)
{
    const auto seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : DefaultSeed;
    // With a second argument, the runs with slow start are traced.
    const bool shouldTrace = argc > 2;
    runFailures(seed, shouldTrace);
    runColdTurn(seed, true, "cold_turn.slow_start.", shouldTrace);
    runColdTurn(seed, false, "cold_turn.no_slow_start.", false);
    printCapacity();
    return 0;
}
