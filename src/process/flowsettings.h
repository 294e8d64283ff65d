#pragma once

#include "common/endpoint.h"
#include "common/result.h"
#include "connection/upstreamchoice.h"
#include "process/settingsreader.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyanwall::process {

/// Validated settings of an instance on a fabric whose packets carry a flow token.
struct FlowSettings
{
    std::string name;
    std::string zone;
    /// UDP endpoint that receives callers' packets and sends packets to upstreams.
    common::Endpoint trafficListen;
    /// UDP endpoint for messages between instances. All instances use the same port.
    common::Endpoint peerListen;
    /// Endpoint at which other instances reach peerListen; differs from it behind NAT.
    common::Endpoint peerAdvertised;
    /// HTTP endpoint of /health, /metrics and /status.
    common::Endpoint adminListen;
    common::Endpoint store;
    /// Instances that the directory is fetched from while the store does not answer. The port is
    /// that of peerAdvertised.
    std::vector<common::Endpoint> seeds;
    /// Longest time from the request to stop (SIGTERM or SIGINT) to the end of the process.
    std::chrono::milliseconds shutdownGrace {};
    /// How long packets of open flows are still sent into a withdrawn zone; empty: until the flows
    /// end.
    std::optional<std::chrono::milliseconds> openFlowsAfterWithdrawal {};
    /// How the upstreams of new flows are chosen.
    connection::UpstreamChoice choice = connection::UpstreamChoice::ByContract;
    /// Whether openings are refused when room is short.
    bool refusesOpenings = false;
    /// Processor share and link relative to what the roles leader and watcher need, from 0 to 10.
    /// An instance of higher capacity ranks higher for these roles.
    std::uint32_t capacity = 0;
    /// Rate of the instance's link in Mbit/s.
    double linkMbps = 0.0;
    /// One of trace, debug, info, warning, error.
    std::string logLevel = "info";
    /// Values that a platform has dictated and that are not used as they are.
    std::vector<ReplacedSetting> replaced;

    bool operator==(const FlowSettings &) const = default;
};

/// Parses and validates the text. The error bad_settings names source, line, key and what is
/// allowed. Numbers, names, seeds and the peer endpoint of a file that a platform has filled in
/// cause no error; what is not allowed is replaced.
[[nodiscard]] common::Result<FlowSettings> parseFlowSettings(std::string_view toml,
                                                             std::string_view sourceName);
[[nodiscard]] common::Result<FlowSettings> loadFlowSettings(const std::string &path);

} // namespace banyanwall::process
