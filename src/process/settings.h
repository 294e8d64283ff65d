#pragma once

#include "common/endpoint.h"
#include "common/result.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace banyanwall::process {

/// Checked content of the settings file of one instance.
struct Settings
{
    std::string name;
    std::string zone;
    /// UDP endpoint that takes packets from the fabric.
    common::Endpoint fabricListen;
    /// TCP endpoint that takes messages from other instances.
    common::Endpoint peerListen;
    /// HTTP endpoint of /health, /metrics and /status.
    common::Endpoint adminListen;
    /// UDP endpoint that sends to upstreams and takes their answers.
    common::Endpoint upstreamListen;
    /// UDP endpoint of the fabric that takes replies to callers.
    common::Endpoint fabric;
    std::vector<common::Endpoint> storeEndpoints;
    std::vector<common::Endpoint> seeds;
    /// Shared secrets by key id.
    std::map<std::uint32_t, std::string> keys;
    std::uint32_t signingKey = 0;
    /// One of trace, debug, info, warning, error.
    std::string logLevel = "info";
    /// Threads that forward packets.
    std::uint32_t workers = 2;
};

/// Checks the text in full. An error names source, line, key and what is allowed.
[[nodiscard]] common::Result<Settings> parseSettings(std::string_view toml,
                                                     std::string_view sourceName);
[[nodiscard]] common::Result<Settings> loadSettings(const std::string &path);

} // namespace banyanwall::process
