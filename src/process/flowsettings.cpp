#include "process/flowsettings.h"

#include "process/filledinsettings.h"

#include <algorithm>
#include <cmath>

namespace banyanwall::process {

namespace {

const KnownKeys Keys {
    { "file", { "origin" } },
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
constexpr auto MinGraceSeconds = static_cast<double>(MinGraceMs) / MillisecondsPerSecond;
constexpr auto MaxGraceSeconds = static_cast<double>(MaxGraceMs) / MillisecondsPerSecond;
// Far above the 60 s that a flow lasts at most on the users' platform.
constexpr std::int64_t MaxOpenFlowsMs = 600'000;
// An instance of this size fills the roles leader and watcher without noticeable load.
constexpr double DefaultProcessorShare = 0.1;
constexpr double DefaultLinkMbps = 50.0;
constexpr double CapacitySteps = 10.0;
// Far above any machine.
constexpr NumberRange ProcessorShares { 0.0, 1e6 };
constexpr NumberRange LinkRates { 0.0, 1e9 };

constexpr std::string_view ShortGraceRule = "at least 1.7";
constexpr std::string_view OperatorOrigin = "operator";
constexpr std::string_view PlatformOrigin = "platform";
constexpr std::string_view OriginRule = "operator or platform";
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
            reader.number("instance", "processor_share", ProcessorShares, DefaultProcessorShare);
    const auto lowestRatio = std::min(share / DefaultProcessorShare, linkMbps / DefaultLinkMbps);
    return static_cast<std::uint32_t>(std::clamp(lowestRatio, 0.0, 1.0) * CapacitySteps);
}

void checkOrigin(SettingsReader &reader)
{
    const auto origin = reader.string("file", "origin", OriginRule, false);
    if (!origin.empty() && origin != OperatorOrigin && origin != PlatformOrigin) {
        reader.fail(reader.lineOf("file", "origin"), "file.origin", "unknown origin", OriginRule);
    }
}

/// Any other endpoint of the instance's own address, which all instances derive alike.
common::Endpoint peerReplacement(const common::Endpoint &traffic)
{
    const bool isLastPort = traffic.port == UINT16_MAX;
    return { traffic.address,
             static_cast<std::uint16_t>(isLastPort ? traffic.port - 1 : traffic.port + 1) };
}

std::chrono::milliseconds millisecondsOf(double seconds)
{
    return std::chrono::milliseconds(std::llround(seconds * MillisecondsPerSecond));
}

/// From shutdown.grace_s. A platform ends the process when its grace time is over, however short
/// that is, so a shorter one is used as it is.
std::chrono::milliseconds graceFromSeconds(SettingsReader &reader)
{
    const auto low = reader.replacesValues() ? 0.0 : MinGraceSeconds;
    const auto grace = millisecondsOf(
            reader.number("shutdown", "grace_s", { low, MaxGraceSeconds }, MinGraceSeconds));
    if (grace.count() < MinGraceMs) {
        reader.replace(reader.lineOf("shutdown", "grace_s"), "shutdown.grace_s",
                       "the fabric sends packets for longer", ShortGraceRule,
                       std::to_string(grace.count()) + " ms");
    }
    return grace;
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
    return graceFromSeconds(reader);
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
    const bool isFromPlatform = isFilledIn(toml);
    const auto root = parseToml(isFromPlatform ? tomlOf(toml) : toml, sourceName);
    if (!common::isOk(root)) {
        return common::errorOf(root);
    }
    SettingsReader reader(common::valueOf(root), sourceName,
                          isFromPlatform ? InvalidValues::Replaced : InvalidValues::Refused);
    FlowSettings settings;
    reader.checkKeys(Keys);
    checkOrigin(reader);
    settings.trafficListen = reader.endpoint("listen", "traffic");
    settings.name =
            reader.name("instance", "name", "a name", common::toString(settings.trafficListen));
    settings.zone = reader.name("instance", "zone", "the name of an availability zone", "");
    settings.peerListen =
            reader.endpoint("listen", "peer", peerReplacement(settings.trafficListen));
    settings.peerAdvertised =
            reader.optionalEndpoint("listen", "peer_advertised").value_or(settings.peerListen);
    settings.adminListen = reader.endpoint("listen", "admin");
    settings.store = reader.endpoint("store", "endpoint");
    settings.seeds = reader.endpoints("peers", "seeds", false);
    std::ranges::for_each(settings.seeds,
                          [&](auto &seed) { seed.port = settings.peerAdvertised.port; });
    settings.linkMbps = reader.number("instance", "link_mbps", LinkRates, DefaultLinkMbps);
    settings.capacity = capacityOf(reader, settings.linkMbps);
    settings.shutdownGrace = graceOf(reader);
    const auto openFlows = reader.integer("withdrawal", "open_flows_ms", 0, MaxOpenFlowsMs, false);
    if (openFlows) {
        settings.openFlowsAfterWithdrawal = std::chrono::milliseconds(*openFlows);
    }
    settings.choice = choiceOf(reader);
    settings.refusesOpenings = refusesOpeningsBy(reader);
    settings.logLevel = reader.logLevel(settings.logLevel);
    settings.replaced = reader.replaced();
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
