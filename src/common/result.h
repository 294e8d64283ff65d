#pragma once

#include <string>
#include <utility>
#include <variant>

namespace banyanwall::common {

/// An error for an operator or a log: a machine-readable code in snake_case and a message.
struct Error
{
    std::string code;
    std::string message;
};

/// Either a value or an error.
template<typename T, typename E = Error>
using Result = std::variant<T, E>;

template<typename T, typename E>
[[nodiscard]] bool isOk(const std::variant<T, E> &result)
{
    return std::holds_alternative<T>(result);
}

template<typename T, typename E>
[[nodiscard]] const T &valueOf(const std::variant<T, E> &result)
{
    return std::get<T>(result);
}

template<typename T, typename E>
[[nodiscard]] T &&valueOf(std::variant<T, E> &&result)
{
    return std::get<T>(std::move(result));
}

template<typename T, typename E>
[[nodiscard]] const E &errorOf(const std::variant<T, E> &result)
{
    return std::get<E>(result);
}

/// Combines lambdas into one visitor for std::visit.
template<typename... Handlers>
struct Overloaded : Handlers...
{
    using Handlers::operator()...;
};

template<typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace banyanwall::common
