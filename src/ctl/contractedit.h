#pragma once

#include "ctl/command.h"
#include "version/contract.h"

#include <cstdint>
#include <optional>
#include <string>

namespace banyanwall::ctl {

/// Makes a contract text the next version of its customer: checks it against the contracts of other
/// customers and the cutover steps, delivers the notices of changed shares, then writes. base is
/// the version that the text was derived from; another present version is a conflict, shown with
/// both texts. Without a base, the version that is read here is taken.
[[nodiscard]] CommandResult editContract(CommandContext &context, const version::Contract &contract,
                                         const std::string &toml,
                                         std::optional<std::uint64_t> base);

} // namespace banyanwall::ctl
