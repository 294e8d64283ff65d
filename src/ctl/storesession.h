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

/// A document and the store revision that a write of it has to name.
template<typename T>
struct Stored
{
    std::string key;
    std::int64_t revision = 0;
    T value {};
};

/// Store calls that wait for their answer, and the documents behind them. Runs the io_context while
/// it waits.
class StoreSession
{
public:
    StoreSession(boost::asio::io_context &context, process::StoreSettings settings,
                 std::uint64_t seed);

    [[nodiscard]] boost::asio::io_context &context() { return m_context; }

    [[nodiscard]] common::Result<process::StoreRange> range(const std::string &prefix);
    [[nodiscard]] common::Result<process::PutOutcome>
    write(const std::string &key, std::int64_t expectedRevision, const std::string &value);

    /// Documents of all customers, in the order of their keys.
    [[nodiscard]] common::Result<std::vector<Stored<version::ContractDocument>>> contracts();
    /// Revision 0 and version 0 when the customer has no contract.
    [[nodiscard]] common::Result<Stored<version::ContractDocument>>
    contract(const std::string &customer);
    [[nodiscard]] common::Result<Stored<version::ZoneStates>> zones();
    [[nodiscard]] common::Result<std::vector<version::InstanceRecord>> instances();

private:
    [[nodiscard]] common::Result<process::StoreRange> get(const std::string &key);

    boost::asio::io_context &m_context;
    process::StoreClient m_client;
};

/// Key of a customer's contract document.
[[nodiscard]] std::string contractKey(const std::string &customer);

} // namespace banyanwall::ctl
