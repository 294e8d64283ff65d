// Fuzz target of the datagram decoders. Guards against crashes, and against accepted messages that
// change when they are encoded and decoded again.
#include "tests/fuzz/fuzztarget.h"
#include "wire/datagram.h"

#include <cstdlib>
#include <string_view>

namespace {

using namespace banyanwall;

template<typename Decoder>
void checkRoundTrip(std::string_view bytes, Decoder decoder)
{
    const auto first = decoder(bytes);
    if (!common::isOk(first)) {
        return;
    }
    const auto encoded = wire::encode(common::valueOf(first));
    // The encoder may need more bytes for a message than the input did, and exceed the limit.
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
    checkRoundTrip(bytes, wire::decodeFabricFrame);
    checkRoundTrip(bytes, wire::decodeCallerMessage);
    checkRoundTrip(bytes, wire::decodeUpstreamMessage);
    return 0;
}
