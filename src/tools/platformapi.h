#pragma once

#include "common/time.h"
#include "tools/platformstore.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace banyanwall::tools {

struct ApiAnswer
{
    unsigned status = 200;
    std::string body;
};

/// Request to watch a range from a revision on.
struct WatchRequest
{
    KeyRange range;
    std::int64_t fromRevision = 0;
    bool progressNotify = false;
};

/// The HTTP/JSON form of etcd v3 over a PlatformStore: requests in, answers out, without network.
class PlatformApi
{
public:
    explicit PlatformApi(PlatformStore &store);

    /// Answers a call other than a watch. Expires leases first.
    [[nodiscard]] ApiAnswer handle(std::string_view target, std::string_view body,
                                   common::TimePoint now);

    /// Empty when the body is not a watch request.
    [[nodiscard]] static std::optional<WatchRequest> parseWatch(std::string_view body);
    [[nodiscard]] std::string watchCreated() const;
    [[nodiscard]] std::string watchProgress() const;
    [[nodiscard]] std::string watchCompacted() const;
    [[nodiscard]] std::string watchEvents(const std::vector<PlatformEvent> &events) const;
    /// The list of instances as a JSON object.
    [[nodiscard]] static std::string instanceList(const PlatformStore::Entries &entries);

private:
    using Object = boost::json::object;

    [[nodiscard]] Object header() const;
    [[nodiscard]] Object range(const Object &request) const;
    [[nodiscard]] bool holds(const Object &compare) const;
    [[nodiscard]] ApiAnswer txn(const Object &request, common::TimePoint now);
    [[nodiscard]] Object runOperation(const Object &operation, common::TimePoint now);
    [[nodiscard]] ApiAnswer dispatch(std::string_view target, const Object &request,
                                     common::TimePoint now);

    PlatformStore &m_store;
};

} // namespace banyanwall::tools
