#include "process/settingsreader.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace banyanwall::process {

using common::Endpoint;
using common::Error;

namespace {

constexpr std::size_t MinSecretBytes = 16;
constexpr std::array LogLevels { "trace", "debug", "info", "warning", "error" };
constexpr std::string_view LogLevelRule = "trace, debug, info, warning or error";
constexpr std::string_view SecretsRule =
        "a table of key id (1 to 4294967295) = secret of at least 16 characters";
constexpr std::string_view EndpointsRule = "an array of \"a.b.c.d:port\"";
constexpr std::string_view EndpointRule = "\"a.b.c.d:port\" with a port from 1 to 65535";

std::string joined(const std::vector<std::string_view> &words)
{
    std::string text;
    for (const auto word : words) {
        text += (text.empty() ? "" : ", ") + std::string(word);
    }
    return text;
}

std::string path(std::string_view section, std::string_view key)
{
    return std::string(section) + "." + std::string(key);
}

std::string textOf(double number)
{
    std::ostringstream text;
    text << number;
    return text.str();
}

/// Empty when the whole text is no number.
std::optional<double> parseNumber(const std::string &text)
{
    char *end = nullptr;
    const auto number = std::strtod(text.c_str(), &end);
    const bool isWhole = !text.empty() && end == text.c_str() + text.size();
    return isWhole ? std::optional(number) : std::nullopt;
}

std::optional<Endpoint> parseEndpoint(const toml::node &node)
{
    const auto text = node.value_exact<std::string>();
    return text ? common::parseEndpoint(*text) : std::nullopt;
}

} // namespace

std::string toString(const ReplacedSetting &setting, std::string_view sourceName)
{
    std::ostringstream text;
    text << sourceName << ":" << setting.line << ": key '" << setting.key
         << "': " << setting.problem << "; allowed: " << setting.allowed
         << "; used: " << setting.used;
    return text.str();
}

SettingsReader::SettingsReader(const toml::table &root, std::string_view sourceName,
                               InvalidValues invalidValues)
    : m_root(root)
    , m_source(sourceName)
    , m_invalidValues(invalidValues)
{ }

void SettingsReader::checkKeys(const KnownKeys &knownKeys)
{
    std::vector<std::string_view> sections;
    sections.reserve(knownKeys.size());
    for (const auto &[name, keys] : knownKeys) {
        sections.push_back(name);
    }
    for (const auto &[name, node] : m_root) {
        const auto known = knownKeys.find(name.str());
        if (known == knownKeys.end()) {
            fail(node.source().begin.line, name.str(), "unknown section", joined(sections));
        } else if (!node.is_table()) {
            fail(node.source().begin.line, name.str(), "wrong type", "a section");
        } else {
            checkSection(name.str(), *node.as_table(), known->second);
        }
    }
}

std::string SettingsReader::string(std::string_view section, std::string_view key,
                                   std::string_view allowed, bool isRequired)
{
    const auto *node = find(section, key, allowed, isRequired);
    if (node == nullptr) {
        return {};
    }
    const auto value = node->value_exact<std::string>();
    if (!value || value->empty()) {
        fail(node->source().begin.line, path(section, key), "wrong type or empty", allowed);
        return {};
    }
    return *value;
}

std::optional<std::int64_t> SettingsReader::integer(std::string_view section, std::string_view key,
                                                    std::int64_t low, std::int64_t high,
                                                    bool isRequired)
{
    const auto allowed = "an integer from " + std::to_string(low) + " to " + std::to_string(high);
    const auto *node = find(section, key, allowed, isRequired);
    if (node == nullptr) {
        return std::nullopt;
    }
    const auto value = node->value_exact<std::int64_t>();
    if (!value) {
        fail(node->source().begin.line, path(section, key), "wrong type", allowed);
    } else if (*value < low || *value > high) {
        fail(node->source().begin.line, path(section, key), "value out of range", allowed);
    }
    return value;
}

std::string SettingsReader::name(std::string_view section, std::string_view key,
                                 std::string_view allowed, const std::string &replacement)
{
    const auto *node = find(section, key, allowed, true);
    if (node == nullptr) {
        return {};
    }
    const auto value = node->value_exact<std::string>();
    if (!value || value->empty()) {
        replace(node->source().begin.line, path(section, key), "wrong type or empty", allowed,
                replacement);
        return replacement;
    }
    return *value;
}

double SettingsReader::number(std::string_view section, std::string_view key, NumberRange range,
                              double fallback)
{
    const auto allowed = "a number from " + textOf(range.low) + " to " + textOf(range.high);
    const auto *node = find(section, key, allowed, false);
    if (node == nullptr) {
        return fallback;
    }
    const auto value = numberOf(*node);
    if (!value || std::isnan(*value)) {
        replace(node->source().begin.line, path(section, key), "no number", allowed,
                textOf(fallback));
        return fallback;
    }
    const auto allowedValue = std::clamp(*value, range.low, range.high);
    if (allowedValue != *value) {
        replace(node->source().begin.line, path(section, key), "value out of range", allowed,
                textOf(allowedValue));
    }
    return allowedValue;
}

Endpoint SettingsReader::endpoint(std::string_view section, std::string_view key)
{
    const auto *node = find(section, key, EndpointRule, true);
    return node == nullptr ? Endpoint {} : endpointOf(*node, path(section, key));
}

Endpoint SettingsReader::endpoint(std::string_view section, std::string_view key,
                                  const Endpoint &replacement)
{
    const auto *node = find(section, key, EndpointRule, true);
    if (node == nullptr) {
        return {};
    }
    const auto parsed = parseEndpoint(*node);
    if (!parsed) {
        replace(node->source().begin.line, path(section, key), "not an address", EndpointRule,
                common::toString(replacement));
    }
    return parsed.value_or(replacement);
}

