#pragma once

#include "common/endpoint.h"
#include "common/result.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyanwall::process {

/// Checked settings of an instance in front of a fabric whose flows carry a token.
struct FlowSettings
{
    std::string name;
    std::string zone;
    /// UDP endpoint that takes packets of callers and sends to upstreams.
    common::Endpoint trafficListen;
    /// UDP endpoint for messages of other instances. All instances use the same port.
    common::Endpoint peerListen;
    /// Where other instances reach peerListen: differs from it behind an address translation.
    common::Endpoint peerAdvertised;
    /// HTTP endpoint of /health, /metrics and /status.
    common::Endpoint adminListen;
    common::Endpoint store;
    /// Instances to ask while the store does not answer. Their port is that of peerAdvertised.
    std::vector<common::Endpoint> seeds;
    /// Time between the request to stop and the end of the process.
    std::chrono::milliseconds shutdownGrace {};
    /// How long packets of open flows go into a withdrawn zone; empty for as long as flows live.
    std::optional<std::chrono::milliseconds> openFlowsAfterWithdrawal {};
    /// How well this instance bears duties for others; larger is better.
    std::uint32_t capacity = 0;
    /// One of trace, debug, info, warning, error.
    std::string logLevel = "info";

    bool operator==(const FlowSettings &) const = default;
};

/// Checks the text in full. An error names source, line, key and what is allowed.
[[nodiscard]] common::Result<FlowSettings> parseFlowSettings(std::string_view toml,
                                                             std::string_view sourceName);
[[nodiscard]] common::Result<FlowSettings> loadFlowSettings(const std::string &path);

} // namespace banyanwall::process
