// Fuzz target of the directory's messages. Guards against crashes, and against a delta that does
// not survive another way through bytes.
#include "process/fragmentassembler.h"
#include "tests/fuzz/fuzztarget.h"
#include "wire/directorycodec.h"

#include <cstdlib>
#include <string_view>

using namespace banyanwall;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    const auto delta = wire::decodeDelta(bytes);
    if (common::isOk(delta)) {
        const auto again = wire::decodeDelta(wire::encodeDelta(common::valueOf(delta)));
        if (!common::isOk(again)
            || common::valueOf(again).changes != common::valueOf(delta).changes) {
            std::abort();
        }
        version::Directory directory;
        directory.apply(common::valueOf(delta), common::TimePoint());
    }
    wire::proto::DirectoryMessage message;
    if (message.ParseFromArray(data, static_cast<int>(size))) {
        process::FragmentAssembler assembler;
        assembler.add(message.fragment(), common::TimePoint());
    }
    return 0;
}