std::optional<Endpoint> SettingsReader::optionalEndpoint(std::string_view section,
                                                         std::string_view key)
{
    const auto *node = find(section, key, EndpointRule, false);
    return node == nullptr ? std::nullopt : std::optional(endpointOf(*node, path(section, key)));
}

std::vector<Endpoint> SettingsReader::endpoints(std::string_view section, std::string_view key,
                                                bool isRequired)
{
    const auto *node = find(section, key, EndpointsRule, isRequired);
    if (node == nullptr) {
        return {};
    }
    const auto *array = node->as_array();
    if (array == nullptr || (isRequired && array->empty())) {
        replace(node->source().begin.line, path(section, key), "wrong type or empty", EndpointsRule,
                "[]");
        return {};
    }
    std::vector<Endpoint> parsed;
    for (const auto &element : *array) {
        const auto address = parseEndpoint(element);
        if (address) {
            parsed.push_back(*address);
        } else {
            replace(element.source().begin.line, path(section, key), "not an address", EndpointRule,
                    "no address");
        }
    }
    return parsed;
}

std::map<std::uint32_t, std::string> SettingsReader::secrets(std::string_view section,
                                                             std::string_view key)
{
    const auto *node = find(section, key, SecretsRule, true);
    const auto *table = node == nullptr ? nullptr : node->as_table();
    if (node != nullptr && (table == nullptr || table->empty())) {
        fail(node->source().begin.line, path(section, key), "wrong type or empty", SecretsRule);
    }
    std::map<std::uint32_t, std::string> parsed;
    if (table == nullptr) {
        return parsed;
    }
    for (const auto &[name, value] : *table) {
        std::uint32_t id = 0;
        const auto text = name.str();
        const auto *end = text.data() + text.size();
        const auto read = std::from_chars(text.data(), end, id);
        const auto secret = value.value_exact<std::string>();
        if (read.ec != std::errc() || read.ptr != end || id == 0 || !secret
            || secret->size() < MinSecretBytes) {
            fail(value.source().begin.line, path(section, key) + "." + std::string(text),
                 "wrong key id or secret", SecretsRule);
            continue;
        }
        parsed.emplace(id, *secret);
    }
    return parsed;
}

void SettingsReader::fail(std::size_t line, std::string_view key, std::string_view problem,
                          std::string_view allowed)
{
    if (m_error) {
        return;
    }
    std::ostringstream text;
    text << m_source << ":" << line << ": key '" << key << "': " << problem
         << "; allowed: " << allowed;
    m_error = Error { "bad_settings", text.str() };
}

bool SettingsReader::isSet(std::string_view section, std::string_view key) const
{
    return static_cast<bool>(m_root[section][key]);
}

void SettingsReader::replace(std::size_t line, std::string_view key, std::string_view problem,
                             std::string_view allowed, std::string_view used)
{
    if (!replacesValues()) {
        fail(line, key, problem, allowed);
        return;
    }
    m_replaced.push_back({ line, std::string(key), std::string(problem), std::string(allowed),
                           std::string(used) });
}

std::size_t SettingsReader::lineOf(std::string_view section, std::string_view key) const
{
    const auto node = m_root[section][key];
    return node ? node.node()->source().begin.line : 1;
}

void SettingsReader::checkSection(std::string_view section, const toml::table &table,
                                  const std::vector<std::string_view> &keys)
{
    for (const auto &[key, node] : table) {
        if (std::ranges::find(keys, key.str()) == keys.end()) {
            fail(node.source().begin.line, path(section, key.str()), "unknown key", joined(keys));
        }
    }
}

const toml::node *SettingsReader::find(std::string_view section, std::string_view key,
                                       std::string_view allowed, bool isRequired)
{
    const auto *node = m_root[section][key].node();
    if (node == nullptr && isRequired) {
        const auto *parent = m_root[section].node();
        fail(parent == nullptr ? 1 : parent->source().begin.line, path(section, key), "missing",
             allowed);
    }
    return node;
}

Endpoint SettingsReader::endpointOf(const toml::node &node, const std::string &key)
{
    const auto parsed = parseEndpoint(node);
    if (!parsed) {
        fail(node.source().begin.line, key, "not an address", EndpointRule);
        return {};
    }
    return *parsed;
}

std::optional<double> SettingsReader::numberOf(const toml::node &node) const
{
    if (const auto whole = node.value_exact<std::int64_t>()) {
        return static_cast<double>(*whole);
    }
    // A number that TOML cannot hold, such as 1e400, stays a string in a filled-in file.
    const auto text = replacesValues() ? node.value_exact<std::string>() : std::nullopt;
    return text ? parseNumber(*text) : node.value_exact<double>();
}

std::string SettingsReader::logLevel(std::string_view fallback)
{
    auto level = string("log", "level", LogLevelRule, false);
    if (level.empty()) {
        return std::string(fallback);
    }
    if (std::ranges::find(LogLevels, level) == LogLevels.end()) {
        fail(lineOf("log", "level"), "log.level", "unknown level", LogLevelRule);
    }
    return level;
}

common::Result<toml::table> parseToml(std::string_view text, std::string_view sourceName)
{
    try {
        return toml::parse(text, sourceName);
    } catch (const toml::parse_error &error) {
        return Error { "bad_settings",
                       std::string(sourceName) + ":" + std::to_string(error.source().begin.line)
                               + ": " + std::string(error.description()) };
    }
}

common::Result<std::string> readSettingsFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file) {
        return Error { "bad_settings", path + ": cannot be read; allowed: a readable TOML file" };
    }
    return text.str();
}

} // namespace banyanwall::process
