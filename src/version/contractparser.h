#pragma once

#include "common/result.h"
#include "version/contract.h"

#include <optional>
#include <string>
#include <string_view>

namespace banyanwall::version {

/// Longest contract text that is accepted, in bytes. JSON at most doubles it, so that the document
/// without history stays under the store's limit of 1 MB a value.
inline constexpr std::size_t MaximumContractBytes = 400'000;

/// Parses and checks a contract. The error is one line "source:line: key: what is wrong and what is
/// allowed"; code "invalid_toml" or "invalid_contract".
[[nodiscard]] common::Result<Contract> parseContract(std::string_view toml,
                                                     std::string_view sourceName);

struct NoticeUrl
{
    common::Endpoint server;
    /// Path and query, at least "/".
    std::string target;
};

/// Splits "http://ip:port/path"; empty on any deviation.
[[nodiscard]] std::optional<NoticeUrl> parseNoticeUrl(std::string_view url);

/// Says why two contracts of different customers cannot both be accepted: a shared service address
/// or upstream address, or colliding ids of customers or services.
[[nodiscard]] std::optional<common::Error> findConflict(const Contract &contract,
                                                        const Contract &other);

} // namespace banyanwall::version
