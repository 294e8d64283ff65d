#pragma once

#include "common/result.h"

#include <toml++/toml.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace banyanwall::version {

/// A place in a text; line and column start at 1.
struct TextPlace
{
    std::uint32_t line = 1;
    std::uint32_t column = 1;

    auto operator<=>(const TextPlace &) const = default;
};

/// A rule that a TOML text breaks.
struct TomlProblem
{
    TextPlace place;
    /// Path of the key, such as "service[1].group[2].name"; empty if the text is not TOML.
    std::string key;
    std::string reason;
};

[[nodiscard]] TextPlace placeOf(const toml::source_region &region);

/// Path of an element of an array, such as "service[1]" for index 0.
[[nodiscard]] std::string elementKey(std::string_view key, std::size_t index);

/// A parsed TOML text.
class TomlDocument
{
public:
    /// Maximum number of parts of a key or table header, such as 3 in "a.b.c". Each part is a
    /// nested table, and toml++ destroys nested tables by recursion.
    static constexpr std::size_t MaximumKeyParts = 16;

    /// Returns a problem without a key if the text is not TOML or has a key with more parts than
    /// MaximumKeyParts. sourceName is kept in the nodes of the document.
    [[nodiscard]] static common::Result<TomlDocument, TomlProblem>
    parse(std::string_view text, std::string_view sourceName);

    [[nodiscard]] const toml::table &root() const { return m_root; }

    /// Place of the value of a key. keyPath is written as in TomlProblem::key; elements of arrays
    /// are counted from 1. If the document has no such key, the place of the innermost table or
    /// element on the path that it has.
    [[nodiscard]] TextPlace placeOf(std::string_view keyPath) const;

private:
    explicit TomlDocument(toml::table root)
        : m_root(std::move(root))
    { }

    toml::table m_root;
};

} // namespace banyanwall::version
