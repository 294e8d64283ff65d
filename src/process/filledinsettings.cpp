#include "process/filledinsettings.h"

#include <toml++/toml.h>

#include <algorithm>
#include <optional>
#include <sstream>
#include <vector>

namespace banyanwall::process {

namespace {

constexpr std::string_view OriginSection = "[file]";
constexpr std::string_view OriginKey = "origin";
constexpr std::string_view PlatformOrigin = "\"platform\"";
constexpr std::string_view Blanks = " \t\r";

struct Assignment
{
    std::string_view key;
    std::string_view value;
};

std::vector<std::string_view> linesOf(std::string_view text)
{
    std::vector<std::string_view> lines;
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        lines.push_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return lines;
}

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(Blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(Blanks) - first + 1);
}

/// The characters between the quotes of a quoted value; quotes among them are part of the value.
std::optional<std::string_view> quotedCharacters(std::string_view value)
{
    if (value.size() < 2 || value.front() != '"' || value.back() != '"') {
        return std::nullopt;
    }
    return value.substr(1, value.size() - 2);
}

/// Empty for comments, section headers and empty lines.
std::optional<Assignment> assignmentOf(std::string_view line)
{
    const auto content = trimmed(line);
    const auto equals = content.find('=');
    if (equals == std::string_view::npos || content.starts_with('#') || content.starts_with('[')) {
        return std::nullopt;
    }
    return Assignment { trimmed(content.substr(0, equals)), trimmed(content.substr(equals + 1)) };
}

bool isToml(std::string_view value)
{
    try {
        return toml::parse("value = " + std::string(value)).size() == 1;
    } catch (const toml::parse_error &) {
        return false;
    }
}

std::string tomlString(std::string_view characters)
{
    std::ostringstream text;
    text << toml::value<std::string>(std::string(characters));
    return text.str();
}

std::string tomlValue(std::string_view value)
{
    if (const auto characters = quotedCharacters(value)) {
        return tomlString(*characters);
    }
    return isToml(value) ? std::string(value) : tomlString(value);
}

} // namespace

bool isFilledIn(std::string_view text)
{
    const auto lines = linesOf(text);
    const auto section = std::ranges::find(lines, OriginSection, trimmed);
    const auto nextSection =
            std::find_if(section == lines.end() ? section : section + 1, lines.end(),
                         [](std::string_view line) { return trimmed(line).starts_with('['); });
    return std::any_of(section, nextSection, [](std::string_view line) {
        const auto assignment = assignmentOf(line);
        return assignment && assignment->key == OriginKey && assignment->value == PlatformOrigin;
    });
}

std::string tomlOf(std::string_view filledIn)
{
    std::string toml;
    for (const auto line : linesOf(filledIn)) {
        const auto assignment = assignmentOf(line);
        if (assignment) {
            toml.append(assignment->key).append(" = ").append(tomlValue(assignment->value));
        } else {
            toml.append(line);
        }
        toml += '\n';
    }
    return toml;
}

} // namespace banyanwall::process
