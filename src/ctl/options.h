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

struct Options
{
    /// Endpoints of the store (--store); at least one.
    std::vector<common::Endpoint> stores;
    Format format = Format::Table;
    bool shouldWait = false;
    std::chrono::seconds waitLimit { 30 };
    std::string author;
    /// Version of the contract that the operator edited (--base).
    std::optional<std::uint64_t> baseVersion;
    /// What "contract check" compares with (--against): "store", or paths of contract files.
    std::vector<std::string> references;
    /// Words of the command and its arguments.
    std::vector<std::string> words;
};

/// Parses the command line. Returns a CommandResult when the program has to end without running a
/// command: the text of --help or --version, or a usage error. user is the default of --author.
[[nodiscard]] std::variant<Options, CommandResult> parseOptions(std::vector<std::string> arguments,
                                                                const std::string &user);

} // namespace banyanwall::ctl
