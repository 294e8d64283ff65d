#pragma once

#include "common/ids.h"
#include "common/time.h"
#include "connection/ownerselector.h"

#include <atomic>
#include <cstdint>
#include <optional>
#include <vector>

namespace banyanwall::connection {

/// Overrides of a bucket that this instance owes to a new owner.
struct OwedHandover
{
    common::InstanceId receiver;
    /// Last flow that was sent.
    std::optional<common::FlowKey> cursor;
};

/// Mutable state of a transitional bucket on one instance. The atomics are read on the packet path;
/// owners and owed are protected by the control lock of the router.
struct BucketRuntime
{
    /// Last packet that went by default, or the time at which this instance began to watch, in
    /// microseconds.
    std::atomic<std::int64_t> lastDefault = 0;
    /// Instance that holds the overrides which are still missing here; 0 when none are missing.
    std::atomic<std::uint32_t> source = 0;
    std::atomic<std::int64_t> sourceSince = 0;
    /// Last change of the owners; records replicated before then are due for a refresh.
    std::atomic<std::int64_t> ownersSince = 0;
    /// This instance is not an owner any more, and had all overrides when it was one.
    std::atomic<bool> formerHolder = false;
    /// The first owner still waits for overrides from this instance.
    std::atomic<bool> owesFirst = false;

    BucketOwners owners;
    /// Last request for the missing overrides.
    common::TimePoint requested;
    /// Former owner that is asked for the missing overrides when the source dies.
    std::optional<common::InstanceId> fallback;
    /// The source is such a former owner. It is asked for a limited time, because it may lack
    /// overrides itself.
    bool awaitsFallback = false;
    std::vector<OwedHandover> owed;
};

/// A handover that has not arrived after this time is requested, again and again.
inline constexpr common::Duration HandoverRetry = std::chrono::seconds(2);

/// Begins to wait for the overrides of source, or for nobody.
void waitFor(BucketRuntime &runtime, std::optional<common::InstanceId> source,
             common::TimePoint now);
/// The source died before its handover: waits for the fallback, or else for the other owner.
void replaceSource(BucketRuntime &runtime, std::optional<common::InstanceId> fallback,
                   std::optional<common::InstanceId> other, common::TimePoint now);

} // namespace banyanwall::connection
