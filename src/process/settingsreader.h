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

/// What happens to a value that is not allowed and for which there is a replacement.
enum class InvalidValues {
    /// It is an error.
    Refused,
    /// The replacement is used; replaced() lists it.
    Replaced,
};

/// A value that was not allowed, and what is used instead.
struct ReplacedSetting
{
    std::size_t line = 0;
    std::string key;
    std::string problem;
    std::string allowed;
    std::string used;

    bool operator==(const ReplacedSetting &) const = default;
};

/// Text for a person; sourceName names the source as in errors.
[[nodiscard]] std::string toString(const ReplacedSetting &setting, std::string_view sourceName);

/// Both limits are allowed values.
struct NumberRange
{
    double low = 0.0;
    double high = 0.0;
};

/// Reads values from a parsed settings file. Keeps the first error: one line that names source,
/// line, key and what is allowed. After an error, a function returns an empty or default value.
class SettingsReader
{
public:
    /// root has to outlive the reader. sourceName names the source in error messages, such as the
    /// path of the file.
    SettingsReader(const toml::table &root, std::string_view sourceName,
                   InvalidValues invalidValues = InvalidValues::Refused);

    [[nodiscard]] const std::optional<common::Error> &error() const { return m_error; }

    [[nodiscard]] const std::vector<ReplacedSetting> &replaced() const { return m_replaced; }

    [[nodiscard]] bool replacesValues() const { return m_invalidValues == InvalidValues::Replaced; }

    /// Records an error for a section or key that known does not list.
    void checkKeys(const KnownKeys &known);

    std::string string(std::string_view section, std::string_view key, std::string_view allowed,
                       bool isRequired = true);
    std::optional<std::int64_t> integer(std::string_view section, std::string_view key,
                                        std::int64_t low, std::int64_t high, bool isRequired);
    /// A string that is not empty and has a replacement.
    std::string name(std::string_view section, std::string_view key, std::string_view allowed,
                     const std::string &replacement);
    /// A whole number or a fraction; fallback when the key is not set. The replacement of a number
    /// out of range is the limit next to it, that of any other value is the fallback.
    double number(std::string_view section, std::string_view key, NumberRange range,
                  double fallback);
    common::Endpoint endpoint(std::string_view section, std::string_view key);
    /// An endpoint that has a replacement.
    common::Endpoint endpoint(std::string_view section, std::string_view key,
                              const common::Endpoint &replacement);
    /// Empty when the key is not set. An invalid endpoint is an error.
    std::optional<common::Endpoint> optionalEndpoint(std::string_view section,
                                                     std::string_view key);
    /// Elements that are no endpoints are left out where values are replaced.
    std::vector<common::Endpoint> endpoints(std::string_view section, std::string_view key,
                                            bool isRequired);
    /// Reads a required table of key id = secret.
    std::map<std::uint32_t, std::string> secrets(std::string_view section, std::string_view key);
    /// log.level, or fallback when it is not set.
    std::string logLevel(std::string_view fallback);

    /// Records an error, unless there is one already. allowed describes the allowed values.
    void fail(std::size_t line, std::string_view key, std::string_view problem,
              std::string_view allowed);
    /// Records an error, or the replacement where values are replaced.
    void replace(std::size_t line, std::string_view key, std::string_view problem,
                 std::string_view allowed, std::string_view used);
    [[nodiscard]] bool isSet(std::string_view section, std::string_view key) const;
    /// Line of a key in the file; 1 when the key is not set.
    [[nodiscard]] std::size_t lineOf(std::string_view section, std::string_view key) const;

private:
    void checkSection(std::string_view section, const toml::table &table,
                      const std::vector<std::string_view> &keys);
    const toml::node *find(std::string_view section, std::string_view key, std::string_view allowed,
                           bool isRequired);
    common::Endpoint endpointOf(const toml::node &node, const std::string &key);
    [[nodiscard]] std::optional<double> numberOf(const toml::node &node) const;

    const toml::table &m_root;
    std::string m_source;
    InvalidValues m_invalidValues;
    std::vector<ReplacedSetting> m_replaced;
    std::optional<common::Error> m_error;
};

/// Parses TOML text. The error bad_settings names source and line.
[[nodiscard]] common::Result<toml::table> parseToml(std::string_view text,
                                                    std::string_view sourceName);
/// Returns the text of a settings file, or the error bad_settings when it cannot be read.
[[nodiscard]] common::Result<std::string> readSettingsFile(const std::string &path);

} // namespace banyanwall::process
