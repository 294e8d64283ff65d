#pragma once

#include "common/endpoint.h"
#include "common/result.h"
#include "version/zonestates.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace banyanwall::version {

// Keys in the store; see docs/design.md, section 2.
inline constexpr std::string_view ContractKeyPrefix = "contracts/";
inline constexpr std::string_view ZonesKey = "zones";
inline constexpr std::string_view InstanceKeyPrefix = "instances/";

/// One version of a contract document, in its history.
struct ContractVersion
{
    std::uint64_t version = 0;
    std::string toml;
    std::string author;
    /// "service/upstream", sorted.
    std::vector<std::string> drainedUpstreams;
};

/// Value of the store key contracts/<customer>. The version grows by one with each accepted edit,
/// including drains.
struct ContractDocument
{
    /// Maximum number of versions in the history.
    static constexpr std::size_t HistoryLength = 20;
    /// Maximum size of the document as JSON, the store's limit for a value. Old versions are
    /// dropped from the history to stay below it.
    static constexpr std::size_t MaximumBytes = 1'000'000;

    std::uint64_t version = 0;
    std::string toml;
    std::string author;
    /// "service/upstream", sorted.
    std::vector<std::string> drainedUpstreams;
    /// The last versions including this one, oldest first.
    std::vector<ContractVersion> history;
};

/// Value of the store key instances/<name>.
struct InstanceRecord
{
    std::string name;
    std::string zone;
    std::uint64_t incarnation = 0;
    /// Where the instance receives packets of the fabric.
    common::Endpoint fabric;
    /// Where the instance receives messages of other instances.
    common::Endpoint peer;
    /// Where the instance serves /health, /metrics and /status over HTTP.
    common::Endpoint admin;
    /// The instance is shutting down.
    bool leaving = false;
};

// The parse functions return the error code "invalid_document" and name the field that is wrong.

[[nodiscard]] common::Result<ContractDocument> parseContractDocument(std::string_view json);
/// Returns the document as JSON. The text of a history entry is left out if it equals that of the
/// next entry, so that a drain does not add a copy of the contract.
[[nodiscard]] std::string formatContractDocument(const ContractDocument &document);
/// Returns the document as JSON without its history, for messages between instances, which do not
/// use the history.
[[nodiscard]] std::string formatContractForInstances(ContractDocument document);

[[nodiscard]] common::Result<ZoneStates> parseZoneStates(std::string_view json);
[[nodiscard]] std::string formatZoneStates(const ZoneStates &states);

[[nodiscard]] common::Result<InstanceRecord> parseInstanceRecord(std::string_view json);
[[nodiscard]] std::string formatInstanceRecord(const InstanceRecord &record);

/// Returns the document after one accepted edit. Appends the new version to the history and drops
/// the oldest ones beyond HistoryLength or MaximumBytes.
[[nodiscard]] ContractDocument nextVersion(const ContractDocument &current, std::string toml,
                                           std::string author,
                                           std::vector<std::string> drainedUpstreams);

} // namespace banyanwall::version
