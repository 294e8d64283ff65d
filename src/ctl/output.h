#pragma once

#include "common/result.h"
#include "ctl/exitcode.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <string>
#include <vector>

namespace banyanwall::ctl {

enum class Format {
    Table,
    Json,
};

/// Result of one command: text for standard output and standard error.
struct CommandResult
{
    ExitCode code = ExitCode::Ok;
    std::string out;
    std::string err;
};

/// Rows of values; numbers and flags keep their type in JSON.
struct Table
{
    std::vector<std::string> columns;
    std::vector<std::vector<boost::json::value>> rows;
};

/// Aligned columns with a heading, or a JSON array with one object a row.
[[nodiscard]] std::string render(const Table &table, Format format);
/// The sentence, or the data as a JSON object.
[[nodiscard]] std::string render(const std::string &sentence, const boost::json::object &data,
                                 Format format);
/// Result of a failed step: the message, and the exit code that belongs to the error code.
[[nodiscard]] CommandResult failure(const common::Error &error);

} // namespace banyanwall::ctl
