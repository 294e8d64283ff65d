#pragma once

#include "common/ids.h"
#include "common/time.h"
#include "connection/ownerselector.h"

#include <atomic>
#include <cstdint>
#include <optional>
#include <vector>

namespace banyanwall::connection {

/// Handover of one bucket's overrides to a new owner that this instance has not completed.
struct PendingHandover
{
    common::InstanceId receiver;
    /// Last flow whose override was sent; empty before the first batch.
    std::optional<common::FlowKey> cursor;
};

/// Mutable state of a transitional bucket on one instance. The packet path reads the atomics; the
/// control lock of the router protects all other members.
struct BucketRuntime
{
    /// Time at which a packet was last forwarded to the default upstream, or at which this instance
    /// started to observe the bucket, in microseconds.
    std::atomic<std::int64_t> lastDefaultUse = 0;
    /// Instance whose handover of the overrides is awaited; 0 when no overrides are missing here.
    std::atomic<std::uint32_t> source = 0;
    /// Time at which source was set, in microseconds.
    std::atomic<std::int64_t> sourceSetAt = 0;
    /// Time of the last change of the owners, in microseconds. A record that was last sent to the
    /// other owner before this time is due for a refresh, because the present other owner may lack
    /// it.
    std::atomic<std::int64_t> ownersChangedAt = 0;
    /// This instance is no longer an owner; it held all overrides when it ceased to be one.
    std::atomic<bool> isCompleteFormerOwner = false;
    /// This instance has not completed its handover to the first owner.
    std::atomic<bool> isHandoverToFirstPending = false;

    BucketOwners owners;
    /// Time of the last request for the missing overrides.
    common::TimePoint lastRequest;
    /// Former owner that the missing overrides are requested from when the source dies.
    std::optional<common::InstanceId> fallback;
    /// The source is the former owner that was the fallback. Requests to it are limited in time,
    /// because it may lack overrides itself.
    bool awaitsFallback = false;
    std::vector<PendingHandover> pendingHandovers;
};

/// Interval between requests for a handover that has not arrived.
inline constexpr common::Duration HandoverRetryInterval = std::chrono::seconds(2);

/// Sets the instance whose handover is awaited; empty when no overrides are missing.
void setOverrideSource(BucketRuntime &runtime, std::optional<common::InstanceId> source,
                       common::TimePoint now);
/// Replaces a source that died before it completed its handover: by the fallback, or else by the
/// other owner if given.
void replaceDeadSource(BucketRuntime &runtime, std::optional<common::InstanceId> fallback,
                       std::optional<common::InstanceId> other, common::TimePoint now);

} // namespace banyanwall::connection
