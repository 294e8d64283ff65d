// Measures what one instance on a fabric with flow tokens costs, against the size of the fleet.
// Prints lines "capacity.<metric> n=<size> value=<x>" with the metrics
//   directory_messages_per_s     messages that an instance sends while nothing changes (mean), in a
//                                fleet of n instances in four zones
//   directory_bytes_per_s        bytes of these messages
//   directory_store_calls_per_s  calls of the whole fleet to the store
//   directory_change_bytes       bytes that an instance sends (mean) in the second after a change
//                                of a contract with 1,300 routes
//   forwarded_packet_ns          time to handle a data packet, for a service with n upstreams
//   opening_packet_ns            time to handle an opening packet, for a service with n upstreams
#include "benchmarks/syncfleet.h"
#include "common/hash.h"
#include "connection/flowforwarder.h"

#include <array>
#include <chrono>
#include <iostream>

using namespace banyanwall;
using namespace std::chrono_literals;
using benchmarks::SyncFleet;

namespace {

constexpr int Zones = 4;
constexpr auto SteadyTime = 30s;
constexpr auto Routes = 1'300;
constexpr int Packets = 200'000;
const common::ServiceId Service { 1 };
const common::Endpoint Address { 0xc6120001, 443 };

void printRow(std::string_view metric, std::size_t size, double value)
{
    std::cout << "capacity." << metric << " n=" << size << " value=" << value << std::endl;
}

/// Messages and store calls while nothing changes, and bytes for one change of a contract.
void measureFleet(int instancesPerZone)
{
    SyncFleet fleet(Zones, instancesPerZone);
    fleet.routes = Routes;
    fleet.changeRules();
    fleet.run(6s);
    const auto size = fleet.size();
    const auto perInstance = [size](std::uint64_t total) {
        return static_cast<double>(total) / static_cast<double>(size);
    };
    const double seconds = std::chrono::duration<double>(SteadyTime).count();
    const auto messages = fleet.messages();
    const auto bytes = fleet.bytes();
    const auto calls = fleet.calls();
    fleet.run(SteadyTime);
    printRow("directory_messages_per_s", size, perInstance(fleet.messages() - messages) / seconds);
    printRow("directory_bytes_per_s", size, perInstance(fleet.bytes() - bytes) / seconds);
    printRow("directory_store_calls_per_s", size,
             static_cast<double>(fleet.calls() - calls) / seconds);
    const auto before = fleet.bytes();
    fleet.changeRules();
    fleet.run(1s);
    printRow("directory_change_bytes", size, perInstance(fleet.bytes() - before));
}

/// Time to handle data packets and opening packets of a service with this many upstreams.
void measurePackets(std::uint64_t upstreams)
{
    connection::FlowForwarder forwarder({ .ownZone = common::ZoneId(1), .instance = 1 },
                                        [](common::Duration) {});
    version::Directory directory;
    const version::RulesRecord rules { .version = 1,
                                       .routes = { { Address, { { Service, 1 } }, true } } };
    version::DirectoryDelta delta { {}, common::StoreRevision(1), true };
    delta.changes.push_back({ version::keyOf(rules), common::StoreRevision(1), rules });
    for (std::uint64_t serial = 1; serial <= upstreams; ++serial) {
        const version::UpstreamRecord upstream { .serial = common::UpstreamSerial(serial),
                                                 .service = Service,
                                                 .zone = common::ZoneId(1),
                                                 .slots = 3 };
        delta.changes.push_back({ version::keyOf(upstream), common::StoreRevision(1), upstream });
    }
    const common::TimePoint now { 100s };
    forwarder.update(directory, directory.apply(delta, now), now);
    const auto measure = [&](std::string_view metric, int count, bool opens) {
        const auto start = std::chrono::steady_clock::now();
        for (int index = 0; index < count; ++index) {
            const auto number = static_cast<std::uint32_t>(index);
            connection::FlowPacket packet { .caller = { 0x64400000U + (number & 0xffffU), 1024 },
                                            .service = Address,
                                            .opens = opens };
            if (!opens) {
                packet.token = connection::tokenOf(
                        common::UpstreamSerial(1 + common::mixBits(number) % upstreams));
                packet.payloadBytes = 200;
                packet.sequence = static_cast<std::uint32_t>(number);
            }
            forwarder.handle(packet, now);
        }
        const auto time = std::chrono::steady_clock::now() - start;
        printRow(metric, upstreams, std::chrono::duration<double, std::nano>(time).count() / count);
    };
    measure("forwarded_packet_ns", Packets, false);
    measure("opening_packet_ns", Packets / 100, true);
}

} // namespace

int main()
{
    for (const int instances : { 5, 13, 34, 65, 130 }) {
        measureFleet(instances);
    }
    for (const std::uint64_t upstreams : { 18U, 150U, 6'000U }) {
        measurePackets(upstreams);
    }
    return 0;
}
