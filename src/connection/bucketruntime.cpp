#include "connection/bucketruntime.h"

namespace banyanwall::connection {

using common::InstanceId;
using common::TimePoint;

void setOverrideSource(BucketRuntime &runtime, std::optional<InstanceId> source, TimePoint now)
{
    runtime.source = source.value_or(InstanceId(0)).value();
    runtime.sourceSetAt = now.time_since_epoch().count();
    runtime.lastRequest = now;
    runtime.fallback.reset();
    runtime.awaitsFallback = false;
}

void replaceDeadSource(BucketRuntime &runtime, std::optional<InstanceId> fallback,
                       std::optional<InstanceId> other, TimePoint now)
{
    setOverrideSource(runtime, fallback ? fallback : other, now);
    if (fallback) {
        // The fallback has no pending handover to this instance, so it is requested at once.
        runtime.awaitsFallback = true;
        runtime.lastRequest = now - HandoverRetryInterval;
    }
}

} // namespace banyanwall::connection
