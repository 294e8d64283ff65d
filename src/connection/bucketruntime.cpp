#include "connection/bucketruntime.h"

namespace banyanwall::connection {

using common::InstanceId;
using common::TimePoint;

void waitFor(BucketRuntime &runtime, std::optional<InstanceId> source, TimePoint now)
{
    runtime.source = source.value_or(InstanceId(0)).value();
    runtime.sourceSince = now.time_since_epoch().count();
    runtime.requested = now;
    runtime.fallback.reset();
    runtime.awaitsFallback = false;
}

void replaceSource(BucketRuntime &runtime, std::optional<InstanceId> fallback,
                   std::optional<InstanceId> other, TimePoint now)
{
    waitFor(runtime, fallback ? fallback : other, now);
    if (fallback) {
        // It owes nothing by itself, so that the request is due at once.
        runtime.awaitsFallback = true;
        runtime.requested = now - HandoverRetry;
    }
}

} // namespace banyanwall::connection
