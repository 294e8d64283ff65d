#pragma once

#include "ctl/command.h"
#include "version/contract.h"

#include <cstdint>
#include <optional>
#include <string>

namespace banyanwall::ctl {

/// Stores a contract text as the next version of its customer's contract. Checks it against the
/// contracts of other customers and against the cutover step, then sends the contact centre a
/// notice of each changed cutover share, then writes.
///
/// baseVersion is the version that the operator edited. When the store holds another version, the
/// result is a conflict that shows both texts, and nothing is written. Without a baseVersion, the
/// version found in the store counts as the edited one.
[[nodiscard]] CommandResult editContract(CommandContext &context, const version::Contract &contract,
                                         const std::string &toml,
                                         std::optional<std::uint64_t> baseVersion);

} // namespace banyanwall::ctl
