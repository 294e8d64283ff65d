#include "ctl/output.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <map>

namespace banyanwall::ctl {

namespace json = boost::json;

namespace {

std::string cellText(const json::value &cell)
{
    if (cell.is_string()) {
        return std::string(cell.get_string());
    }
    if (cell.is_bool()) {
        return cell.get_bool() ? "yes" : "no";
    }
    return json::serialize(cell);
}

std::string alignedLine(const std::vector<std::string> &cells,
                        const std::vector<std::size_t> &widths)
{
    std::string line;
    for (std::size_t column = 0; column < cells.size(); ++column) {
        line += cells[column];
        if (column + 1 < cells.size()) {
            line.append(widths[column] - cells[column].size() + 2, ' ');
        }
    }
    line.erase(line.find_last_not_of(' ') + 1);
    return line + "\n";
}

std::string renderJsonRows(const Table &table)
{
    json::array rows;
    for (const auto &row : table.rows) {
        json::object object;
        for (std::size_t column = 0; column < table.columns.size(); ++column) {
            object[table.columns[column]] = row.at(column);
        }
        rows.push_back(std::move(object));
    }
    return json::serialize(rows) + "\n";
}

} // namespace

std::string render(const Table &table, Format format)
{
    if (format == Format::Json) {
        return renderJsonRows(table);
    }
    std::vector<std::vector<std::string>> lines { table.columns };
    for (const auto &row : table.rows) {
        auto &line = lines.emplace_back();
        std::ranges::transform(row, std::back_inserter(line), cellText);
    }
    std::vector<std::size_t> widths(table.columns.size());
    for (const auto &line : lines) {
        for (std::size_t column = 0; column < line.size(); ++column) {
            widths[column] = std::max(widths[column], line[column].size());
        }
    }
    std::string text;
    std::ranges::for_each(lines, [&](const auto &line) { text += alignedLine(line, widths); });
    return text;
}

std::string render(const std::string &summary, const json::object &data, Format format)
{
    return (format == Format::Json ? json::serialize(data) : summary) + "\n";
}

CommandResult failure(const common::Error &error)
{
    static const std::map<std::string, ExitCode> codes {
        { "store_unreachable", ExitCode::StoreUnreachable },
        { "outcome_unknown", ExitCode::StoreUnreachable },
        { "invalid_toml", ExitCode::Invalid },
        { "invalid_contract", ExitCode::Invalid },
        { "invalid_input", ExitCode::Invalid },
        { "contract_conflict", ExitCode::Invalid },
        { "cutover_step", ExitCode::Invalid },
        { "conflict", ExitCode::Conflict },
    };
    const auto code = codes.find(error.code);
    return { code == codes.end() ? ExitCode::Failed : code->second, "",
             "banyanwallctl: " + error.message + "\n" };
}

} // namespace banyanwall::ctl
