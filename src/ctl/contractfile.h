#pragma once

#include "common/result.h"
#include "version/contract.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace banyanwall::ctl {

/// A contract file of an operator, parsed and checked.
struct ContractFile
{
    version::Contract contract;
    /// Text without the header line that withHeader() adds.
    std::string toml;
    /// Version in the header line; empty without a header line or when it names another customer.
    std::optional<std::uint64_t> baseVersion;
};

/// Reads a file; path "-" reads standard input. Error "invalid_input" when the file cannot be read
/// or is larger than a contract may be.
[[nodiscard]] common::Result<std::string> readText(const std::string &path);
/// Reads and checks a file. The errors are those of readText() and version::parseContract().
[[nodiscard]] common::Result<ContractFile> readContractFile(const std::string &path);
/// path is used in error messages only.
[[nodiscard]] common::Result<ContractFile> parseContractFile(const std::string &text,
                                                             const std::string &path);

/// Adds a TOML comment line with customer and version before the contract text. When an operator
/// edits and applies this text, parseContractFile() reads the base version from the line.
[[nodiscard]] std::string withHeader(const std::string &customer, std::uint64_t version,
                                     const std::string &toml);

/// Version in the header line of a contract text; empty without a header line or when it names
/// another customer.
[[nodiscard]] std::optional<std::uint64_t> baseVersionOf(std::string_view text,
                                                         const std::string &customer);

/// Parses a decimal version number above 0; empty on anything else.
[[nodiscard]] std::optional<std::uint64_t> parseVersion(std::string_view text);

} // namespace banyanwall::ctl
