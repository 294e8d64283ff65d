// Compares ways to choose the upstream of a flow under loads and faults of the users' platform:
// hash alone, the better of two, and the product's packet path. One row a load and way.
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

struct Way
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

/// 45 instances a zone, each of which sees one flow in a hundred.
FlowLoadSizes grown()
{
    FlowLoadSizes sizes;
    sizes.instancesOfAZone = 38;
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
    const auto mute = [](FlowLoad &load, int count) {
        load.at(5s, [&load, count] {
            for (int upstream = 0; upstream < count; ++upstream) {
                load.setMuteEvery(upstream, 2);
            }
        });
    };
    const auto cut = [](FlowLoad &load) {
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
        { "mute", {}, [mute](FlowLoad &load) { mute(load, 2); } },
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
        { "zone_cut", {}, cut },
        { "reconnect", {}, [](FlowLoad &load) { load.at(5s, [&load] { load.reconnectAll(); }); } },
        { "grown_mute", grown(), [mute](FlowLoad &load) { mute(load, 17); } },
        { "grown_crashed", grown(), crash(15) },
        { "grown_zone_cut", grown(), cut },
    };
}

void print(const Load &load, const Way &way)
{
    FlowLoad run(way.kind, load.sizes, Seed);
    load.faults(run);
    auto result = run.run();
    std::cout << "opening." << load.name << " way=" << way.name << " asked=" << result.asked
              << " in_time=" << result.goodput() << " late=" << result.share(result.late)
              << " failed=" << result.share(result.failed)
              << " p99_ms=" << static_cast<double>(result.percentile(0.99).count()) / 1e3
              << " wrong_resets=" << result.wrongResets << std::endl;
}

} // namespace

int main()
{
    const std::array ways { Way { "rendezvous", benchmarks::RendezvousChoice {} },
                            Way { "two_choices", benchmarks::TwoChoices {} },
                            Way { "evidence", benchmarks::EvidenceChoice {} } };
    for (const auto &load : loads()) {
        for (const auto &way : ways) {
            print(load, way);
        }
    }
    return 0;
}
