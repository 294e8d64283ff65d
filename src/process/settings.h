#pragma once

#include "common/endpoint.h"
#include "common/result.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace banyanwall::process {

/// Validated settings of one instance.
struct Settings
{
    std::string name;
    std::string zone;
    /// UDP endpoint that receives packets from the fabric.
    common::Endpoint fabricListen;
    /// TCP endpoint that receives messages from other instances.
    common::Endpoint peerListen;
    /// HTTP endpoint of /health, /metrics and /status.
    common::Endpoint adminListen;
    /// UDP endpoint that sends packets to upstreams and receives their answers.
    common::Endpoint upstreamListen;
    /// UDP endpoint of the fabric to which replies to callers are sent.
    common::Endpoint fabric;
    std::vector<common::Endpoint> storeEndpoints;
    /// Peer endpoints of instances that are contacted while no other instance is known.
    std::vector<common::Endpoint> seeds;
    /// Shared secrets that sign messages between instances, by key id.
    std::map<std::uint32_t, std::string> keys;
    /// Id of the key that signs this instance's messages.
    std::uint32_t signingKey = 0;
    /// One of trace, debug, info, warning, error.
    std::string logLevel = "info";
    /// Number of threads that forward packets.
    std::uint32_t workers = 2;
};

/// Parses and validates the text. The error bad_settings names source, line, key and what is
/// allowed.
[[nodiscard]] common::Result<Settings> parseSettings(std::string_view toml,
                                                     std::string_view sourceName);
[[nodiscard]] common::Result<Settings> loadSettings(const std::string &path);

} // namespace banyanwall::process
