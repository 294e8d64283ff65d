#pragma once

#include "common/result.h"
#include "process/storeclient.h"
#include "version/contract.h"
#include "version/documents.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace banyanwall::ctl {

/// A document and its store revision, which a write must name as the expected revision.
template<typename T>
struct StoredDocument
{
    std::string key;
    /// 0 when the document does not exist.
    std::int64_t revision = 0;
    T value {};
};

/// Synchronous reads and writes of documents in the store. Each call runs the io_context until its
/// result is known. Errors are those of process::StoreClient, and those of the parser for a
/// document that cannot be parsed.
class StoreSession
{
public:
    StoreSession(boost::asio::io_context &context, process::StoreSettings settings,
                 std::uint64_t seed);

    [[nodiscard]] boost::asio::io_context &context() { return m_context; }

    [[nodiscard]] common::Result<process::StoreRange> range(const std::string &prefix);
    /// Writes when the key is at expectedRevision (0: does not exist); otherwise the outcome has
    /// applied == false.
    [[nodiscard]] common::Result<process::PutOutcome>
    write(const std::string &key, std::int64_t expectedRevision, const std::string &value);

    /// Contract documents of all customers, in the order of their keys.
    [[nodiscard]] common::Result<std::vector<StoredDocument<version::ContractDocument>>>
    contracts();
    /// Revision 0 and version 0 when the customer has no contract.
    [[nodiscard]] common::Result<StoredDocument<version::ContractDocument>>
    contract(const std::string &customer);
    [[nodiscard]] common::Result<StoredDocument<version::ZoneStates>> zones();
    /// Records of all registered instances, including those that are leaving.
    [[nodiscard]] common::Result<std::vector<version::InstanceRecord>> instances();

private:
    [[nodiscard]] common::Result<process::StoreRange> get(const std::string &key);

    boost::asio::io_context &m_context;
    process::StoreClient m_client;
};

[[nodiscard]] std::string contractKey(const std::string &customer);

} // namespace banyanwall::ctl
