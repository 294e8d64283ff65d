// Compares three designs that choose the upstream of a new flow, under loads and faults of the
// users' platform: rendezvous hashing, the less loaded of two choices, and the daemon's packet path
// with passive health checks. Each run simulates 20 s. One output line per load and design:
//   opening.<load>  calm: no fault; slow: two upstreams work five times as long; mute: two
//                   upstreams leave every second request unanswered; crashed, many_crashed: two or
//                   seven of 14 upstreams crash; flapping: an upstream crashes and restarts four
//                   times; few, nearly_full, overloaded: 8, 6 or 5 upstreams instead of 14;
//                   zone_cut: a zone is cut off for 6 s; reconnect: all feeds lose their flows;
//                   grown_*: the same faults in a fleet of 114 instances and 120 upstreams
//   way             design: rendezvous, two_choices, or evidence (passive health checks)
//   asked           requests sent
//   in_time, late   shares of the requests answered within or after the latency target
//   failed          share of the requests that failed
//   p99_ms          99th percentile of the latency of answered requests
//   wrong_resets    flows that were reset although their upstream was running and reachable
#include "benchmarks/flowload.h"

#include <array>
#include <functional>
#include <iostream>
#include <string_view>

using namespace banyanwall;
using namespace std::chrono_literals;
using benchmarks::ChoiceKind;
using benchmarks::FlowLoad;
using benchmarks::FlowLoadSizes;

namespace {

constexpr std::uint32_t Seed = 20261204;

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

std::vector<Load> loads()
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
    const auto dropAnswers = [](FlowLoad &load, int count) {
        load.at(5s, [&load, count] {
            for (int upstream = 0; upstream < count; ++upstream) {
                load.dropAnswerEvery(upstream, 2);
            }
        });
    };
    const auto cutZone1 = [](FlowLoad &load) {
        load.at(5s, [&load] { load.cutZone(1, true); });
        load.at(11s, [&load] { load.cutZone(1, false); });
    };
    return {
        { "calm", {}, [](FlowLoad &) {} },
        { "slow",
          {},
          [](FlowLoad &load) {
              load.at(5s, [&load] {
                  load.setSlowness(0, 5.0);
                  load.setSlowness(1, 5.0);
              });
          } },
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
        { "grown_mute", grown(), [dropAnswers](FlowLoad &load) { dropAnswers(load, 17); } },
        { "grown_crashed", grown(), crash(15) },
        { "grown_zone_cut", grown(), cutZone1 },
    };
}

void runLoad(const Load &load, const NamedChoice &choice)
{
    FlowLoad run(choice.kind, load.sizes, Seed);
    load.faults(run);
    auto result = run.run();
    std::cout << "opening." << load.name << " way=" << choice.name << " asked=" << result.requests
              << " in_time=" << result.goodput() << " late=" << result.share(result.late)
              << " failed=" << result.share(result.failed)
              << " p99_ms=" << static_cast<double>(result.percentile(0.99).count()) / 1e3
              << " wrong_resets=" << result.wrongResets << std::endl;
}

} // namespace

int main()
{
    const std::array choices { NamedChoice { "rendezvous", benchmarks::RendezvousChoice {} },
                               NamedChoice { "two_choices", benchmarks::TwoChoices {} },
                               NamedChoice { "evidence", benchmarks::PassiveHealthChoice {} } };
    for (const auto &load : loads()) {
        for (const auto &choice : choices) {
            runLoad(load, choice);
        }
    }
    return 0;
}
