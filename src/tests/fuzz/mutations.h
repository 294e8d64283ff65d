#pragma once

#include "tests/fuzz/fuzztarget.h"

#include <random>
#include <string>
#include <vector>

namespace banyanwall::tests {

constexpr int MutationCount = 20'000;
constexpr std::uint64_t MutationSeed = 20261204;

/// Returns the input after one to four random changes: a byte replaced or inserted, the end cut
/// off, or the end appended once more.
inline std::string mutated(std::string input, std::mt19937_64 &random)
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

/// Runs the fuzz target on the inputs, and on MutationCount mutations of them.
inline void driveAll(const std::vector<std::string> &inputs)
{
    const auto drive = [](const std::string &input) {
        LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t *>(input.data()), input.size());
    };
    std::mt19937_64 random(MutationSeed);
    for (const auto &input : inputs) {
        drive(input);
    }
    for (int round = 0; round < MutationCount; ++round) {
        drive(mutated(inputs[static_cast<std::size_t>(round) % inputs.size()], random));
    }
}

} // namespace banyanwall::tests
