#pragma once

#include "tests/fuzz/fuzztarget.h"

#include <random>
#include <string>
#include <vector>

namespace banyanwall::tests {

constexpr int Mutations = 20'000;
constexpr std::uint64_t MutationSeed = 20261204;

/// Changes up to four bytes, cuts, inserts or repeats.
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

/// Feeds the inputs and their mutations from a fixed seed to the target.
inline void driveAll(const std::vector<std::string> &inputs)
{
    const auto drive = [](const std::string &input) {
        LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t *>(input.data()), input.size());
    };
    std::mt19937_64 random(MutationSeed);
    for (const auto &input : inputs) {
        drive(input);
    }
    for (int round = 0; round < Mutations; ++round) {
        drive(mutated(inputs[static_cast<std::size_t>(round) % inputs.size()], random));
    }
}

} // namespace banyanwall::tests
