// Measures flow routing by FlowRouter. Each part prints key=value lines:
//   balance   imbalance.*: flows (or buckets) of the busiest upstream divided by the mean, for
//             60,000 random flows over 14 upstreams in 20 runs. "core" is the bucket map; it is
//             compared with rendezvous hashing of each flow.
//   capacity  capacity.<metric> n=<size>: memory in bytes, messages and bytes of handovers, and
//             milliseconds for changes of rosters and members, against the number of overrides,
//             members or services
//   faults    faults.*: as replay, with 1 % duplicated and delayed packets, two killed instances
//             and a failed upstream
//   moves     moved_over_minimum.*: buckets that change their upstream when one of 14 is removed
//             or one is added, divided by the minimum; compared with a Maglev table
//   replay    replay.*: flows that break while all instances are replaced and upstreams are drained
//             and added, for FlowRouter (core) and three baselines; see FlowWorkload and
//             WorkloadResult
//   speed     decisions.*: routing decisions per second for settled and transitional buckets
#include "flowworkload.h"
#include "maglevfill.h"

#include "common/hash.h"
#include "peer.pb.h"
#include "version/bucketassignment.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <iostream>
#include <numeric>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>

#include <malloc.h>
#include <tclap/CmdLine.h>

using namespace banyanwall;
using benchmarks::FleetReplay;
using benchmarks::FlowWorkload;
using benchmarks::workloadRoster;
using common::FlowKey;
using common::InstanceId;
using common::TimePoint;
using common::UpstreamId;
using connection::FlowRouter;
using connection::PacketKind;

