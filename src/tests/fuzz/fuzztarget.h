#pragma once

#include <cstddef>
#include <cstdint>

/// Entry point of a fuzz target, with the name that libFuzzer calls. Runs the decoders on one input
/// and aborts if a check fails.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size);
