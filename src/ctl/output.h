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

/// Result of one command: exit code and the texts for standard output and standard error.
struct CommandResult
{
    ExitCode code = ExitCode::Ok;
    std::string out;
    std::string err;
};

/// Rows of values. Numbers and booleans keep their type in JSON output.
struct Table
{
    std::vector<std::string> columns;
    std::vector<std::vector<boost::json::value>> rows;
};

/// Renders aligned columns with a header line, or a JSON array with one object for each row.
[[nodiscard]] std::string render(const Table &table, Format format);
/// Renders the summary as text, or the data as a JSON object.
[[nodiscard]] std::string render(const std::string &summary, const boost::json::object &data,
                                 Format format);
/// Result of a failed command: the message on standard error and the exit code for error.code.
[[nodiscard]] CommandResult failure(const common::Error &error);

} // namespace banyanwall::ctl
