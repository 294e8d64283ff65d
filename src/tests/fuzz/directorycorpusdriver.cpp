// Runs the fuzz target of the directory's messages without libFuzzer, over valid messages and their
// mutations from a fixed seed.
#include "process/fragmentassembler.h"
#include "tests/fuzz/mutations.h"
#include "wire/directorycodec.h"
#include "wire/passivehealthcodec.h"

#include <iostream>

using namespace banyanwall;

int main()
{
    const version::UpstreamRecord upstream { .serial = common::UpstreamSerial(12),
                                             .endpoint = { 0x0a800009, 8080 },
                                             .slots = 3 };
    const version::RulesPatch rules {
        .version = 7,
        .routes = { { { 0xc6120001, 443 }, { { common::ServiceId(5), 90 } }, true } },
    };
    const version::DirectoryDelta delta {
        common::StoreRevision(4),
        common::StoreRevision(9),
        true,
        { { version::keyOf(upstream), common::StoreRevision(5), upstream },
          { version::keyOf(rules), common::StoreRevision(6), rules } },
    };
    const auto bytes = wire::encodeDelta(delta);
    const common::TimePoint sentAt { std::chrono::seconds(100) };
    const connection::PassiveHealthReport report {
        .upstreams = { upstream.serial },
        .waitingFlows = { { upstream.serial, 77 }, { upstream.serial, 78 } },
        .zones = { common::ZoneId(3) },
        .respondingUpstreams = { { upstream.serial, std::chrono::milliseconds(50) } },
        .assumedRestarts = { { upstream.serial, sentAt - std::chrono::milliseconds(900), sentAt } },
    };
    tests::driveAll({ bytes, process::cutIntoFragments(bytes, 3).front().SerializeAsString(),
                      wire::encodePassiveHealth(report, sentAt).SerializeAsString() });
    std::cout << "inputs=" << 3 + tests::MutationCount << std::endl;
    return 0;
}
