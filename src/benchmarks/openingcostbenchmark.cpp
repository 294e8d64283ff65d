// Measures the processor time of the choice of an upstream among 480 upstreams in four zones. One
// output line per case:
//   opening_cost.<case>  by_hash: no response aim; has_room: the own zone has room for its callers;
//                        demand_unknown: the demand is not known, as after a start; beyond_room: a
//                        part goes to other zones; slow: as beyond_room, a third of the upstreams
//                        is slow
//   us                   mean processor time of an opening in microseconds
#include "common/hash.h"
#include "connection/openingpolicy.h"

#include <ctime>
#include <iostream>
#include <string_view>

using namespace banyanwall;
using namespace std::chrono_literals;

namespace {

constexpr common::ServiceId Service { 1 };
constexpr std::uint32_t Zones = 4;
constexpr std::uint32_t Upstreams = 480;
constexpr std::uint32_t Openings = 50'000;
constexpr common::TimePoint Now { 100s };

common::ZoneId zoneId(std::uint32_t zone)
{
    return common::ZoneId(zone + 1);
}

version::DirectoryDelta allUpstreams()
{
    version::DirectoryDelta delta { {}, common::StoreRevision(1), true };
    for (std::uint32_t number = 0; number < Upstreams; ++number) {
        const version::UpstreamRecord record { .serial = common::UpstreamSerial(number + 1),
                                               .service = Service,
                                               .endpoint = { 0x0a800000U + number, 8080 },
                                               .zone = zoneId(number % Zones),
                                               .slots = 2 };
        delta.changes.push_back({ version::keyOf(record), common::StoreRevision(1), record });
    }
    return delta;
}

void measure(std::string_view name, connection::OpeningPolicy &policy,
             std::optional<common::Duration> responseAim)
{
    const auto start = std::clock();
    std::uint64_t sum = 0;
    for (std::uint32_t flow = 0; flow < Openings; ++flow) {
        const connection::Opening opening { .service = Service,
                                            .flowHash = common::mixBits(flow),
                                            .responseAim = responseAim,
                                            .usualTime = 30ms };
        sum += policy.choose(opening, Now)->record.serial.value();
    }
    const auto seconds = static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
    // The sum keeps the compiler from leaving the choices out.
    std::cout << "opening_cost." << name << " us=" << seconds * 1e6 / Openings
              << " mean_serial=" << sum / Openings << std::endl;
}

} // namespace

int main()
{
    version::Directory directory;
    connection::UpstreamTable upstreams(1);
    connection::OpeningPolicy policy(upstreams);
    policy.setPosition({ .zone = zoneId(0), .instance = 1, .members = { 1 } }, Now - 1min);
    upstreams.update(directory, directory.apply(allUpstreams(), Now), Now);
    measure("by_hash", policy, std::nullopt);
    measure("demand_unknown", policy, 400ms);
    policy.setDemands({ { Service, 30.0 } }, Now - 1min);
    measure("has_room", policy, 400ms);
    policy.setDemands({ { Service, 400.0 } }, Now - 1min);
    measure("beyond_room", policy, 400ms);
    for (std::uint32_t number = 0; number < Upstreams; number += 3) {
        upstreams.find(connection::tokenOf(common::UpstreamSerial(number + 1)))->load.slowness =
                2.0;
    }
    measure("slow", policy, 400ms);
    return 0;
}
