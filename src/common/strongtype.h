#pragma once

#include <compare>
#include <cstddef>
#include <functional>

namespace banyanwall::common {

/// A value with a type of its own, so that the compiler rejects an id of one kind in place of
/// another.
template<typename Tag, typename Value>
class StrongType
{
public:
    constexpr StrongType() = default;

    constexpr explicit StrongType(Value value)
        : m_value(value)
    { }

    [[nodiscard]] constexpr Value value() const { return m_value; }

    constexpr auto operator<=>(const StrongType &) const = default;

private:
    Value m_value {};
};

} // namespace banyanwall::common

template<typename Tag, typename Value>
struct std::hash<banyanwall::common::StrongType<Tag, Value>>
{
    std::size_t operator()(const banyanwall::common::StrongType<Tag, Value> &id) const noexcept
    {
        return std::hash<Value> {}(id.value());
    }
};
