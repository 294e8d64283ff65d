#pragma once

#include "common/endpoint.h"
#include "version/tomldocument.h"

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyanwall::version {

/// Collects the problems of a TOML document.
class TomlErrors
{
public:
    static constexpr std::size_t MaximumProblems = 100;

    /// Keeps the problem unless one is known for the same key, which usually is its cause.
    void add(const toml::source_region &where, const std::string &key, const std::string &problem);

    [[nodiscard]] bool contains(std::string_view key) const;

    /// At most MaximumProblems, in the order in which they were found.
    [[nodiscard]] const std::vector<TomlProblem> &problems() const { return m_problems; }

private:
    std::vector<TomlProblem> m_problems;
};

struct IntegerRange
{
    std::uint32_t lowest;
    std::uint32_t highest;
};

/// Reads and checks values of one table. On an error, the read function records the error and
/// returns a default value, so that callers check for errors once at the end.
class TomlReader
{
public:
    using Keys = std::initializer_list<std::string_view>;

    /// path is the name of the table in error texts, empty for the root. Records an error for each
    /// key that is not in allowed.
    TomlReader(const toml::table &table, std::string path, TomlErrors &errors, Keys allowed);

    /// Reads a name: 1 to 63 lower-case letters, digits and hyphens, starting with a letter.
    [[nodiscard]] std::string requiredName(std::string_view key) const;
    [[nodiscard]] std::vector<std::string> requiredNames(std::string_view key) const;
    /// allowed says in the error text what the value must be.
    [[nodiscard]] std::string requiredText(std::string_view key, std::string_view allowed) const;
    [[nodiscard]] std::uint32_t requiredInteger(std::string_view key, IntegerRange range) const;
    /// Returns fallback if the table does not have the key.
    [[nodiscard]] std::uint32_t integer(std::string_view key, IntegerRange range,
                                        std::uint32_t fallback) const;
    [[nodiscard]] common::Endpoint requiredEndpoint(std::string_view key) const;
    /// Returns the elements of an array that must hold 1 to highest tables.
    [[nodiscard]] std::vector<TomlReader> requiredTables(std::string_view key, Keys allowed,
                                                         std::size_t highest) const;
    /// Empty if the table does not have the key.
    [[nodiscard]] std::optional<TomlReader> table(std::string_view key, Keys allowed) const;

    /// Whether an error was recorded for a key of this table.
    [[nodiscard]] bool hasFailed(std::string_view key) const;

    /// Records an error for a key of this table.
    void fail(std::string_view key, const std::string &problem) const;

private:
    [[nodiscard]] std::string pathOf(std::string_view key) const;
    [[nodiscard]] const toml::node *required(std::string_view key, std::string_view allowed) const;

    const toml::table *m_table;
    std::string m_path;
    TomlErrors *m_errors;
};

} // namespace banyanwall::version
