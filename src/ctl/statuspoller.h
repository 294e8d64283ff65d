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

/// Versions of one document on an instance.
struct DocumentStatus
{
    /// Latest version that the instance has received.
    std::uint64_t knownVersion = 0;
    /// Version that the instance applies.
    std::uint64_t inForceVersion = 0;
};

/// Response of an instance to GET /status.
struct InstanceStatus
{
    std::string instance;
    std::string zone;
    std::uint64_t incarnation = 0;
    bool isStale = false;
    bool isLeaving = false;
    /// By document key.
    std::map<std::string, DocumentStatus> documents;
    std::uint64_t requestsInProgress = 0;
};

/// Parses the JSON body of a /status response; error "invalid_status".
[[nodiscard]] common::Result<InstanceStatus> parseInstanceStatus(std::string_view json);

struct PolledInstance
{
    version::InstanceRecord record;
    common::Result<InstanceStatus> status;
};

/// Requests /status from all instances concurrently and returns the results in the order of the
/// records. An instance that does not respond with HTTP status 200 within the timeout has the error
/// "instance_unreachable". Runs the io_context while it waits.
[[nodiscard]] std::vector<PolledInstance>
pollInstances(boost::asio::io_context &context, const std::vector<version::InstanceRecord> &records,
              std::chrono::milliseconds timeout);

} // namespace banyanwall::ctl
