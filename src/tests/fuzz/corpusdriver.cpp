// Runs a fuzz target without libFuzzer: over a fixed corpus of valid messages and over their
// mutations from a fixed seed. With a folder as argument it writes the corpus there instead, as the
// start of libFuzzer.
#include "tests/fuzz/fuzztarget.h"
#include "wire/peercodec.h"

#include <fstream>
#include <iostream>
#include <random>
#include <string>
#include <vector>

namespace {

using namespace banyanwall;

constexpr int Mutations = 20'000;
constexpr std::uint64_t Seed = 20261204;

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

std::string mutated(std::string input, std::mt19937_64 &random)
{
    const auto below = [&random](std::size_t limit) {
        return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random);
    };
    const auto changes = 1 + below(4);
    for (std::size_t change = 0; change < changes && !input.empty(); ++change) {
        const auto position = below(input.size());
        switch (below(4)) {
        case 0:
            input[position] = static_cast<char>(below(256));
            break;
        case 1:
            input.resize(position);
            break;
        case 2:
            input.insert(position, 1, static_cast<char>(below(256)));
            break;
        default:
            input += input.substr(position);
        }
    }
    return input;
}

void drive(const std::string &input)
{
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t *>(input.data()), input.size());
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
    std::mt19937_64 random(Seed);
    for (const auto &input : inputs) {
        drive(input);
    }
    for (int round = 0; round < Mutations; ++round) {
        drive(mutated(inputs[static_cast<std::size_t>(round) % inputs.size()], random));
    }
    std::cout << "inputs=" << inputs.size() + Mutations << std::endl;
    return 0;
}
