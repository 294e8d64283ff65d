#include "version/tomldocument.h"

#include <algorithm>
#include <charconv>
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

/// Value of a key of a table, or element "n]" of an array; null if there is none.
const toml::node *childOf(const toml::node &node, std::string_view step)
{
    if (step.ends_with(']')) {
        const auto *array = node.as_array();
        std::size_t number = 0;
        std::from_chars(step.data(), step.data() + step.size() - 1, number);
        return array == nullptr || number == 0 ? nullptr : array->get(number - 1);
    }
    const auto *table = node.as_table();
    return table == nullptr ? nullptr : table->get(step);
}

} // namespace

TextPlace placeOf(const toml::source_region &region)
{
    return { std::max<std::uint32_t>(region.begin.line, 1),
             std::max<std::uint32_t>(region.begin.column, 1) };
}

std::string elementKey(std::string_view key, std::size_t index)
{
    return std::string(key) + "[" + std::to_string(index + 1) + "]";
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

TextPlace TomlDocument::placeOf(std::string_view keyPath) const
{
    const toml::node *node = &m_root;
    auto place = version::placeOf(m_root.source());
    while (!keyPath.empty()) {
        const auto length = std::min(keyPath.find_first_of(".[", 1), keyPath.size());
        const std::size_t mark = keyPath.starts_with('.') || keyPath.starts_with('[') ? 1 : 0;
        node = childOf(*node, keyPath.substr(mark, length - mark));
        if (node == nullptr) {
            return place;
        }
        place = version::placeOf(node->source());
        keyPath.remove_prefix(length);
    }
    return place;
}

} // namespace banyanwall::version
