// Measures how soon instances stop opening flows to crashed upstreams, and how many running
// upstreams they suspect, in fleets of three sizes. Passive health checks are compared with
// rendezvous hashing. Load: feeds and submissions; one packet in a thousand is lost; a tenth of the
// upstreams crashes after 4 s and the run ends after 8 s. One output line per fleet and design:
//   evidence.upstreams  upstreams of the fleet; 6000_quarter is a quarter of the target fleet
//   way                 design: rendezvous, or evidence (passive health checks)
//   avoided_after_s     time from the crash to the end of the first 200 ms window in which the
//                       crashed upstreams get less than a quarter of the opening packets that they
//                       got in the window before the crash; -1 if there is no such window
//   in_time             share of the requests that were answered within the latency target
//   failed              share of the requests that failed
//   live_suspected      share of the pairs of instance and upstream that are suspected just
//                       before the crash, when all upstreams are running
//   wrong_resets        flows that were reset although their upstream was running and reachable
#include "benchmarks/flowload.h"

#include <array>
#include <iostream>
#include <string_view>
#include <vector>

using namespace banyanwall;
using namespace std::chrono_literals;
using benchmarks::ChoiceKind;
using benchmarks::FlowLoad;
using benchmarks::FlowLoadSizes;

namespace {

constexpr std::uint32_t Seed = 20261204;
constexpr common::Duration CrashAt = 4s;
constexpr common::Duration End = 8s;
constexpr common::Duration Window = 200ms;
// One in this many upstreams crashes.
constexpr int UpstreamsPerCrash = 10;
// The crashed upstreams count as avoided in a window in which they get less than this share of the
// opening packets that they got in the window before the crash.
constexpr double AvoidedOpeningsShare = 0.25;

struct Fleet
{
    std::string_view name;
    FlowLoadSizes sizes;
};

std::array<Fleet, 3> fleets()
{
    const FlowLoadSizes small { .upstreams = 18, .duration = End, .loss = 0.001 };
    const FlowLoadSizes grown { .instancesPerZone = 38,
                                .upstreams = 150,
                                .slots = 2,
                                .feeds = 1'138,
                                .submissions = 325.0,
                                .duration = End,
                                .loss = 0.001 };
    // A quarter of 520 instances, 6,000 upstreams and 43,000 new flows per second. The load of each
    // instance and each upstream is the same as in the full fleet.
    const FlowLoadSizes quarterOfTarget { .zones = 4,
                                          .instancesPerZone = 33,
                                          .upstreams = 1'500,
                                          .feeds = 10'000,
                                          .submissions = 10'750.0,
                                          .duration = End,
                                          .loss = 0.001 };
    return { Fleet { "18", small }, { "150", grown }, { "6000_quarter", quarterOfTarget } };
}

/// Appends the total of opening packets to the first `crashed` upstreams at the end of each window,
/// from one window before the crash to the end of the run.
void countWindows(FlowLoad &load, int crashed, std::vector<std::uint64_t> &openingTotals)
{
    for (auto time = CrashAt - Window; time <= End; time += Window) {
        load.at(time, [&load, &openingTotals, crashed] {
            std::uint64_t total = 0;
            for (int upstream = 0; upstream < crashed; ++upstream) {
                total += load.openings(upstream);
            }
            openingTotals.push_back(total);
        });
    }
}

void measureDetection(const Fleet &fleet, std::string_view choiceName, const ChoiceKind &choice)
{
    FlowLoad load(choice, fleet.sizes, Seed);
    const int crashed = fleet.sizes.upstreams / UpstreamsPerCrash;
    std::vector<std::uint64_t> openingTotals;
    countWindows(load, crashed, openingTotals);
    std::size_t suspectedPairs = 0;
    load.at(CrashAt - 1ms, [&] { suspectedPairs = load.wronglySuspectedPairs(); });
    load.at(CrashAt, [&] {
        for (int upstream = 0; upstream < crashed; ++upstream) {
            load.crash(upstream);
        }
    });
    const auto result = load.run();
    const auto before = static_cast<double>(openingTotals.at(1) - openingTotals.at(0));
    auto avoidedAfter = -1.0;
    for (std::size_t window = 2; window < openingTotals.size() && avoidedAfter < 0; ++window) {
        const auto openings =
                static_cast<double>(openingTotals[window] - openingTotals[window - 1]);
        if (openings < before * AvoidedOpeningsShare) {
            avoidedAfter =
                    std::chrono::duration<double>(Window).count() * static_cast<double>(window - 1);
        }
    }
    const auto pairs = fleet.sizes.zones * fleet.sizes.instancesPerZone * fleet.sizes.upstreams;
    std::cout << "evidence.upstreams=" << fleet.name << " way=" << choiceName
              << " avoided_after_s=" << avoidedAfter << " in_time=" << result.goodput()
              << " failed=" << result.share(result.failed)
              << " live_suspected=" << static_cast<double>(suspectedPairs) / pairs
              << " wrong_resets=" << result.wrongResets << std::endl;
}

} // namespace

int main()
{
    for (const auto &fleet : fleets()) {
        measureDetection(fleet, "rendezvous", benchmarks::RendezvousChoice {});
        measureDetection(fleet, "evidence", benchmarks::PassiveHealthChoice {});
    }
    return 0;
}
