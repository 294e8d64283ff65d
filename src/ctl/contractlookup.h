#pragma once

#include "version/contract.h"

#include <string>
#include <vector>

namespace banyanwall::ctl {

/// Null if the contract has no service of this name.
[[nodiscard]] const version::ServiceContract *findService(const version::Contract &contract,
                                                          const std::string &name);

/// Upstreams of all groups of a service, in the order of the text.
[[nodiscard]] std::vector<const version::UpstreamSpec *>
upstreamsOf(const version::ServiceContract &service);

/// "service/upstream", as in the list of drained upstreams.
[[nodiscard]] std::string qualifiedName(const version::ServiceContract &service,
                                        const version::UpstreamSpec &upstream);

/// Whether the contract has the upstream of this qualified name.
[[nodiscard]] bool hasUpstream(const version::Contract &contract, const std::string &qualifiedName);

} // namespace banyanwall::ctl
