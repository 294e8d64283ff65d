// Compares designs that choose the upstream of a new flow, under loads and faults of the users'
// platform: rendezvous hashing, the less loaded of two choices, the daemon's packet path with the
// choice by hash and by load, and an oracle. Each run simulates 20 s. Arguments: the number of
// seeds (1 when left out), and the loads to run (all when left out). One output line per load and
// design:
//   opening.<load>  calm: no fault; slow: two upstreams work five times as long; mute: two
//                   upstreams leave every second request unanswered; crashed, many_crashed: two or
//                   seven of 14 upstreams crash; flapping: an upstream crashes and restarts four
//                   times; few, nearly_full, overloaded: 8, 6 or 5 upstreams instead of 14;
//                   zone_cut: a zone is cut off for 6 s; reconnect: all feeds lose their flows;
//                   slow_short: slow, with flows of one request only; tiny_*: 4 upstreams in three
//                   zones; grown_*: a fleet of 114 instances and 120 upstreams; slow_quarter: a
//                   quarter of 120 upstreams at less than half the speed of the others;
//                   heavy_tail: 3 % of the requests with seven times the work; uneven_zones: 3, 7
//                   and 8 upstreams and half of the callers in the first zone; swing: demand of
//                   each zone swings by 0.55 in 15 s; long_flows_cut: long flows in four zones, one
//                   of which is cut off for 6 s
//   way             design: rendezvous, two_choices, evidence (passive health checks, choice by
//                   hash), load (the same, choice by load), oracle (knows all queues)
//   asked           requests sent
//   in_time, late   shares of the requests answered within or after the latency target
//   failed          share of the requests that failed
//   lowest          lowest in_time of a seed
//   p99_ms          99th percentile of the latency of answered requests
//   wrong_resets    flows that were reset although their upstream was running and reachable
#include "benchmarks/flowload.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <functional>
#include <iostream>
#include <iterator>
#include <string_view>

using namespace banyanwall;
using namespace std::chrono_literals;
using benchmarks::ChoiceKind;
using benchmarks::FlowLoad;
using benchmarks::FlowLoadResult;
using benchmarks::FlowLoadSizes;

