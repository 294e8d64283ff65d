#include "process/flowsettings.h"

#include "process/settingsreader.h"

#include <algorithm>
#include <cmath>

namespace banyanwall::process {

namespace {

const KnownKeys Keys {
    { "instance", { "name", "zone", "processor_share", "link_mbps" } },
    { "listen", { "traffic", "peer", "peer_advertised", "admin" } },
    { "store", { "endpoint" } },
    { "peers", { "seeds" } },
    { "shutdown", { "grace_ms", "grace_s" } },
    { "withdrawal", { "open_flows_ms" } },
    { "balancing", { "choice", "admission" } },
    { "log", { "level" } },
};

// The fabric sends to an instance for up to 1 s after it reported that it is not ready, and the
// exit of the process takes up to 600 ms. With a shorter grace time, callers' packets would be
// lost.
constexpr std::int64_t MinGraceMs = 1'700;
constexpr std::int64_t MaxGraceMs = 600'000;
constexpr double MillisecondsPerSecond = 1'000.0;
// Far above the 60 s that a flow lasts at most on the users' platform.
constexpr std::int64_t MaxOpenFlowsMs = 600'000;
// An instance of this size fills the roles leader and watcher without noticeable load.
constexpr double DefaultProcessorShare = 0.1;
constexpr double DefaultLinkMbps = 50.0;
constexpr double CapacitySteps = 10.0;

constexpr std::string_view ChoiceByContract = "contract";
constexpr std::string_view ChoiceByHash = "hash";
constexpr std::string_view ChoiceRule = "contract or hash";
constexpr std::string_view AdmissionOn = "on";
constexpr std::string_view AdmissionOff = "off";
constexpr std::string_view AdmissionRule = "on or off";

/// Rounds down to tenths, so that instances of the same kind get the same value and small
/// differences do not change the roles.
std::uint32_t capacityOf(SettingsReader &reader, double linkMbps)
{
    const auto share =
            reader.nonNegativeNumber("instance", "processor_share", DefaultProcessorShare);
    const auto lowestRatio = std::min(share / DefaultProcessorShare, linkMbps / DefaultLinkMbps);
    return static_cast<std::uint32_t>(std::clamp(lowestRatio, 0.0, 1.0) * CapacitySteps);
}

/// From shutdown.grace_ms, or from shutdown.grace_s, which may be a fraction.
std::chrono::milliseconds graceOf(SettingsReader &reader)
{
    if (!reader.isSet("shutdown", "grace_s")) {
        const auto grace = reader.integer("shutdown", "grace_ms", MinGraceMs, MaxGraceMs, true);
        return std::chrono::milliseconds(grace.value_or(MinGraceMs));
    }
    if (reader.isSet("shutdown", "grace_ms")) {
        reader.fail(reader.lineOf("shutdown", "grace_s"), "shutdown.grace_s", "set twice",
                    "only one of grace_s and grace_ms");
    }
    constexpr auto MinSeconds = static_cast<double>(MinGraceMs) / MillisecondsPerSecond;
    constexpr auto MaxSeconds = static_cast<double>(MaxGraceMs) / MillisecondsPerSecond;
    const auto seconds = reader.number("shutdown", "grace_s", MinSeconds, MaxSeconds, true);
    return std::chrono::milliseconds(
            std::llround(seconds.value_or(MinSeconds) * MillisecondsPerSecond));
}

connection::UpstreamChoice choiceOf(SettingsReader &reader)
{
    const auto choice = reader.string("balancing", "choice", ChoiceRule, false);
    if (choice == ChoiceByHash) {
        return connection::UpstreamChoice::ByHash;
    }
    if (!choice.empty() && choice != ChoiceByContract) {
        reader.fail(reader.lineOf("balancing", "choice"), "balancing.choice", "unknown choice",
                    ChoiceRule);
    }
    return connection::UpstreamChoice::ByContract;
}

bool refusesOpeningsBy(SettingsReader &reader)
{
    const auto admission = reader.string("balancing", "admission", AdmissionRule, false);
    if (!admission.empty() && admission != AdmissionOn && admission != AdmissionOff) {
        reader.fail(reader.lineOf("balancing", "admission"), "balancing.admission", "unknown value",
                    AdmissionRule);
    }
    return admission == AdmissionOn;
}

} // namespace

common::Result<FlowSettings> parseFlowSettings(std::string_view toml, std::string_view sourceName)
{
    const auto root = parseToml(toml, sourceName);
    if (!common::isOk(root)) {
        return common::errorOf(root);
    }
    SettingsReader reader(common::valueOf(root), sourceName);
    FlowSettings settings;
    reader.checkKeys(Keys);
    settings.name = reader.string("instance", "name", "a name");
    settings.zone = reader.string("instance", "zone", "the name of an availability zone");
    settings.trafficListen = reader.endpoint("listen", "traffic");
    settings.peerListen = reader.endpoint("listen", "peer");
    settings.peerAdvertised =
            reader.optionalEndpoint("listen", "peer_advertised").value_or(settings.peerListen);
    settings.adminListen = reader.endpoint("listen", "admin");
    settings.store = reader.endpoint("store", "endpoint");
    settings.seeds = reader.endpoints("peers", "seeds", false);
    std::ranges::for_each(settings.seeds,
                          [&](auto &seed) { seed.port = settings.peerAdvertised.port; });
    settings.linkMbps = reader.nonNegativeNumber("instance", "link_mbps", DefaultLinkMbps);
    settings.capacity = capacityOf(reader, settings.linkMbps);
    settings.shutdownGrace = graceOf(reader);
    const auto openFlows = reader.integer("withdrawal", "open_flows_ms", 0, MaxOpenFlowsMs, false);
    if (openFlows) {
        settings.openFlowsAfterWithdrawal = std::chrono::milliseconds(*openFlows);
    }
    settings.choice = choiceOf(reader);
    settings.refusesOpenings = refusesOpeningsBy(reader);
    settings.logLevel = reader.logLevel(settings.logLevel);
    if (reader.error()) {
        return *reader.error();
    }
    return settings;
}

common::Result<FlowSettings> loadFlowSettings(const std::string &path)
{
    const auto text = readSettingsFile(path);
    if (!common::isOk(text)) {
        return common::errorOf(text);
    }
    return parseFlowSettings(common::valueOf(text), path);
}

} // namespace banyanwall::process
