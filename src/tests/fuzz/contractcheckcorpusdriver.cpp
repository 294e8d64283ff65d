// Runs the fuzz target of the check of contracts without libFuzzer, over valid contracts and their
// mutations from a fixed seed. With a folder as argument, writes the contracts to files there
// instead, as the first corpus of libFuzzer.
#include "tests/fuzz/mutations.h"

#include <fstream>
#include <iostream>

using namespace banyanwall;

namespace {

constexpr std::string_view Contract = R"(# contract of clinic, version 6
customer = "clinic"
zones = ["east", "west"]

[[service]]
name = "records"
address = "127.0.0.1:7001"
slots_per_upstream = 3
connections_per_upstream = 100
requests_per_second = 50
idle_limit_s = 30

[[service.group]]
name = "old"
upstream = [
  { name = "r1", zone = "east", address = "127.0.0.1:9001" },
  { name = "r2", zone = "west", address = "127.0.0.1:9002" },
]
)";

constexpr std::string_view Cutover = R"(
[[service.group]]
name = "new"
upstream = [{ name = "n1", zone = "east", address = "127.0.0.1:9003" }]

[service.cutover]
from = "old"
to = "new"
share_percent = 25
notice_url = "http://127.0.0.1:8090/notice"
)";

std::vector<std::string> corpus()
{
    const std::string contract(Contract);
    const auto cutover = contract + std::string(Cutover);
    return { std::string(), contract, cutover, contract + '\0' + cutover,
             cutover + '\0' + contract };
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
