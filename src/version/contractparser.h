#pragma once

#include "common/result.h"
#include "version/contract.h"
#include "version/tomldocument.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyanwall::version {

/// Maximum size of a contract's text. Escaping in JSON at most doubles it, so that the document
/// without its history stays below the store's limit of 1 MB per value.
inline constexpr std::size_t MaximumContractBytes = 400'000;

/// Parses and checks a contract. The error has the code "invalid_toml" or "invalid_contract" and
/// one line of text: "source:line: key: what is wrong and what is allowed".
[[nodiscard]] common::Result<Contract> parseContract(std::string_view toml,
                                                     std::string_view sourceName);

/// A contract and the document that tells the places of its keys.
struct PlacedContract
{
    Contract contract;
    TomlDocument document;
};

/// Like parseContract(), but returns the first problem of each key.
[[nodiscard]] common::Result<PlacedContract, std::vector<TomlProblem>>
parseContractWithPlaces(std::string_view toml, std::string_view sourceName);

struct NoticeUrl
{
    common::Endpoint server;
    /// Path and query, at least "/".
    std::string target;
};

/// Parses "http://ip:port/path". Empty if the text has any other form.
[[nodiscard]] std::optional<NoticeUrl> parseNoticeUrl(std::string_view url);

/// Returns why the contracts of two customers cannot both be accepted, with the code
/// "contract_conflict": they share a service or upstream address, or have colliding ids of
/// customers or services. Empty if there is no conflict.
[[nodiscard]] std::optional<common::Error> findConflict(const Contract &contract,
                                                        const Contract &other);

} // namespace banyanwall::version
