#pragma once

#include "common/endpoint.h"
#include "common/result.h"

#include <toml++/toml.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyanwall::process {

/// Keys that each section of a settings file may have.
using KnownKeys = std::map<std::string_view, std::vector<std::string_view>>;

/// Reads values out of a parsed settings file and keeps the first deviation, as one line that names
/// source, line, key and what is allowed.
class SettingsReader
{
public:
    /// root has to outlive the reader.
    SettingsReader(const toml::table &root, std::string_view sourceName);

    [[nodiscard]] const std::optional<common::Error> &error() const { return m_error; }

    /// Fails on sections and keys that are not known.
    void checkKeys(const KnownKeys &known);

    std::string string(std::string_view section, std::string_view key, std::string_view allowed,
                       bool required = true);
    std::optional<std::int64_t> integer(std::string_view section, std::string_view key,
                                        std::int64_t low, std::int64_t high, bool required);
    /// A number that is not negative; fallback when the key is not set.
    double fraction(std::string_view section, std::string_view key, double fallback);
    common::Endpoint endpoint(std::string_view section, std::string_view key);
    /// Empty when the key is not set.
    std::optional<common::Endpoint> optionalEndpoint(std::string_view section,
                                                     std::string_view key);
    std::vector<common::Endpoint> endpoints(std::string_view section, std::string_view key,
                                            bool required);
    /// A table of key id to secret.
    std::map<std::uint32_t, std::string> secrets(std::string_view section, std::string_view key);
    /// log.level, or fallback when it is not set.
    std::string logLevel(std::string_view fallback);

    void fail(std::size_t line, std::string_view key, std::string_view problem,
              std::string_view allowed);
    /// Line of a key; 1 when it is not set.
    [[nodiscard]] std::size_t lineOf(std::string_view section, std::string_view key) const;

private:
    void checkSection(std::string_view section, const toml::table &table,
                      const std::vector<std::string_view> &keys);
    const toml::node *find(std::string_view section, std::string_view key, std::string_view allowed,
                           bool required);
    common::Endpoint endpointOf(const toml::node &node, const std::string &key);

    const toml::table &m_root;
    std::string m_source;
    std::optional<common::Error> m_error;
};

/// Parses TOML text; an error names source and line.
[[nodiscard]] common::Result<toml::table> parseToml(std::string_view text,
                                                    std::string_view sourceName);
/// Content of a settings file.
[[nodiscard]] common::Result<std::string> readSettingsFile(const std::string &path);

} // namespace banyanwall::process
