#pragma once

#include "common/endpoint.h"
#include "common/result.h"

#include <toml++/toml.h>

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyanwall::version {

/// Keeps the first fault of a TOML document as "file:line: key: problem".
class TomlFaults
{
public:
    explicit TomlFaults(std::string_view sourceName);

    void add(const toml::source_region &where, const std::string &key, const std::string &problem);

    [[nodiscard]] const std::optional<common::Error> &first() const { return m_first; }

private:
    std::string m_sourceName;
    std::optional<common::Error> m_first;
};

struct IntegerRange
{
    std::uint32_t lowest;
    std::uint32_t highest;
};

/// Reads checked values from one table. A fault is recorded and the read returns a neutral value,
/// so that callers check for faults once at the end.
class TomlReader
{
public:
    using Keys = std::initializer_list<std::string_view>;

    /// path is the name of the table in messages, empty for the root. Keys outside allowed are a
    /// fault.
    TomlReader(const toml::table &table, std::string path, TomlFaults &faults, Keys allowed);

    /// A name: lower-case letters, digits and hyphens, at most 63 characters.
    [[nodiscard]] std::string requiredName(std::string_view key) const;
    [[nodiscard]] std::vector<std::string> requiredNames(std::string_view key) const;
    [[nodiscard]] std::string requiredText(std::string_view key, std::string_view allowed) const;
    [[nodiscard]] std::uint32_t requiredInteger(std::string_view key, IntegerRange range) const;
    [[nodiscard]] std::uint32_t integer(std::string_view key, IntegerRange range,
                                        std::uint32_t fallback) const;
    [[nodiscard]] common::Endpoint requiredEndpoint(std::string_view key) const;
    /// Elements of an array of tables that must hold from 1 to highest of them.
    [[nodiscard]] std::vector<TomlReader> requiredTables(std::string_view key, Keys allowed,
                                                         std::size_t highest) const;
    [[nodiscard]] std::optional<TomlReader> table(std::string_view key, Keys allowed) const;

    /// Records a fault of a key of this table.
    void fail(std::string_view key, const std::string &problem) const;

private:
    [[nodiscard]] std::string pathOf(std::string_view key) const;
    [[nodiscard]] const toml::node *required(std::string_view key, std::string_view allowed) const;

    const toml::table *m_table;
    std::string m_path;
    TomlFaults *m_faults;
};

} // namespace banyanwall::version
