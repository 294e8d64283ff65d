#include "common/hash.h"

#include <xxhash.h>

namespace banyanwall::common {

std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

} // namespace banyanwall::common
