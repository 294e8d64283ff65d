#pragma once

#include "common/endpoint.h"
#include "ctl/output.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace banyanwall::ctl {

/// Parsed command line.
struct Options
{
    std::vector<common::Endpoint> stores;
    Format format = Format::Table;
    bool wait = false;
    std::chrono::seconds waitLimit { 30 };
    std::string author;
    /// Version of the contract that the operator edited.
    std::optional<std::uint64_t> base;
    /// Words of the command and its arguments.
    std::vector<std::string> words;
};

/// Parses the command line. Anything that ends the program at once, such as --help or a usage
/// error, comes back as its result.
[[nodiscard]] std::variant<Options, CommandResult> parseOptions(std::vector<std::string> arguments,
                                                                const std::string &user);

} // namespace banyanwall::ctl
