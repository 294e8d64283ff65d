#include "version/tomlreader.h"

#include <algorithm>
#include <sstream>

namespace banyanwall::version {

namespace {

constexpr std::size_t MaximumNameLength = 63;
constexpr std::string_view NameRule =
        "a name of 1 to 63 lower-case letters, digits and hyphens that starts with a letter";

bool isName(std::string_view text)
{
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
    };
    return !text.empty() && text.size() <= MaximumNameLength && text.front() >= 'a'
            && text.front() <= 'z' && std::ranges::all_of(text, allowed);
}

std::string expected(std::string_view allowed, const toml::node &found)
{
    std::ostringstream text;
    text << "must be " << allowed << ", is ";
    if (found.is_table()) {
        text << "a table";
    } else if (found.is_array()) {
        text << "an array";
    } else {
        found.visit([&text](const auto &value) {
            if constexpr (toml::is_value<decltype(value)>) {
                text << value;
            }
        });
    }
    return text.str();
}

std::string rangeText(IntegerRange range)
{
    return "an integer from " + std::to_string(range.lowest) + " to "
            + std::to_string(range.highest);
}

} // namespace

void TomlErrors::add(const toml::source_region &where, const std::string &key,
                     const std::string &problem)
{
    if (m_problems.size() < MaximumProblems && !contains(key)) {
        m_problems.push_back({ placeOf(where), key, problem });
    }
}

bool TomlErrors::contains(std::string_view key) const
{
    return std::ranges::find(m_problems, key, &TomlProblem::key) != m_problems.end();
}

TomlReader::TomlReader(const toml::table &table, std::string path, TomlErrors &errors, Keys allowed)
    : m_table(&table)
    , m_path(std::move(path))
    , m_errors(&errors)
{
    for (const auto &[key, value] : table) {
        if (std::ranges::find(allowed, key.str()) != allowed.end()) {
            continue;
        }
        std::string list;
        for (const auto &name : allowed) {
            list += (list.empty() ? "" : ", ") + std::string(name);
        }
        m_errors->add(key.source(), pathOf(key.str()), "unknown key, allowed are: " + list);
    }
}

std::string TomlReader::pathOf(std::string_view key) const
{
    return m_path.empty() ? std::string(key) : m_path + "." + std::string(key);
}

bool TomlReader::hasFailed(std::string_view key) const
{
    return m_errors->contains(pathOf(key));
}

void TomlReader::fail(std::string_view key, const std::string &problem) const
{
    const auto *node = m_table->get(key);
    m_errors->add(node == nullptr ? m_table->source() : node->source(), pathOf(key), problem);
}

const toml::node *TomlReader::required(std::string_view key, std::string_view allowed) const
{
    const auto *node = m_table->get(key);
    if (node == nullptr) {
        fail(key, "is missing, must be " + std::string(allowed));
    }
    return node;
}

std::string TomlReader::requiredText(std::string_view key, std::string_view allowed) const
{
    const auto *node = required(key, allowed);
    if (node == nullptr) {
        return {};
    }
    const auto *text = node->as_string();
    if (text == nullptr) {
        fail(key, expected(allowed, *node));
        return {};
    }
    return text->get();
}

std::string TomlReader::requiredName(std::string_view key) const
{
    auto text = requiredText(key, NameRule);
    if (!isName(text)) {
        fail(key, "must be " + std::string(NameRule) + ", is '" + text + "'");
    }
    return text;
}

std::vector<std::string> TomlReader::requiredNames(std::string_view key) const
{
    static constexpr std::string_view allowed = "an array of one or more names";
    const auto *node = required(key, allowed);
    if (node == nullptr) {
        return {};
    }
    const auto *array = node->as_array();
    if (array == nullptr || array->empty()) {
        fail(key, array == nullptr ? expected(allowed, *node) : "must not be empty");
        return {};
    }
    std::vector<std::string> names;
    for (const auto &element : *array) {
        const auto *text = element.as_string();
        if (text == nullptr || !isName(text->get())) {
            m_errors->add(element.source(), pathOf(key), expected(NameRule, element));
            return {};
        }
        names.push_back(text->get());
    }
    return names;
}

std::uint32_t TomlReader::requiredInteger(std::string_view key, IntegerRange range) const
{
    const auto *node = required(key, rangeText(range));
    if (node == nullptr) {
        return range.lowest;
    }
    const auto *value = node->as_integer();
    if (value == nullptr || value->get() < range.lowest || value->get() > range.highest) {
        fail(key, expected(rangeText(range), *node));
        return range.lowest;
    }
    return static_cast<std::uint32_t>(value->get());
}

std::uint32_t TomlReader::integer(std::string_view key, IntegerRange range,
                                  std::uint32_t fallback) const
{
    return m_table->contains(key) ? requiredInteger(key, range) : fallback;
}

common::Endpoint TomlReader::requiredEndpoint(std::string_view key) const
{
    static constexpr std::string_view allowed =
            "an IPv4 address and port such as \"127.0.0.1:7001\"";
    const auto text = requiredText(key, allowed);
    const auto endpoint = common::parseEndpoint(text);
    if (!endpoint || endpoint->address == 0) {
        fail(key, "must be " + std::string(allowed) + ", is '" + text + "'");
        return {};
    }
    return *endpoint;
}

std::vector<TomlReader> TomlReader::requiredTables(std::string_view key, Keys allowed,
                                                   std::size_t highest) const
{
    const auto rule = "an array of 1 to " + std::to_string(highest) + " tables";
    const auto *node = required(key, rule);
    if (node == nullptr) {
        return {};
    }
    const auto *array = node->as_array();
    if (array == nullptr || array->empty() || array->size() > highest) {
        fail(key,
             array == nullptr ? expected(rule, *node)
                              : "must be " + rule + ", has " + std::to_string(array->size()));
        return {};
    }
    std::vector<TomlReader> readers;
    for (const auto &element : *array) {
        const auto *child = element.as_table();
        if (child == nullptr) {
            m_errors->add(element.source(), pathOf(key), expected("a table", element));
            return {};
        }
        readers.emplace_back(*child, elementKey(pathOf(key), readers.size()), *m_errors, allowed);
    }
    return readers;
}

std::optional<TomlReader> TomlReader::table(std::string_view key, Keys allowed) const
{
    const auto *node = m_table->get(key);
    if (node == nullptr) {
        return std::nullopt;
    }
    const auto *child = node->as_table();
    if (child == nullptr) {
        fail(key, expected("a table", *node));
        return std::nullopt;
    }
    return TomlReader(*child, pathOf(key), *m_errors, allowed);
}

} // namespace banyanwall::version
