#pragma once

#include "ctl/contractfinding.h"
#include "version/contract.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyanwall::ctl {

/// The version of a customer's contract that a checked text would replace.
struct ContractInForce
{
    version::Contract contract;
    /// Empty if it is not known.
    std::optional<std::uint64_t> version;
    /// "service/upstream".
    std::vector<std::string> drainedUpstreams;
};

/// Contracts that a text is checked against: at most one of each customer.
using ContractsInForce = std::vector<ContractInForce>;

struct CheckReport
{
    /// Empty if the text is no valid contract.
    std::string customer;
    /// The most severe ones first, then in the order of the text.
    std::vector<Finding> findings;

    [[nodiscard]] std::size_t count(Severity severity) const;
};

/// Checks the text of a contract file, which may start with the line of withHeader(), on its own
/// and against contracts in force. Any bytes give a report.
[[nodiscard]] CheckReport checkContractText(std::string_view text,
                                            const ContractsInForce &contractsInForce);

/// Findings of a valid contract on its own. inForce is the version that it would replace, or null;
/// it tells a cutover that this edit starts from one that was left behind.
[[nodiscard]] std::vector<Finding> checkTerms(const version::Contract &contract,
                                              const ContractInForce *inForce);

} // namespace banyanwall::ctl
