// Fuzz target of the directory's messages. Guards against crashes, and against accepted messages
// that change when they are encoded and decoded again.
#include "process/fragmentassembler.h"
#include "tests/fuzz/fuzztarget.h"
#include "wire/directorycodec.h"
#include "wire/passivehealthcodec.h"

#include <cstdlib>
#include <string_view>

using namespace banyanwall;

namespace {

/// Applies a report of a peer, which must not crash whatever values it holds, and checks that it
/// stays the same when encoded and decoded again.
void checkPassiveHealthReport(const wire::proto::SilenceReport &message)
{
    const common::TimePoint now { std::chrono::seconds(100) };
    const auto report = wire::decodePassiveHealth(message, now);
    connection::FlowForwarder forwarder({ .instance = 1 }, [](common::Duration) {});
    static_cast<void>(forwarder.onPeerHealthReport(report, now));
    static_cast<void>(forwarder.takeFlowsToReset(now));
    const auto decoded =
            wire::decodePassiveHealth(wire::encodePassiveHealth(report, now).silence(), now);
    if (decoded.waitingFlows != report.waitingFlows || decoded.zones != report.zones
        || decoded.assumedRestarts != report.assumedRestarts) {
        std::abort();
    }
}

} // namespace

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
        checkPassiveHealthReport(message.silence());
    }
    return 0;
}
