// Fuzz target of the datagram decoders. Guards against crashes, and against a message that is
// accepted but does not survive its own encoding.
#include "tests/fuzz/fuzztarget.h"
#include "wire/datagram.h"

#include <cstdlib>
#include <string_view>

namespace {

using namespace banyanwall;

template<typename Decoder>
void decodeAndRepeat(std::string_view bytes, Decoder decoder)
{
    const auto first = decoder(bytes);
    if (!common::isOk(first)) {
        return;
    }
    const auto encoded = wire::encode(common::valueOf(first));
    // Canonical form may be longer than a lax input at the size limit.
    if (encoded.size() > wire::MaxDatagramBytes) {
        return;
    }
    const auto second = decoder(encoded);
    if (!common::isOk(second) || wire::encode(common::valueOf(second)) != encoded) {
        std::abort();
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    decodeAndRepeat(bytes, wire::decodeFabricFrame);
    decodeAndRepeat(bytes, wire::decodeCallerMessage);
    decodeAndRepeat(bytes, wire::decodeUpstreamMessage);
    return 0;
}
