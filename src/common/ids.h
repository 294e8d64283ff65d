#pragma once

#include "common/strongtype.h"

#include <cstdint>
#include <string_view>

namespace banyanwall::common {

// Ids derived from names: the low 32 bits of a hash of the name, so that all instances compute the
// same id without coordination. A contract in which two names of one kind have the same id is
// rejected.

/// Hash of the customer's name.
using CustomerId = StrongType<struct CustomerIdTag, std::uint32_t>;
/// Hash of "customer/service".
using ServiceId = StrongType<struct ServiceIdTag, std::uint32_t>;
/// Hash of "customer/service/upstream".
using UpstreamId = StrongType<struct UpstreamIdTag, std::uint32_t>;
/// Hash of the name of an availability zone.
using ZoneId = StrongType<struct ZoneIdTag, std::uint32_t>;
/// Hash of the instance's name.
using InstanceId = StrongType<struct InstanceIdTag, std::uint32_t>;

/// One start of an instance or upstream, which chooses a new value at each start. Higher values are
/// newer; zero means unknown.
using Incarnation = StrongType<struct IncarnationTag, std::uint64_t>;

/// Hash of service, caller address and port, and the caller's flow id.
using FlowKey = StrongType<struct FlowKeyTag, std::uint64_t>;
/// Hash of service, caller address (without port) and the caller's request id.
using RequestKey = StrongType<struct RequestKeyTag, std::uint64_t>;
/// Bucket of a service to which a flow belongs, from 0 to version::BucketCount - 1.
using BucketIndex = StrongType<struct BucketIndexTag, std::uint32_t>;
/// Number of one dispatch of a request; never zero. Different coordinators of the same request use
/// different numbers.
using AttemptNumber = StrongType<struct AttemptNumberTag, std::uint32_t>;

/// Version of the rosters of a customer: contract version in the high 32 bits, zone version in the
/// low 32 bits.
using RosterVersion = StrongType<struct RosterVersionTag, std::uint64_t>;
/// Revision of a customer's settled map; grows by one with each change.
using SettledRevision = StrongType<struct SettledRevisionTag, std::uint64_t>;

/// Number under which the fabric knows an upstream. The fabric never reuses it.
using UpstreamSerial = StrongType<struct UpstreamSerialTag, std::uint64_t>;
/// Names the upstream of a flow in each packet of the flow; zero only before the flow is open.
using FlowToken = StrongType<struct FlowTokenTag, std::uint32_t>;
/// Position in the store's sequence of changes; zero means none.
using StoreRevision = StrongType<struct StoreRevisionTag, std::uint64_t>;
/// Period in which the store's revisions only grow. A store that comes back from an older copy
/// starts a new era and gives revisions out again; zero means that the store names no era.
using StoreEra = StrongType<struct StoreEraTag, std::uint64_t>;
/// Hash of all routes of a contract.
using RoutesDigest = StrongType<struct RoutesDigestTag, std::uint64_t>;
/// An entry of the platform's store: the hash of its key.
using EntryId = StrongType<struct EntryIdTag, std::uint64_t>;

/// Returns the low 32 bits of the hash of a name as an id.
template<typename Id>
[[nodiscard]] Id idFromName(std::string_view name);

} // namespace banyanwall::common
