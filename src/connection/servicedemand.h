#pragma once

#include "common/ids.h"

namespace banyanwall::connection {

/// Work that the callers of the own zone bring to a service.
struct ServiceDemand
{
    common::ServiceId service;
    /// Mean number of slots that the work keeps busy.
    double busySlots = 0.0;

    bool operator==(const ServiceDemand &) const = default;
};

} // namespace banyanwall::connection
