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

/// Allowed keys of a settings file, by section.
using KnownKeys = std::map<std::string_view, std::vector<std::string_view>>;

/// Reads values from a parsed settings file. Keeps the first error: one line that names source,
/// line, key and what is allowed. After an error, a function returns an empty or default value.
class SettingsReader
{
public:
    /// root has to outlive the reader. sourceName names the source in error messages, such as the
    /// path of the file.
    SettingsReader(const toml::table &root, std::string_view sourceName);

    [[nodiscard]] const std::optional<common::Error> &error() const { return m_error; }

    /// Records an error for a section or key that known does not list.
    void checkKeys(const KnownKeys &known);

    std::string string(std::string_view section, std::string_view key, std::string_view allowed,
                       bool isRequired = true);
    std::optional<std::int64_t> integer(std::string_view section, std::string_view key,
                                        std::int64_t low, std::int64_t high, bool isRequired);
    /// Whole numbers and fractions from low to high, both included. Empty when the key is not set.
    std::optional<double> number(std::string_view section, std::string_view key, double low,
                                 double high, bool isRequired);
    /// Fractions are allowed; fallback when the key is not set.
    double nonNegativeNumber(std::string_view section, std::string_view key, double fallback);
    common::Endpoint endpoint(std::string_view section, std::string_view key);
    /// Empty when the key is not set. An invalid endpoint is an error.
    std::optional<common::Endpoint> optionalEndpoint(std::string_view section,
                                                     std::string_view key);
    std::vector<common::Endpoint> endpoints(std::string_view section, std::string_view key,
                                            bool isRequired);
    /// Reads a required table of key id = secret.
    std::map<std::uint32_t, std::string> secrets(std::string_view section, std::string_view key);
    /// log.level, or fallback when it is not set.
    std::string logLevel(std::string_view fallback);

    /// Records an error, unless there is one already. allowed describes the allowed values.
    void fail(std::size_t line, std::string_view key, std::string_view problem,
              std::string_view allowed);
    [[nodiscard]] bool isSet(std::string_view section, std::string_view key) const;
    /// Line of a key in the file; 1 when the key is not set.
    [[nodiscard]] std::size_t lineOf(std::string_view section, std::string_view key) const;

private:
    void checkSection(std::string_view section, const toml::table &table,
                      const std::vector<std::string_view> &keys);
    const toml::node *find(std::string_view section, std::string_view key, std::string_view allowed,
                           bool isRequired);
    common::Endpoint endpointOf(const toml::node &node, const std::string &key);

    const toml::table &m_root;
    std::string m_source;
    std::optional<common::Error> m_error;
};

/// Parses TOML text. The error bad_settings names source and line.
[[nodiscard]] common::Result<toml::table> parseToml(std::string_view text,
                                                    std::string_view sourceName);
/// Returns the text of a settings file, or the error bad_settings when it cannot be read.
[[nodiscard]] common::Result<std::string> readSettingsFile(const std::string &path);

} // namespace banyanwall::process