namespace {

constexpr std::uint32_t FirstSeed = 20261204;

struct Load
{
    std::string_view name;
    FlowLoadSizes sizes;
    std::function<void(FlowLoad &)> faults;
};

struct NamedChoice
{
    std::string_view name;
    ChoiceKind kind;
};

FlowLoadSizes withUpstreams(int upstreams)
{
    FlowLoadSizes sizes;
    sizes.upstreams = upstreams;
    return sizes;
}

void cutZone1(FlowLoad &load)
{
    load.at(5s, [&load] { load.cutZone(1, true); });
    load.at(11s, [&load] { load.cutZone(1, false); });
}

/// All requests with flows of their own.
FlowLoadSizes withShortFlows()
{
    FlowLoadSizes sizes;
    sizes.feeds = 0;
    sizes.submissions = 300.0;
    return sizes;
}

/// Four upstreams in three zones.
FlowLoadSizes tiny()
{
    FlowLoadSizes sizes = withUpstreams(4);
    sizes.feeds = 83;
    sizes.submissions = 24.0;
    return sizes;
}

/// 38 instances in each of three zones, so that an instance sees about one flow in a hundred.
FlowLoadSizes grown()
{
    FlowLoadSizes sizes;
    sizes.instancesPerZone = 38;
    sizes.upstreams = 120;
    sizes.slots = 2;
    sizes.feeds = 1'138;
    sizes.submissions = 325.0;
    return sizes;
}

/// 120 upstreams of two slots, all requests with flows of their own.
FlowLoadSizes shortFlows(double submissions)
{
    FlowLoadSizes sizes = grown();
    sizes.instancesPerZone = 20;
    sizes.feeds = 0;
    sizes.submissions = submissions;
    return sizes;
}

std::vector<Load> unevenLoads()
{
    const auto none = [](FlowLoad &) {};
    auto slowQuarter = shortFlows(2'600.0);
    slowQuarter.speeds = { 0.55, 1.2, 1.2, 1.2 };
    auto heavyTail = shortFlows(2'200.0);
    heavyTail.tailShare = 0.03;
    FlowLoadSizes unevenZones;
    unevenZones.upstreams = 18;
    unevenZones.upstreamsByZone = { 3, 7, 8 };
    unevenZones.callersByZone = { 2.0, 1.0, 1.0 };
    unevenZones.submissions = 350.0;
    auto swing = shortFlows(2'200.0);
    swing.swing = 0.55;
    auto longFlows = grown();
    longFlows.zones = 4;
    longFlows.instancesPerZone = 26;
    longFlows.submissions = 50.0;
    return {
        { "slow_quarter", slowQuarter, none },     { "heavy_tail", heavyTail, none },
        { "uneven_zones", unevenZones, none },     { "swing", swing, none },
        { "long_flows_cut", longFlows, cutZone1 },
    };
}

std::vector<Load> evenLoads()
{
    const auto crash = [](int count) {
        return [count](FlowLoad &load) {
            load.at(5s, [&load, count] {
                for (int upstream = 0; upstream < count; ++upstream) {
                    load.crash(upstream);
                }
            });
        };
    };
    const auto slowTwo = [](FlowLoad &load) {
        load.at(5s, [&load] {
            load.setSlowness(0, 5.0);
            load.setSlowness(1, 5.0);
        });
    };
    const auto dropAnswers = [](FlowLoad &load, int count) {
        load.at(5s, [&load, count] {
            for (int upstream = 0; upstream < count; ++upstream) {
                load.dropAnswerEvery(upstream, 2);
            }
        });
    };
    return {
        { "calm", {}, [](FlowLoad &) {} },
        { "slow", {}, slowTwo },
        { "slow_short", withShortFlows(), slowTwo },
        { "mute", {}, [dropAnswers](FlowLoad &load) { dropAnswers(load, 2); } },
        { "crashed", {}, crash(2) },
        { "many_crashed", {}, crash(7) },
        { "flapping",
          {},
          [](FlowLoad &load) {
              for (int turn = 0; turn < 4; ++turn) {
                  load.at(3s + turn * 4s, [&load] { load.crash(0); });
                  load.at(5s + turn * 4s, [&load] { load.restart(0); });
              }
          } },
        { "few", withUpstreams(8), [](FlowLoad &) {} },
        { "nearly_full", withUpstreams(6), [](FlowLoad &) {} },
        { "overloaded", withUpstreams(5), [](FlowLoad &) {} },
        { "zone_cut", {}, cutZone1 },
        { "reconnect", {}, [](FlowLoad &load) { load.at(5s, [&load] { load.reconnectAll(); }); } },
        { "tiny", tiny(), [](FlowLoad &) {} },
        { "tiny_crashed", tiny(), crash(1) },
        { "tiny_zone_cut", tiny(), cutZone1 },
        { "grown_mute", grown(), [dropAnswers](FlowLoad &load) { dropAnswers(load, 17); } },
        { "grown_crashed", grown(), crash(15) },
        { "grown_zone_cut", grown(), cutZone1 },
    };
}

std::vector<Load> allLoads()
{
    auto all = unevenLoads();
    std::ranges::move(evenLoads(), std::back_inserter(all));
    return all;
}

void runLoad(const Load &load, const NamedChoice &choice, std::uint32_t seeds)
{
    FlowLoadResult sum;
    double lowest = 1.0;
    for (std::uint32_t seed = 0; seed < seeds; ++seed) {
        FlowLoad run(choice.kind, load.sizes, FirstSeed + seed);
        load.faults(run);
        const auto result = run.run();
        lowest = std::min(lowest, result.goodput());
        sum += result;
    }
    std::cout << "opening." << load.name << " way=" << choice.name << " asked=" << sum.requests
              << " in_time=" << sum.goodput() << " lowest=" << lowest
              << " late=" << sum.share(sum.late) << " failed=" << sum.share(sum.failed)
              << " p99_ms=" << static_cast<double>(sum.percentile(0.99).count()) / 1e3
              << " wrong_resets=" << sum.wrongResets << std::endl;
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string_view> arguments(argv + 1, argv + argc);
    const std::array choices { NamedChoice { "rendezvous", benchmarks::RendezvousChoice {} },
                               NamedChoice { "two_choices", benchmarks::TwoChoices {} },
                               NamedChoice { "evidence", benchmarks::PassiveHealthChoice {} },
                               NamedChoice { "load", benchmarks::LoadChoice {} },
                               NamedChoice { "oracle", benchmarks::OracleChoice {} } };
    std::uint32_t seeds = 1;
    if (!arguments.empty()) {
        const auto count = arguments.front();
        std::from_chars(count.data(), count.data() + count.size(), seeds);
    }
    const auto isWanted = [&](const Load &load) {
        return arguments.size() < 2
                || std::find(arguments.begin() + 1, arguments.end(), load.name) != arguments.end();
    };
    for (const auto &load : allLoads()) {
        for (const auto &choice : choices) {
            if (isWanted(load)) {
                runLoad(load, choice, seeds);
            }
        }
    }
    return 0;
}
