#pragma once

#include "common/time.h"
#include "tools/platformstore.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace banyanwall::tools {

struct ApiResponse
{
    unsigned status = 200;
    std::string body;
};

/// Request to watch a range of keys.
struct WatchRequest
{
    KeyRange range;
    /// First revision to send; 0 stands for the one after the present revision.
    std::int64_t fromRevision = 0;
    /// Whether the watcher gets progress notifications while nothing changes.
    bool progressNotify = false;
};

/// The HTTP/JSON interface of etcd v3 to a PlatformStore. Turns request bodies into response
/// bodies, without network I/O.
class PlatformApi
{
public:
    explicit PlatformApi(PlatformStore &store);

    /// Handles a call other than a watch. Expires leases first. An invalid request gets a response
    /// with status 400, an unknown target or lease one with status 404.
    [[nodiscard]] ApiResponse handle(std::string_view target, std::string_view body,
                                     common::TimePoint now);

    /// Empty when the body is not a watch request.
    [[nodiscard]] static std::optional<WatchRequest> parseWatch(std::string_view body);
    // Lines that the server sends to a watcher.
    [[nodiscard]] std::string watchCreated() const;
    [[nodiscard]] std::string watchProgress() const;
    [[nodiscard]] std::string watchCompacted() const;
    [[nodiscard]] std::string watchEvents(const std::vector<PlatformEvent> &events) const;
    /// Body of GET /instances; entries are the store's records of the instances.
    [[nodiscard]] static std::string instanceList(const PlatformStore::Entries &entries);

private:
    using Object = boost::json::object;

    [[nodiscard]] Object header() const;
    [[nodiscard]] Object range(const Object &request) const;
    [[nodiscard]] bool isSatisfied(const Object &condition) const;
    [[nodiscard]] ApiResponse runTransaction(const Object &request, common::TimePoint now);
    [[nodiscard]] Object runOperation(const Object &operation, common::TimePoint now);
    [[nodiscard]] ApiResponse dispatch(std::string_view target, const Object &request,
                                       common::TimePoint now);

    PlatformStore &m_store;
};

} // namespace banyanwall::tools
