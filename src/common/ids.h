#pragma once

#include "common/strongtype.h"

#include <cstdint>
#include <string_view>

namespace banyanwall::common {

/// Ids of named things are the low 32 bits of a hash of their name, so that all instances agree
/// without coordination. Contracts in which two names of one kind collide are rejected.
using CustomerId = StrongType<struct CustomerIdTag, std::uint32_t>;
/// Hash of "customer/service".
using ServiceId = StrongType<struct ServiceIdTag, std::uint32_t>;
/// Hash of "customer/service/upstream".
using UpstreamId = StrongType<struct UpstreamIdTag, std::uint32_t>;
using ZoneId = StrongType<struct ZoneIdTag, std::uint32_t>;
using InstanceId = StrongType<struct InstanceIdTag, std::uint32_t>;

/// Chosen anew by a process or upstream at each start; a higher one is newer. Zero means unknown.
using Incarnation = StrongType<struct IncarnationTag, std::uint64_t>;

/// Hash of service, caller endpoint and flow id.
using FlowKey = StrongType<struct FlowKeyTag, std::uint64_t>;
/// Hash of service, caller address and request id.
using RequestKey = StrongType<struct RequestKeyTag, std::uint64_t>;
using BucketIndex = StrongType<struct BucketIndexTag, std::uint32_t>;
/// Number of a dispatch of one request; never zero, and different for each coordinator that
/// dispatches the request.
using AttemptNumber = StrongType<struct AttemptNumberTag, std::uint32_t>;

/// Combines contract version (high 32 bits) and zone version (low 32 bits) of a customer's roster.
using RosterVersion = StrongType<struct RosterVersionTag, std::uint64_t>;
/// Revision of a settled map.
using SettledRevision = StrongType<struct SettledRevisionTag, std::uint64_t>;

/// Number under which the fabric knows an upstream. A fabric never gives it to another upstream.
using UpstreamSerial = StrongType<struct UpstreamSerialTag, std::uint64_t>;
/// Names the upstream of a flow in each packet of that flow; never zero for an open flow.
using FlowToken = StrongType<struct FlowTokenTag, std::uint32_t>;
/// Position in the store's sequence of changes.
using StoreRevision = StrongType<struct StoreRevisionTag, std::uint64_t>;

/// Returns the id of a named thing.
template<typename Id>
[[nodiscard]] Id idFromName(std::string_view name);

} // namespace banyanwall::common
