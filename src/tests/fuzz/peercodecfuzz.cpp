// Fuzz target of the peer codec. Guards against crashes, against accepting a message that is not
// signed with a known key, and against accepting a message twice. If the first input byte is even,
// the other bytes are decoded as an envelope; otherwise they are signed and decoded as the payload
// of an envelope.
#include "tests/fuzz/fuzztarget.h"
#include "wire/peercodec.h"

#include <cstdlib>
#include <string_view>

namespace {

using namespace banyanwall;

const std::map<std::uint32_t, std::string> Keys { { 1, "fuzz signing key" } };

void decodeUnsigned(std::string_view bytes)
{
    wire::PeerCodec receiver(common::InstanceId(2), common::Incarnation(1), Keys, 1);
    // The input cannot contain a valid 16-byte signature by chance.
    if (common::isOk(receiver.decode(bytes))) {
        std::abort();
    }
}

void decodeSigned(std::string_view payload)
{
    wire::proto::PeerMessage message;
    if (!message.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
        return;
    }
    wire::PeerCodec sender(common::InstanceId(1), common::Incarnation(1), Keys, 1);
    wire::PeerCodec receiver(common::InstanceId(2), common::Incarnation(1), Keys, 1);
    const auto bytes = sender.encode(message);
    const bool hasBody = message.body_case() != wire::proto::PeerMessage::BODY_NOT_SET;
    if (common::isOk(receiver.decode(bytes)) != hasBody || common::isOk(receiver.decode(bytes))) {
        std::abort();
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0) {
        return 0;
    }
    const std::string_view rest(reinterpret_cast<const char *>(data) + 1, size - 1);
    (data[0] % 2 == 0) ? decodeUnsigned(rest) : decodeSigned(rest);
    return 0;
}
