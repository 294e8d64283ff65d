#pragma once

#include "ctl/command.h"
#include "version/contract.h"

#include <optional>
#include <string>
#include <vector>

namespace banyanwall::ctl {

/// A customer's document in the store and the contract that its text holds.
struct StoredContract
{
    StoredDocument<version::ContractDocument> document;
    /// Empty if the text cannot be parsed.
    std::optional<version::Contract> contract;
};

/// Reads the documents of all customers. A text that cannot be parsed is reported on the progress
/// output, so that it blocks neither the edit that repairs it nor the edits of other customers.
[[nodiscard]] common::Result<std::vector<StoredContract>> loadContracts(CommandContext &context);

/// Reads a customer's document; error "not_found" when the customer has no contract.
[[nodiscard]] common::Result<StoredDocument<version::ContractDocument>>
loadDocument(CommandContext &context, const std::string &customer);

} // namespace banyanwall::ctl
