#pragma once

#include "common/endpoint.h"
#include "common/result.h"
#include "version/zonestates.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace banyanwall::version {

/// Store keys; docs/design.md, section 2.
inline constexpr std::string_view ContractKeyPrefix = "contracts/";
inline constexpr std::string_view ZonesKey = "zones";
inline constexpr std::string_view InstanceKeyPrefix = "instances/";

/// A former or present state of a contract document.
struct ContractVersion
{
    std::uint64_t version = 0;
    std::string toml;
    std::string author;
    /// "service/upstream", sorted.
    std::vector<std::string> drainedUpstreams;
};

/// Value of the store key contracts/<customer>. The version counts every accepted edit, drains
/// included.
struct ContractDocument
{
    static constexpr std::size_t HistoryLength = 20;
    /// The store takes values of up to 1 MB; older history is dropped above this size.
    static constexpr std::size_t MaximumBytes = 1'000'000;

    std::uint64_t version = 0;
    std::string toml;
    std::string author;
    /// "service/upstream", sorted.
    std::vector<std::string> drainedUpstreams;
    /// The last HistoryLength versions, this one included, oldest first.
    std::vector<ContractVersion> history;
};

/// Value of the store key instances/<name>.
struct InstanceRecord
{
    std::string name;
    std::string zone;
    std::uint64_t incarnation = 0;
    common::Endpoint fabric;
    common::Endpoint peer;
    common::Endpoint admin;
    bool leaving = false;
};

// The parse functions return the code "invalid_document" and say which field is wrong.
[[nodiscard]] common::Result<ContractDocument> parseContractDocument(std::string_view json);
/// A history entry without text has that of the entry after it, so that drains cost no copy of the
/// contract.
[[nodiscard]] std::string formatContractDocument(const ContractDocument &document);
/// The document without its history, for spreading between instances, which never use the history.
[[nodiscard]] std::string formatContractForInstances(ContractDocument document);

[[nodiscard]] common::Result<ZoneStates> parseZoneStates(std::string_view json);
[[nodiscard]] std::string formatZoneStates(const ZoneStates &states);

[[nodiscard]] common::Result<InstanceRecord> parseInstanceRecord(std::string_view json);
[[nodiscard]] std::string formatInstanceRecord(const InstanceRecord &record);

/// Returns the document after one accepted edit: the next version, with the new version appended to
/// the history and the oldest dropped beyond HistoryLength or MaximumBytes.
[[nodiscard]] ContractDocument nextVersion(const ContractDocument &current, std::string toml,
                                           std::string author,
                                           std::vector<std::string> drainedUpstreams);

} // namespace banyanwall::version
