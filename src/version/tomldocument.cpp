#include "version/tomldocument.h"

#include <algorithm>
#include <optional>

namespace banyanwall::version {

namespace {

/// Returns the position after the string that starts with a quote at position start.
std::size_t endOfString(std::string_view text, std::size_t start)
{
    const char quote = text[start];
    const std::string delimiter(3, quote);
    const bool isMultiLine = text.substr(start).starts_with(delimiter);
    for (auto at = start + (isMultiLine ? delimiter.size() : 1); at < text.size(); ++at) {
        if (text[at] == '\\' && quote == '"') {
            ++at;
        } else if (!isMultiLine && (text[at] == quote || text[at] == '\n')) {
            return at + 1;
        } else if (isMultiLine && text.substr(at).starts_with(delimiter)) {
            // The last one or two characters of a multi-line string may be quotes as well.
            return std::min(text.find_first_not_of(quote, at), at + delimiter.size() + 2);
        }
    }
    return text.size();
}

TextPlace placeAt(std::string_view text, std::size_t position)
{
    const auto before = text.substr(0, position);
    const auto lineStart = before.rfind('\n') + 1;
    return { static_cast<std::uint32_t>(std::ranges::count(before, '\n') + 1),
             static_cast<std::uint32_t>(position - lineStart + 1) };
}

/// Place of the first key with more parts than allowed.
std::optional<TextPlace> findDeepKey(std::string_view text)
{
    static constexpr std::string_view separators = "=,[]{}\n";
    std::size_t parts = 1;
    std::size_t position = 0;
    while (position < text.size()) {
        const char c = text[position];
        if (c == '#') {
            position = std::min(text.find('\n', position), text.size());
            continue;
        }
        if (c == '"' || c == '\'') {
            position = endOfString(text, position);
            continue;
        }
        if (c == '.' && ++parts > TomlDocument::MaximumKeyParts) {
            return placeAt(text, position);
        }
        if (separators.find(c) != std::string_view::npos) {
            parts = 1;
        }
        ++position;
    }
    return std::nullopt;
}

} // namespace

TextPlace placeOf(const toml::source_region &region)
{
    return { std::max<std::uint32_t>(region.begin.line, 1),
             std::max<std::uint32_t>(region.begin.column, 1) };
}

common::Result<TomlDocument, TomlProblem> TomlDocument::parse(std::string_view text,
                                                              std::string_view sourceName)
{
    if (const auto place = findDeepKey(text)) {
        return TomlProblem {
            *place, "", "a key must have at most " + std::to_string(MaximumKeyParts) + " parts"
        };
    }
    try {
        return TomlDocument(toml::parse(text, sourceName));
    } catch (const toml::parse_error &error) {
        return TomlProblem { version::placeOf(error.source()), "",
                             std::string(error.description()) };
    }
}

} // namespace banyanwall::version