namespace {

constexpr std::uint64_t Seed = 20'261;
constexpr std::uint32_t Upstreams = 14;
constexpr std::uint64_t PacketsPerThread = 10'000'000;
/// Flows of one balance measurement, and number of measurements with different flows.
constexpr std::size_t BalancedFlows = 60'000;
constexpr std::uint64_t BalanceRuns = 20;
/// Number of services over which moved buckets are averaged.
constexpr std::uint32_t MoveServices = 50;
/// At the target, 6,000 upstreams serve 1,300 addresses and 520 instances run.
constexpr std::uint32_t UpstreamsOfSmallService = 5;
constexpr std::uint32_t TargetInstances = 520;
/// Records of 12 bytes that fit into 1 KB.
constexpr std::size_t RecordsPerMessage = 85;
const TimePoint Start { std::chrono::seconds(1'000) };

template<typename Value>
void print(const std::string &key, const Value &value)
{
    std::cout << key << '=' << value << '\n';
}

std::shared_ptr<const connection::OwnerSelector> membersUpTo(std::uint32_t count)
{
    std::vector<connection::Member> members;
    for (std::uint32_t id = 1; id <= count; ++id) {
        members.push_back({ InstanceId(id), common::ZoneId(1 + id % 3), false });
    }
    return std::make_shared<const connection::OwnerSelector>(std::move(members));
}

std::vector<FlowKey> randomFlows(std::size_t count, std::uint64_t seed = Seed)
{
    std::mt19937_64 random(seed);
    std::vector<FlowKey> flows(count);
    std::ranges::generate(flows, [&] { return FlowKey(random()); });
    return flows;
}

// Routing decisions per second

std::uint64_t decideFor(FlowRouter &router, const std::vector<FlowKey> &flows, std::uint64_t count)
{
    std::uint64_t forwarded = 0;
    for (std::uint64_t number = 0; number < count; ++number) {
        const connection::RoutedPacket packet { FleetReplay::Service, flows[number % flows.size()],
                                                PacketKind::Data,     0,
                                                std::nullopt,         std::nullopt };
        const auto decision = router.route(packet, Start);
        forwarded += std::holds_alternative<connection::ForwardToUpstream>(decision) ? 1 : 0;
    }
    return forwarded;
}

void runDecisions(FlowRouter &router, const std::string &name, std::size_t threads)
{
    const auto flows = randomFlows(65'536);
    std::vector<std::uint64_t> forwarded(threads);
    const auto begin = std::chrono::steady_clock::now();
    {
        std::vector<std::jthread> workers;
        for (std::size_t worker = 0; worker < threads; ++worker) {
            workers.emplace_back([&, worker] {
                forwarded[worker] = decideFor(router, flows, PacketsPerThread);
            });
        }
    }
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
    const auto total = std::accumulate(forwarded.begin(), forwarded.end(), std::uint64_t { 0 });
    print("decisions." + name + ".threads", threads);
    print("decisions." + name + ".per_second",
          static_cast<std::uint64_t>(static_cast<double>(total) / elapsed.count()));
}

void runSpeed()
{
    FlowRouter router(InstanceId(1), common::ZoneId(2));
    router.setMembers(membersUpTo(16), Start);
    const auto roster = workloadRoster(1, Upstreams, 0);
    router.applyRoster(roster, Start);
    router.setInForce(FleetReplay::Service, roster.version);
    runDecisions(router, "settled", 1);
    runDecisions(router, "settled_parallel", 4);

    FlowRouter alone(InstanceId(1), common::ZoneId(2));
    alone.setMembers(membersUpTo(1), Start);
    alone.applyRoster(roster, Start);
    alone.applyRoster(workloadRoster(2, 2 * Upstreams, Upstreams), Start);
    runDecisions(alone, "transitional", 1);
}

// Broken flows

void runReplay(const std::string &name, benchmarks::WorkloadOptions options)
{
    const auto begin = std::chrono::steady_clock::now();
    FlowWorkload workload(options);
    const auto result = workload.run();
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
    print(name + ".seed", options.seed);
    print(name + ".flows", result.flows);
    print(name + ".packets", result.packets);
    print(name + ".broken.core", result.broken);
    print(name + ".broken.modulo", result.baselineBroken[0]);
    print(name + ".broken.rendezvous", result.baselineBroken[1]);
    print(name + ".broken.rendezvous_table", result.baselineBroken[2]);
    print(name + ".upstream_died", result.upstreamFailed);
    print(name + ".recovered", result.recovered);
    print(name + ".split_opens", result.splitOpens);
    print(name + ".failed_opens", result.failedOpens);
    print(name + ".lost_packets", result.lostPackets);
    print(name + ".hop_limit", result.hopLimit);
    print(name + ".relays_per_packet",
          static_cast<double>(result.relays) / static_cast<double>(result.packets));
    print(name + ".most_overrides", result.mostOverrides);
    print(name + ".handover_records", result.handoverRecords);
    print(name + ".handover_requests", result.handoverRequests);
    print(name + ".settled_revisions", result.settledRevisions);
    print(name + ".transitional_at_end", result.transitionalAtEnd);
    print(name + ".seconds", elapsed.count());
}

// Balance and moved buckets

double busiestOverMean(const std::map<UpstreamId, std::uint64_t> &counts)
{
    std::uint64_t total = 0;
    std::uint64_t busiest = 0;
    for (const auto &[upstream, count] : counts) {
        total += count;
        busiest = std::max(busiest, count);
    }
    return static_cast<double>(busiest) * static_cast<double>(counts.size())
            / static_cast<double>(total);
}

struct Imbalance
{
    double bucketMap = 0;
    double rendezvous = 0;
};

Imbalance measureImbalance(std::uint64_t run)
{
    auto roster = workloadRoster(1, Upstreams, 0);
    roster.service = common::ServiceId(static_cast<std::uint32_t>(Seed + run));
    const version::BucketMap map(roster, std::nullopt, nullptr);
    std::map<UpstreamId, std::uint64_t> bucketMap;
    std::map<UpstreamId, std::uint64_t> rendezvous;
    for (const auto flow : randomFlows(BalancedFlows, Seed + run)) {
        ++bucketMap[map.entry(version::BucketMap::bucketOf(flow)).openUpstream];
        const auto best = std::ranges::max(roster.upstreams, {}, [&](const auto &upstream) {
            return common::hashPair(flow.value(), upstream.id.value());
        });
        ++rendezvous[best.id];
    }
    return { busiestOverMean(bucketMap), busiestOverMean(rendezvous) };
}

void runBalance()
{
    Imbalance sum;
    Imbalance worst;
    for (std::uint64_t run = 0; run < BalanceRuns; ++run) {
        const auto measured = measureImbalance(run);
        sum.bucketMap += measured.bucketMap;
        sum.rendezvous += measured.rendezvous;
        worst.bucketMap = std::max(worst.bucketMap, measured.bucketMap);
        worst.rendezvous = std::max(worst.rendezvous, measured.rendezvous);
    }
    const version::BucketMap map(workloadRoster(1, Upstreams, 0), std::nullopt, nullptr);
    std::map<UpstreamId, std::uint64_t> buckets;
    for (std::uint32_t bucket = 0; bucket < version::BucketCount; ++bucket) {
        ++buckets[map.entry(common::BucketIndex(bucket)).openUpstream];
    }
    print("imbalance.flows", BalancedFlows);
    print("imbalance.runs", BalanceRuns);
    print("imbalance.mean.core", sum.bucketMap / BalanceRuns);
    print("imbalance.mean.rendezvous", sum.rendezvous / BalanceRuns);
    print("imbalance.worst.core", worst.bucketMap);
    print("imbalance.worst.rendezvous", worst.rendezvous);
    print("imbalance.core_buckets", busiestOverMean(buckets));
}

using Assign = std::function<std::vector<std::uint16_t>(
        common::ServiceId, const std::vector<version::WeightedUpstream> &, std::uint32_t)>;

double movedOverMinimum(const Assign &assign, bool isAddition)
{
    double sum = 0;
    for (std::uint32_t number = 0; number < MoveServices; ++number) {
        std::mt19937_64 random(Seed + number);
        const common::ServiceId service(static_cast<std::uint32_t>(random()));
        std::vector<version::WeightedUpstream> larger;
        for (std::uint32_t count = 0; count < Upstreams + (isAddition ? 1 : 0); ++count) {
            larger.push_back({ UpstreamId(static_cast<std::uint32_t>(random())) });
        }
        std::ranges::sort(larger, {}, &version::WeightedUpstream::id);
        auto smaller = larger;
        smaller.erase(smaller.begin() + static_cast<std::ptrdiff_t>(random() % smaller.size()));
        const auto before = assign(service, larger, version::BucketCount);
        const auto after = assign(service, smaller, version::BucketCount);
        std::uint32_t moved = 0;
        for (std::uint32_t bucket = 0; bucket < version::BucketCount; ++bucket) {
            moved += larger[before[bucket]].id != smaller[after[bucket]].id ? 1 : 0;
        }
        sum += moved * static_cast<double>(larger.size()) / version::BucketCount;
    }
    return sum / MoveServices;
}

void runMoves()
{
    // A drain and a removal leave the same set of upstreams, so one measurement stands for both.
    print("moved_over_minimum.removal_or_drain.capacity_rendezvous",
          movedOverMinimum(version::assignBuckets, false));
    print("moved_over_minimum.removal_or_drain.maglev",
          movedOverMinimum(benchmarks::maglevFill, false));
    print("moved_over_minimum.addition.capacity_rendezvous",
          movedOverMinimum(version::assignBuckets, true));
    print("moved_over_minimum.addition.maglev", movedOverMinimum(benchmarks::maglevFill, true));
}

// Capacity

void printCapacity(const std::string &metric, std::size_t size, double value)
{
    std::cout << "capacity." << metric << " n=" << size << " value=" << value << '\n';
}

std::size_t wireBytes(const connection::OverrideBatch &batch)
{
    wire::proto::PeerMessage message;
    auto &handover = *message.mutable_handover();
    handover.set_service(batch.service.value());
    handover.set_bucket(batch.bucket.value());
    handover.set_complete(batch.complete);
    for (const auto &record : batch.records) {
        handover.add_flows(record.flow.value());
        handover.add_upstreams(record.upstream.value());
    }
    for (const auto upstream : batch.recentUpstreams) {
        handover.add_recent_upstreams(upstream.value());
    }
    return message.ByteSizeLong();
}

/// Memory of the overrides when all buckets are transitional and each flow has an override on the
/// same instance, and the messages of their handover when a second instance joins.
void runOverrides(std::size_t size)
{
    FlowRouter router(InstanceId(1), common::ZoneId(2));
    router.setMembers(membersUpTo(1), Start);
    router.applyRoster(workloadRoster(1, Upstreams, 0), Start);
    const auto next = workloadRoster(2, 2 * Upstreams, Upstreams);
    router.applyRoster(next, Start);
    router.setInForce(FleetReplay::Service, next.version);
    for (const auto flow : randomFlows(size)) {
        std::ignore = router.route(
                { FleetReplay::Service, flow, PacketKind::Open, 0, std::nullopt, std::nullopt },
                Start);
    }
    printCapacity("override_records", size, static_cast<double>(router.overrideCount()));
    printCapacity("override_bytes", size, static_cast<double>(router.overrideBytes()));
    printCapacity("override_bytes_per_record", size,
                  static_cast<double>(router.overrideBytes()) / static_cast<double>(size));

    const auto later = Start + std::chrono::seconds(20);
    router.setMembers(membersUpTo(2), later);
    std::size_t bytes = 0;
    std::size_t messages = 0;
    for (auto batches = router.takeHandovers(RecordsPerMessage, later); !batches.empty();
         batches = router.takeHandovers(RecordsPerMessage, later)) {
        messages += batches.size();
        bytes = std::accumulate(
                batches.begin(), batches.end(), bytes,
                [](std::size_t sum, const auto &batch) { return sum + wireBytes(batch); });
    }
    printCapacity("handover_bytes", size, static_cast<double>(bytes));
    printCapacity("handover_messages", size, static_cast<double>(messages));
}

/// Time in which one instance applies a roster that makes all buckets of one service transitional,
/// and after that a change of members.
void runControl(std::uint32_t members)
{
    using Milliseconds = std::chrono::duration<double, std::milli>;
    FlowRouter router(InstanceId(1), common::ZoneId(2));
    router.setMembers(membersUpTo(members), Start);
    router.applyRoster(workloadRoster(1, Upstreams, 0), Start);
    auto begin = std::chrono::steady_clock::now();
    router.applyRoster(workloadRoster(2, 2 * Upstreams, Upstreams), Start);
    printCapacity("roster_change_ms", members,
                  Milliseconds(std::chrono::steady_clock::now() - begin).count());
    begin = std::chrono::steady_clock::now();
    router.setMembers(membersUpTo(members + 1), Start + std::chrono::seconds(20));
    printCapacity("member_change_ms", members,
                  Milliseconds(std::chrono::steady_clock::now() - begin).count());
}

version::ServiceRoster smallRoster(std::uint32_t service, std::uint64_t version,
                                   version::UpstreamState firstState)
{
    auto roster = workloadRoster(version, UpstreamsOfSmallService, 0);
    roster.service = common::ServiceId(service);
    roster.upstreams.front().state = firstState;
    return roster;
}

std::size_t allocatedBytes()
{
    return mallinfo2().uordblks;
}

/// Memory of a router with many small services, first with all buckets settled and then after the
/// withdrawal of the zone of one upstream of each service, and the time in which it applies a
/// change of members in the second state.
void runServices(std::uint32_t services)
{
    const auto atStart = allocatedBytes();
    FlowRouter router(InstanceId(1), common::ZoneId(2));
    router.setMembers(membersUpTo(TargetInstances), Start);
    for (std::uint32_t service = 1; service <= services; ++service) {
        const auto roster = smallRoster(service, 1, version::UpstreamState::Active);
        const version::BucketMap map(roster, std::nullopt, nullptr);
        router.applySettled(roster.service,
                            *version::planSettled({ map, roster, {}, {}, {} }, std::nullopt),
                            Start);
        router.applyRoster(roster, Start);
        router.setInForce(roster.service, roster.version);
    }
    printCapacity("router_bytes_settled", services,
                  static_cast<double>(allocatedBytes() - atStart));
    for (std::uint32_t service = 1; service <= services; ++service) {
        const auto roster = smallRoster(service, 2, version::UpstreamState::Withdrawn);
        router.applyRoster(roster, Start + std::chrono::seconds(20));
        router.setInForce(roster.service, roster.version);
    }
    printCapacity("router_bytes_zone_withdrawn", services,
                  static_cast<double>(allocatedBytes() - atStart));
    const auto begin = std::chrono::steady_clock::now();
    router.setMembers(membersUpTo(TargetInstances + 1), Start + std::chrono::seconds(30));
    const std::chrono::duration<double, std::milli> elapsed =
            std::chrono::steady_clock::now() - begin;
    printCapacity("member_change_zone_withdrawn_ms", services, elapsed.count());
}

void runCapacity()
{
    for (const std::uint32_t services : { 4, 130, 1'300 }) {
        runServices(services);
    }
    for (const std::size_t size : { 1'000, 10'000, 100'000, 1'000'000 }) {
        runOverrides(size);
    }
    for (const std::uint32_t members : { 16, 130, 520 }) {
        runControl(members);
    }
}

void runFaults(benchmarks::WorkloadOptions options)
{
    options.hasFaults = true;
    runReplay("faults", options);
}

/// The options affect the parts faults and replay only.
using Part = std::function<void(const benchmarks::WorkloadOptions &)>;

const std::map<std::string, Part> Parts {
    { "balance", [](const auto &) { runBalance(); } },
    { "capacity", [](const auto &) { runCapacity(); } },
    { "faults", runFaults },
    { "moves", [](const auto &) { runMoves(); } },
    { "replay", [](const auto &options) { runReplay("replay", options); } },
    { "speed", [](const auto &) { runSpeed(); } },
};

} // namespace

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine commandLine("Measures flow routing; prints key=value lines.", ' ', "0.1.0");
        std::vector<std::string> names;
        std::ranges::transform(Parts, std::back_inserter(names),
                               [](const auto &part) { return part.first; });
        TCLAP::ValuesConstraint<std::string> known(names);
        TCLAP::UnlabeledMultiArg<std::string> selected("part", "parts to run; default all", false,
                                                       &known);
        commandLine.add(selected);
        TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed of the parts faults and replay",
                                            false, Seed, "number", commandLine);
        TCLAP::MultiArg<std::uint32_t> killedInstances(
                "", "victim", "part faults: two instances that are killed at the same instant",
                false, "instance", commandLine);
        TCLAP::ValueArg<std::uint32_t> killAfter("", "kill-after",
                                                 "part faults: time of the first kill", false, 125,
                                                 "seconds", commandLine);
        commandLine.parse(argc, argv);
        benchmarks::WorkloadOptions options;
        options.seed = seed.getValue();
        options.killAfter = std::chrono::seconds(killAfter.getValue());
        if (killedInstances.getValue().size() == options.killedInstances.size()) {
            std::ranges::copy(killedInstances.getValue(), options.killedInstances.begin());
            options.killInterval = {};
        } else if (!killedInstances.getValue().empty()) {
            throw std::invalid_argument("give --victim twice");
        }
        for (const auto &name : selected.getValue().empty() ? names : selected.getValue()) {
            Parts.at(name)(options);
        }
    } catch (const std::exception &error) {
        std::cerr << "flowbenchmark: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
