#pragma once

namespace banyanwall::connection {

/// How the upstream of a new flow is chosen.
enum class UpstreamChoice {
    /// By load where the contract names a response aim for the route, otherwise by hash.
    ByContract,
    /// By hash for all routes.
    ByHash,
};

} // namespace banyanwall::connection
