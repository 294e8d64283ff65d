#pragma once

#include <cstddef>
#include <cstdint>

/// Feeds one input to the decoders of one target. Aborts when a decoder breaks its contract.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size);
