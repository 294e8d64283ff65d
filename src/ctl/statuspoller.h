#pragma once

#include "common/result.h"
#include "version/documents.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace banyanwall::ctl {

struct DocumentStatus
{
    std::uint64_t known = 0;
    std::uint64_t inForce = 0;
};

/// What an instance says of itself at /status.
struct InstanceStatus
{
    std::string instance;
    std::string zone;
    std::uint64_t incarnation = 0;
    bool stale = false;
    bool leaving = false;
    std::map<std::string, DocumentStatus> documents;
    std::uint64_t requestsInProgress = 0;
};

/// Parses the JSON of /status; code "invalid_status".
[[nodiscard]] common::Result<InstanceStatus> parseInstanceStatus(std::string_view json);

struct PolledInstance
{
    version::InstanceRecord record;
    common::Result<InstanceStatus> status;
};

/// Asks all instances at the same time, in the order of the records. An instance that does not
/// answer within the timeout has the error code "instance_unreachable".
[[nodiscard]] std::vector<PolledInstance>
pollInstances(boost::asio::io_context &context, const std::vector<version::InstanceRecord> &records,
              std::chrono::milliseconds timeout);

} // namespace banyanwall::ctl
