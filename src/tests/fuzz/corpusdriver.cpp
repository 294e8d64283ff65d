// Runs a fuzz target without libFuzzer, over valid messages and their mutations from a fixed seed.
// With a folder as argument, writes the messages to files there instead, as the first corpus of
// libFuzzer.
#include "tests/fuzz/mutations.h"
#include "wire/peercodec.h"

#include <fstream>
#include <iostream>
#include <string>
#include <vector>

namespace {

using namespace banyanwall;

std::vector<std::string> corpus()
{
    wire::proto::CallerMessage caller;
    caller.set_flow_id(7);
    caller.mutable_data()->set_sequence(9);
    caller.mutable_data()->set_payload("payload");
    wire::proto::FabricFrame frame;
    frame.set_caller_port(4000);
    frame.set_payload(wire::encode(caller));
    wire::proto::UpstreamMessage upstream;
    upstream.mutable_dispatch()->set_request_id(5);
    upstream.mutable_dispatch()->set_payload("payload");
    wire::proto::PeerMessage peer;
    peer.mutable_relay()->mutable_frame()->set_payload("payload");
    wire::PeerCodec codec(common::InstanceId(1), common::Incarnation(1),
                          { { 1, "key of a stranger" } }, 1);
    return { std::string(),          wire::encode(frame),       wire::encode(caller),
             wire::encode(upstream), '\0' + codec.encode(peer), '\1' + peer.SerializeAsString() };
}

} // namespace

int main(int argc, char **argv)
{
    const auto inputs = corpus();
    if (argc > 1) {
        for (std::size_t index = 0; index < inputs.size(); ++index) {
            std::ofstream(std::string(argv[1]) + "/" + std::to_string(index)) << inputs[index];
        }
        return 0;
    }
    tests::driveAll(inputs);
    std::cout << "inputs=" << inputs.size() + tests::MutationCount << std::endl;
    return 0;
}
