#pragma once

#include "common/result.h"
#include "version/contract.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace banyanwall::ctl {

/// A contract as an operator wrote it.
struct ContractFile
{
    version::Contract contract;
    /// Text without the header line of withHeader().
    std::string toml;
    /// Version that the header line names.
    std::optional<std::uint64_t> base;
};

/// Reads and checks a file; "-" stands for standard input.
[[nodiscard]] common::Result<ContractFile> readContractFile(const std::string &path);
[[nodiscard]] common::Result<ContractFile> parseContractFile(const std::string &text,
                                                             const std::string &path);

/// Puts a comment with customer and version before a contract, so that an edited copy says what it
/// is based on.
[[nodiscard]] std::string withHeader(const std::string &customer, std::uint64_t version,
                                     const std::string &toml);

[[nodiscard]] std::optional<std::uint64_t> parseVersion(std::string_view text);

} // namespace banyanwall::ctl
